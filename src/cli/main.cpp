#include "platform/command_serve.hpp"
#include "skylarkdyke/cli/commands.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <map>

using namespace skylarkdyke;

namespace {

struct command {
  int (*Run)(const cli::arguments &);
  const char *Help;
};

} // namespace

static int printVersion(const cli::arguments &) {
  std::cout << "skylarkdyke " << SKYLARKDYKE_VERSION << "\n";
  return cli::ExitDone;
}

static const std::map<std::string, command> &commands() {
  static const std::map<std::string, command> Commands = {
      {"serve",
       {&platform::serve, "[SETTINGS.toml]: run an entry on the platform"}},
      {"explain",
       {&cli::explainRequest,
        "REQUEST-ID [LOG...]: tell what became of a request"}},
      {"run", {&cli::runEntry, "SETTINGS.toml: run an entry"}},
      {"check", {&cli::checkSettings, "SETTINGS.toml: check a settings file"}},
      {"config",
       {&cli::manageConfig, "show|check FILE|submit FILE: configuration"}},
      {"status",
       {&cli::printStatus,
        "--admin=IP:PORT --operator=NAME: print entries, headroom and "
        "drains"}},
      {"token-hash",
       {&cli::printTokenHash,
        ": read a token and print its SHA-256 for the settings"}},
      {"version", {&printVersion, ": print the version"}},
      {"emulate-store",
       {&cli::emulateStore, "IP:PORT: stand-in for the store"}},
      {"emulate-targets",
       {&cli::emulateTargets, "IP:PORT...: stand-ins for targets"}},
      {"fault-proxy",
       {&cli::runFaultProxy, "PLAN.json IP:PORT: fault-injecting TCP proxy"}},
      {"make-deployment",
       {&cli::makeDeploymentFiles,
        "DIRECTORY: write the files of an emulated deployment"}},
      {"load", {&cli::generateLoad, "IP:PORT...: send load to entries"}},
  };
  return Commands;
}

static std::string usage() {
  std::string Text = "global traffic steering\n\nusage: skylarkdyke COMMAND "
                     "[ARGUMENTS] [--FLAG=VALUE...]\n\n";
  for (const auto &[Name, Command] : commands())
    Text += "  " + Name + " " + Command.Help + "\n";
  return Text;
}

int main(int ArgCount, char **Args) {
  FLAGS_logtostderr = true;
  gflags::SetUsageMessage(usage());
  gflags::SetVersionString(SKYLARKDYKE_VERSION);
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  google::InitGoogleLogging(Args[0]);
  if (ArgCount < 2) {
    std::cerr << usage();
    return cli::ExitUsage;
  }
  const auto Found = commands().find(Args[1]);
  if (Found == commands().end()) {
    std::cerr << "unknown command '" << Args[1] << "'\n" << usage();
    return cli::ExitUsage;
  }
  return Found->second.Run(cli::arguments(Args + 2, Args + ArgCount));
}
