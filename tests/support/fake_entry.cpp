#include "support/fake_entry.hpp"

#include "support/free_port.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace test_support {

using namespace std::chrono_literals;

fake_targets::fake_targets() : Document(std::make_shared<config::document>()) {
  Document->Version = 1;
  Document->EntrySeats = 1;
}

template <typename List, typename Name>
static bool isNamed(const List &All, const Name &Wanted) {
  return std::any_of(All.begin(), All.end(),
                     [&](const auto &One) { return One.Name == Wanted; });
}

emulators::target_emulator &
fake_targets::add(const std::string &Service, const std::string &Region,
                  emulators::target_behaviour Behaviour) {
  const base::domain_name Domain(Region + "-a");
  if (!isNamed(Document->Regions, base::region_name(Region)))
    Document->Regions.push_back({base::region_name(Region), 1000, {Domain}});
  if (!isNamed(Document->Services, base::service_name(Service)))
    Document->Services.push_back({base::service_name(Service), 1s, 4096});
  const base::endpoint Address{"127.0.0.1", freePort()};
  Document->Targets.push_back(
      {base::target_id(Service + "-" + std::to_string(Targets.size())),
       base::service_name(Service), Domain, Address, Behaviour.Slots, 64});
  Behaviour.Service = Service;
  Targets.push_back(
      std::make_unique<emulators::target_emulator>(Address, Behaviour));
  if (!Targets.back()->start())
    throw std::runtime_error("cannot bind an emulated target");
  return *Targets.back();
}

std::size_t fake_targets::runs() const {
  std::size_t Sum = 0;
  for (const auto &Target : Targets)
    Sum += Target->journal().size();
  return Sum;
}

fake_entry::fake_entry(const std::string &Name, const std::string &Region,
                       std::shared_ptr<const config::document> Document)
    : Document(std::move(Document)) {
  Self.Name = base::entry_name(Name);
  Self.Incarnation = base::generateIncarnation();
  Self.Region = base::region_name(Region);
  Self.Domain = base::domain_name(Region + "-a");
  Self.CallerAddress = {"127.0.0.1", freePort()};
  Self.Ready = true;
  Self.Reachable = true;
  settings::entry_settings Settings;
  Settings.Name = Self.Name;
  Settings.Region = Self.Region;
  Service = std::make_unique<callers::caller_service>(Settings, dependencies());
  Service->refresh();
}

fake_entry::~fake_entry() { unlisten(); }

callers::dependencies fake_entry::dependencies() {
  callers::dependencies Functions;
  Functions.Document = [this] { return Document; };
  Functions.Self = [this] {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Self;
  };
  Functions.Members = [this] {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Others;
  };
  Functions.TryTakeCaps = [this](const std::vector<caps::demand> &Demands) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (CapsLeft)
      Taken.insert(Taken.end(), Demands.begin(), Demands.end());
    return CapsLeft.load();
  };
  Functions.RefundCap = [this](const caps::demand &Demand, base::boot_time) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    GivenBack.push_back(Demand);
  };
  Functions.RecordIntent = [this](const once::idempotency_key &,
                                  base::boot_time) { return Intent; };
  Functions.SealOwner = [this](const once::idempotency_key &, base::boot_time) {
    ++Seals;
    return Seal;
  };
  Functions.IncarnationSealed = [this](base::incarnation_id Sealed) {
    SealedHere.push_back(Sealed);
    replaceIncarnation();
  };
  Functions.ReportCrash = [this](const poison::crash_report &) {
    ++CrashReports;
  };
  return Functions;
}

void fake_entry::listen() {
  Server = std::make_unique<http::server>(
      Self.CallerAddress, http::server_limits(),
      [this](const http::server_request &Request) {
        return Service->handle(Request);
      });
  if (!Server->start())
    throw std::runtime_error("cannot bind the caller port");
}

void fake_entry::unlisten() { Server.reset(); }

void fake_entry::meet(std::vector<entries::member> Members) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Others = std::move(Members);
  }
  Service->refresh();
}

void fake_entry::replaceIncarnation() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Self.Incarnation = base::generateIncarnation();
}

http::response fake_entry::call(const std::string &Method,
                                const std::string &Path, const std::string &Key,
                                const std::string &Body,
                                http::header_map Headers, int Socket) {
  http::server_request Request;
  Request.Message.Method = Method;
  Request.Message.Target = Path;
  Request.Message.Headers = std::move(Headers);
  Request.Message.Body = Body;
  if (!Key.empty())
    Request.Message.Headers["Idempotency-Key"] = Key;
  Request.Path = Path.substr(0, Path.find('?'));
  Request.Client = {"127.0.0.1", 1};
  Request.Socket = Socket;
  return Service->handle(Request);
}

std::string fake_entry::key(const std::string &CallerPart,
                            base::incarnation_id Witness) const {
  const auto Expiry = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now() + 20s);
  return once::toString({Self.Incarnation, Expiry, Witness}) + "." + CallerPart;
}

std::string header(const http::response &Response, const char *Name) {
  return http::findHeader(Response.Headers, Name).value_or("");
}

int problemCode(const http::response &Response) {
  const auto Problem = nlohmann::json::parse(Response.Body, nullptr, false);
  return Problem.is_object() ? Problem.value("code", 0) : 0;
}

} // namespace test_support
