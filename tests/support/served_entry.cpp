#include "support/served_entry.hpp"

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/http/client.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"
#include "support/wait_until.hpp"

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

served_entry::served_entry(const base::endpoint &Store,
                           std::chrono::seconds Grace,
                           const std::optional<base::endpoint> &Seed,
                           const served_limits &Limits)
    : Front{"127.0.0.1", freePort()}, Readiness{"127.0.0.1", freePort()},
      Mesh{"127.0.0.1", freePort()}, Metrics{"127.0.0.1", freePort()},
      Folder(std::filesystem::temp_directory_path() /
             ("skylarkdyke-served-" + std::to_string(Front.Port))) {
  std::filesystem::create_directories(Folder);
  std::ofstream(Folder / "entry.toml")
      << "[self]\nnode_name = \"e" << Front.Port
      << "\"\nzone = \"z\"\nregion = \"r\"\n"
      << "[self.limits]\ncpu_share = 0.2\nmax_fds = " << Limits.MaxDescriptors
      << "\nmemory_mb = " << Limits.MemoryMb << "\n"
      << "[network]\nport_range = [" << Metrics.Port << ", " << Metrics.Port
      << "]\nseeds = [\"" << base::toString(Seed.value_or(Mesh)) << "\"]\n"
      << "[network.bind]\nfront = \"" << base::toString(Front)
      << "\"\nreadiness = \"" << base::toString(Readiness) << "\"\ncontrol = \""
      << base::toString(Mesh) << "\"\n[network.zones]\nz = \"r\"\n"
      << "[provider.provider]\naddress = \"" << base::toString(Store)
      << "\"\n[terms.bounds]\ngrace_s = " << Grace.count()
      << "\nretry_budget_ratio = 0.2\nretry_slack = 60\n";
}

served_entry::~served_entry() {
  Process.reset();
  if (std::getenv("SKYLARKDYKE_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder);
}

void served_entry::rename(const std::string &Name) {
  const std::string Start = "node_name = \"";
  std::ifstream File(Folder / "entry.toml");
  std::string Settings{std::istreambuf_iterator<char>(File), {}};
  const std::size_t From = Settings.find(Start) + Start.size();
  Settings.replace(From, Settings.find('"', From) - From, Name);
  std::ofstream(Folder / "entry.toml") << Settings;
}

void served_entry::launch() {
  Process.emplace(
      std::vector<std::string>{"serve", (Folder / "entry.toml").string()},
      (Folder / "entry.log").string());
}

bool served_entry::start() {
  launch();
  return waitUntil([this] { return isReady(); }, 10s);
}

bool served_entry::isReady() const {
  http::request Request;
  Request.Target = "/api/readyz";
  const auto Response = http::fetch(Readiness, Request,
                                    {base::boot_clock::now() + 1s, 1U << 16U});
  return Response && Response.value().Status == 200;
}

std::string served_entry::log() const {
  std::ifstream File(Folder / "entry.log");
  return {std::istreambuf_iterator<char>(File), {}};
}

std::size_t served_entry::peakMemoryBytes() const {
  std::ifstream Status("/proc/" + std::to_string(Process->id()) + "/status");
  std::string Word;
  std::size_t Kilobytes = 0;
  while (Status >> Word)
    if (Word == "VmHWM:")
      Status >> Kilobytes;
  return Kilobytes * 1024;
}

double served_entry::metric(const std::string &Name) const {
  http::request Request;
  Request.Target = "/metrics";
  const auto Response =
      http::fetch(Metrics, Request, {base::boot_clock::now() + 1s, 1U << 20U});
  if (!Response)
    return 0;
  const std::string Text = "\n" + Response.value().Body;
  const std::size_t At = Text.find("\n" + Name + " ");
  return At == std::string::npos ? 0
                                 : std::stod(Text.substr(At + Name.size() + 2));
}

std::string servedRoutes(int Version, std::chrono::seconds Timeout,
                         int MaxAttempts) {
  const std::string Limits = std::to_string(Timeout.count()) +
                             R"(,1,1,"orders",)" + std::to_string(MaxAttempts);
  return R"({"version":"r)" + std::to_string(Version) +
         R"(","routes":{"columns":["name","host","path_prefix","kind",
"timeout_s","target_latency_s","priority","service","max_attempts","sticky"],
"rows":[["safe","h.example","/safe/","safe",)" +
         Limits + R"(,true],["once","h.example","/once/","unsafe",)" + Limits +
         R"(,true]]},"services":{"columns":["name","health_path",
"max_connections","cold_start_s","cold_per_s"],
"rows":[["orders","/healthz",300,1,10]]},"limits":{"max_header_bytes":16384,
"max_body_bytes":1048576,"header_timeout_s":20,"idle_timeout_s":20}})";
}

std::string askServed(const base::endpoint &Front, const std::string &Method,
                      const std::string &Path, const std::string &Id,
                      std::chrono::milliseconds Limit) {
  const raw_client Client(Front);
  const std::string IdLine =
      Id.empty() ? "" : "Skylarkdyke-Request-Id: " + Id + "\r\n";
  Client.send(Method + " " + Path +
              " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
              "Connection: close\r\nSkylarkdyke-Request-Deadline: " +
              std::to_string(Limit.count()) + "\r\n" + IdLine + "\r\n");
  std::string Response;
  waitUntil(
      [&] {
        Response += Client.receive();
        return Client.isClosed();
      },
      10s);
  return Response;
}

std::string statusOf(const std::string &Response) {
  return Response.compare(0, 9, "HTTP/1.1 ") == 0 ? Response.substr(9, 3) : "";
}

std::string servedTarget(const base::endpoint &Address) {
  return R"({"address":")" + base::toString(Address) +
         R"(","born":1,"info":{"service":"orders","version":"v1","zone":"z",
"capacity":4},"status":{"state":"ready","sequence":1,"cold_remaining_s":0}})";
}

} // namespace test_support
