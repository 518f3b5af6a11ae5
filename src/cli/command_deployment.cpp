#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/emulators/deployment.hpp"
#include "skylarkdyke/http/server.hpp"

#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(deployment, "rozpalka",
              "make-deployment: rozpalka or mallas, with the regions, failure "
              "domains, services and round trips of that deployment");
DEFINE_uint32(entries, 9, "make-deployment: number of entries");
DEFINE_uint32(net, 10,
              "make-deployment: second octet of the loopback addresses, so "
              "that several deployments can run at once");

namespace skylarkdyke::cli {

using nlohmann::json;

static bool writeFile(const std::filesystem::path &Path,
                      const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  File.close();
  if (!File)
    std::cerr << Path.string() << ": cannot be written\n";
  return static_cast<bool>(File);
}

/// Describes the processes to start, for scripts.
static json describe(const emulators::deployment &Plan) {
  json Entries = json::array();
  for (const emulators::entry_plan &Entry : Plan.Entries)
    Entries.push_back({{"name", Entry.Name},
                       {"region", Entry.Region},
                       {"domain", Entry.Domain},
                       {"caller_address", base::toString(Entry.CallerAddress)},
                       {"admin_address", base::toString(Entry.AdminAddress)}});
  json Targets = json::array();
  for (const emulators::target_plan &Target : Plan.Targets)
    Targets.push_back({{"id", Target.Id},
                       {"service", Target.Service},
                       {"domain", Target.Domain},
                       {"listen", base::toString(Target.Listen)},
                       {"slots", Target.Slots}});
  json Controls = json::object();
  for (const auto &[Service, Control] : Plan.TargetControls)
    Controls[Service] = base::toString(Control);
  json Links = json::array();
  for (const config::link &Link : Plan.Document.Links)
    Links.push_back({{"from", Link.From.str()}, {"to", Link.To.str()}});
  return {{"entries", Entries},
          {"targets", Targets},
          {"store_listen", base::toString(Plan.StoreListen)},
          {"store_address", base::toString(Plan.StoreAddress)},
          {"store_control", base::toString(Plan.StoreControl)},
          {"target_controls", Controls},
          {"proxy_control", base::toString(Plan.ProxyControl)},
          {"caller_sources", Plan.CallerSources},
          {"links", Links}};
}

int makeDeploymentFiles(const arguments &Arguments) {
  const auto Plan =
      emulators::makeDeployment(FLAGS_deployment, {FLAGS_entries, FLAGS_net});
  if (Arguments.size() != 1 || !Plan || FLAGS_net == 0 || FLAGS_net > 254) {
    std::cerr << "usage: skylarkdyke make-deployment DIRECTORY "
                 "[--deployment=rozpalka|mallas] [--entries=N] "
                 "[--net=1..254]\n";
    return ExitUsage;
  }
  const std::filesystem::path Directory(Arguments[0]);
  std::error_code Failure;
  std::filesystem::create_directories(Directory, Failure);
  bool Written =
      writeFile(Directory / "config.json", config::encode(Plan->Document)) &&
      writeFile(Directory / "proxy.json", emulators::encode(Plan->Proxy)) &&
      writeFile(Directory / "deployment.json", describe(*Plan).dump(1));
  for (const emulators::entry_plan &Entry : Plan->Entries)
    Written = Written &&
              writeFile(Directory / (Entry.Name + ".toml"), Entry.Settings);
  return Written ? ExitDone : ExitRefused;
}

static http::response answer(int Status, std::string Body) {
  http::response Response;
  Response.Status = Status;
  Response.Body = std::move(Body);
  return Response;
}

/// Control interface of the fault proxy: PUT /faults, GET and DELETE /peaks.
static http::response control(emulators::fault_proxy &Proxy,
                              const http::server_request &Request) {
  const std::string &Method = Request.Message.Method;
  if (Request.Path == "/faults" && Method == "PUT") {
    auto Faults = emulators::parseFaults(Request.Message.Body);
    if (!Faults)
      return answer(400, base::toString(Faults.error()));
    Proxy.setFaults(std::move(Faults).value());
    return answer(200, "");
  }
  if (Request.Path == "/peaks" && (Method == "GET" || Method == "DELETE")) {
    json Peaks = json::array();
    for (const auto &[Pair, Bytes] : Proxy.peaks(Method == "DELETE"))
      Peaks.push_back({{"from", Pair.first},
                       {"to", Pair.second},
                       {"bytes_per_second", Bytes}});
    return answer(200, Peaks.dump());
  }
  return answer(404, "");
}

int runFaultProxy(const arguments &Arguments) {
  const auto Control =
      Arguments.size() == 2 ? base::parseEndpoint(Arguments[1]) : std::nullopt;
  if (!Control) {
    std::cerr << "usage: skylarkdyke fault-proxy PLAN.json CONTROL_IP:PORT\n";
    return ExitUsage;
  }
  std::ifstream File(Arguments[0]);
  std::ostringstream Text;
  Text << File.rdbuf();
  auto Plan = emulators::parseProxyPlan(Text.str());
  if (!Plan) {
    std::cerr << Arguments[0] << base::toString(Plan.error());
    return ExitRefused;
  }
  blockStopSignals();
  emulators::fault_proxy Proxy(std::move(Plan).value());
  http::server Server(*Control, http::server_limits(),
                      [&Proxy](const http::server_request &Request) {
                        return control(Proxy, Request);
                      });
  if (!Proxy.start() || !Server.start()) {
    std::cerr << "an address of the plan or the control address is in use\n";
    return ExitRefused;
  }
  waitForStopSignal();
  Server.stop();
  Proxy.stop();
  return ExitDone;
}

} // namespace skylarkdyke::cli
