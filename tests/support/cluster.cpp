#include "support/cluster.hpp"

#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/codec.hpp"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;

/// Second octet of this process's loopback addresses, so that test programs can
/// run side by side.
static unsigned pickNet() { return 20 + static_cast<unsigned>(getpid()) % 230; }

static emulators::deployment makePlan(const std::string &Name,
                                      unsigned Entries) {
  auto Plan = emulators::makeDeployment(Name, {Entries, pickNet()});
  if (!Plan)
    throw std::invalid_argument("no deployment " + Name);
  return *Plan;
}

cluster::cluster(const std::string &Name, unsigned Entries)
    : Plan(makePlan(Name, Entries)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "skylarkdyke-XXXXXX").string();
  if (mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot make a temporary directory");
  Directory = Pattern;
}

cluster::~cluster() {
  // A frozen process takes SIGKILL as well.
  Processes.clear();
  if (std::getenv("SKYLARKDYKE_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Directory);
}

void cluster::startStore() {
  Processes.insert_or_assign(
      "store", process({"emulate-store", base::toString(Plan.StoreListen),
                        "--control=" + base::toString(Plan.StoreControl)},
                       Directory / "store.log"));
}

void cluster::startTargets(const std::string &Service) {
  std::vector<std::string> Words = {
      "emulate-targets", "--target_service=" + Service, "--work_us=2000",
      "--queue=64",
      "--control=" + base::toString(Plan.TargetControls.at(Service))};
  for (const emulators::target_plan &Target : Plan.Targets)
    if (Target.Service == Service)
      Words.push_back(base::toString(Target.Listen));
  Processes.insert_or_assign(Service,
                             process(Words, Directory / (Service + ".log")));
}

void cluster::startEntry(std::size_t Index) {
  const emulators::entry_plan &Entry = Plan.Entries.at(Index);
  const auto File = Directory / (Entry.Name + ".toml");
  std::ofstream(File) << Entry.Settings;
  Processes.insert_or_assign(
      Entry.Name, process({"run", File}, Directory / (Entry.Name + ".log")));
}

void cluster::killEntry(std::size_t Index) {
  Processes.at(Plan.Entries.at(Index).Name).kill();
}

void cluster::freezeEntry(std::size_t Index) {
  Processes.at(Plan.Entries.at(Index).Name).signal(SIGSTOP);
}

void cluster::resumeEntry(std::size_t Index) {
  Processes.at(Plan.Entries.at(Index).Name).signal(SIGCONT);
}

std::optional<int> cluster::stopEntry(std::size_t Index,
                                      std::chrono::milliseconds Timeout) {
  process &Entry = Processes.at(Plan.Entries.at(Index).Name);
  Entry.signal(SIGTERM);
  return Entry.waitFor(Timeout);
}

bool cluster::start() {
  std::ofstream(Directory / "proxy.json") << emulators::encode(Plan.Proxy);
  startStore();
  for (const auto &[Service, Control] : Plan.TargetControls)
    startTargets(Service);
  Processes.insert_or_assign("proxy",
                             process({"fault-proxy", Directory / "proxy.json",
                                      base::toString(Plan.ProxyControl)},
                                     Directory / "proxy.log"));
  if (!waitUntil([this] { return submit(Plan.Document); }, 10s))
    return false;
  for (std::size_t Index = 0; Index < Plan.Entries.size(); ++Index)
    startEntry(Index);
  return waitUntil(
      [this] {
        for (std::size_t Index = 0; Index < Plan.Entries.size(); ++Index)
          if (!isReady(Index))
            return false;
        return true;
      },
      20s);
}

answer cluster::ask(const base::endpoint &Peer, const http::request &Request,
                    std::chrono::milliseconds Timeout) const {
  static constexpr std::size_t MaxAnswerBytes = std::size_t{256} << 20U;
  const auto Response = http::fetch(
      Peer, Request, {base::boot_clock::now() + Timeout, MaxAnswerBytes, -1});
  if (!Response)
    return {};
  const http::response &Got = Response.value();
  return {Got.Status,
          http::findHeader(Got.Headers, "Request-Outcome").value_or("none"),
          Got.Body, Got.Headers};
}

answer cluster::get(std::size_t Entry, const std::string &Service,
                    const std::string &Path) const {
  http::request Request;
  Request.Target = "/s/" + Service + Path;
  return ask(Plan.Entries.at(Entry).CallerAddress, Request);
}

answer cluster::post(std::size_t Entry, const std::string &Service,
                     const std::string &Path, const std::string &Key,
                     std::chrono::milliseconds Timeout) const {
  http::request Request;
  Request.Method = "POST";
  Request.Target = "/s/" + Service + Path;
  Request.Headers["Idempotency-Key"] = Key;
  Request.Body = "order";
  return ask(Plan.Entries.at(Entry).CallerAddress, Request, Timeout);
}

std::string cluster::keyPrefix(std::size_t Entry,
                               const std::string &Service) const {
  http::request Request;
  Request.Target = "/v1/lookup?service=" + Service;
  const base::endpoint &Address = Plan.Entries.at(Entry).CallerAddress;
  const json Root = json::parse(ask(Address, Request).Body, nullptr, false);
  if (!Root.is_object())
    return {};
  for (const json &Item : Root.value("entries", json::array()))
    if (Item.value("key_prefix", "").empty() == false)
      return Item["key_prefix"];
  return {};
}

bool cluster::isReady(std::size_t Entry) const {
  http::request Request;
  Request.Target = "/ready";
  return ask(Plan.Entries.at(Entry).CallerAddress, Request, 1s).Status == 200;
}

std::size_t cluster::peakMemory(std::size_t Entry) const {
  const process &Process = Processes.at(Plan.Entries.at(Entry).Name);
  std::ifstream Status("/proc/" + std::to_string(Process.id()) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind("VmHWM:", 0) == 0)
      return std::stoull(Line.substr(6)) * 1024;
  return 0;
}

bool cluster::submit(const config::document &Document) const {
  http::request Read;
  Read.Target = "/v1/kv/skylarkdyke/config";
  const answer Current = ask(Plan.StoreListen, Read, 1s);
  if (Current.Status == 0)
    return false;
  std::uint64_t Index = 0;
  if (Current.Status == 200)
    Index = json::parse(Current.Body)[0]["ModifyIndex"];
  http::request Write;
  Write.Method = "PUT";
  Write.Target = Read.Target + "?cas=" + std::to_string(Index);
  Write.Body = config::encode(Document);
  return ask(Plan.StoreListen, Write, 1s).Body.rfind("true", 0) == 0;
}

static void put(const cluster &Cluster, const char *Method,
                const base::endpoint &Control, const std::string &Target,
                const json &Body) {
  http::request Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Body = Body.dump();
  const answer Got = Cluster.ask(Control, Request);
  if (Got.Status != 200)
    throw std::runtime_error("control " + Target + " answered " +
                             std::to_string(Got.Status) + " " + Got.Body);
}

void cluster::setFaults(const json &Faults) const {
  put(*this, "PUT", Plan.ProxyControl, "/faults", Faults);
}

void cluster::setStoreFaults(const json &Faults) const {
  put(*this, "POST", Plan.StoreControl, "/faults", Faults);
}

void cluster::setBehaviour(const std::string &Service,
                           const json &Behaviour) const {
  put(*this, "POST", Plan.TargetControls.at(Service), "/behaviour", Behaviour);
}

void cluster::crashTarget(const emulators::target_plan &Target,
                          std::chrono::milliseconds DownTime) const {
  put(*this, "POST", Plan.TargetControls.at(Target.Service), "/crash",
      {{"target", base::toString(Target.Listen)},
       {"down_ms", DownTime.count()}});
}

std::vector<run> cluster::journal() const {
  std::vector<run> Runs;
  for (const auto &[Service, Control] : Plan.TargetControls) {
    http::request Request;
    Request.Target = "/journal";
    const json Root = json::parse(ask(Control, Request).Body);
    for (const json &Target : Root.at("targets"))
      for (const json &Item : Target.at("runs"))
        Runs.push_back({Target.at("target"), Service, Item.at("key"),
                        Item.at("path"),
                        base::wall_time(std::chrono::microseconds(
                            Item.at("start_us").get<std::int64_t>())),
                        Item.at("finished")});
  }
  return Runs;
}

std::map<std::string, unsigned> cluster::runsByKey() const {
  std::map<std::string, unsigned> Counts;
  for (const run &Run : journal())
    if (!Run.Key.empty())
      ++Counts[Run.Key];
  return Counts;
}

} // namespace test_support
