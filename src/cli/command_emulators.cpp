#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/emulators/store_emulator.hpp"
#include "skylarkdyke/emulators/target_emulator.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(control, "",
              "emulate-store: address of the fault controls, none if empty");
DEFINE_uint32(instance_lag_ms, 0,
              "emulate-store: time until a change of the instance list shows");
DEFINE_uint64(seed, 1, "emulate-store: seed of the random faults");
DEFINE_uint32(slots, 4, "emulate-targets: slots of each target");
DEFINE_uint32(work_us, 5000,
              "emulate-targets: time that a request holds its slot, in us");

namespace skylarkdyke::cli {

int emulateStore(const arguments &Arguments) {
  const auto Listen =
      Arguments.size() == 1 ? base::parseEndpoint(Arguments[0]) : std::nullopt;
  const auto Control = base::parseEndpoint(FLAGS_control);
  if (!Listen || (!FLAGS_control.empty() && !Control)) {
    std::cerr << "usage: skylarkdyke emulate-store IP:PORT [--control=IP:PORT] "
                 "[--instance_lag_ms=N] [--seed=N]\n";
    return ExitUsage;
  }
  blockStopSignals();
  emulators::store_emulator Store(
      {*Listen, Control, std::chrono::milliseconds(FLAGS_instance_lag_ms),
       FLAGS_seed});
  if (!Store.start()) {
    std::cerr << "cannot listen on " << Arguments[0]
              << (Control ? " and " + FLAGS_control : "") << "\n";
    return ExitRefused;
  }
  waitForStopSignal();
  Store.stop();
  return ExitDone;
}

int emulateTargets(const arguments &Arguments) {
  if (Arguments.empty()) {
    std::cerr << "usage: skylarkdyke emulate-targets IP:PORT...\n";
    return ExitUsage;
  }
  blockStopSignals();
  const emulators::target_behaviour Behaviour{
      FLAGS_slots, std::chrono::microseconds(FLAGS_work_us)};
  std::vector<std::unique_ptr<emulators::target_emulator>> Targets;
  for (const std::string &Argument : Arguments) {
    const auto Listen = base::parseEndpoint(Argument);
    if (!Listen) {
      std::cerr << Argument << ": is not an IPv4 address and port\n";
      return ExitUsage;
    }
    Targets.push_back(
        std::make_unique<emulators::target_emulator>(*Listen, Behaviour));
    if (!Targets.back()->start()) {
      std::cerr << "cannot listen on " << Argument << "\n";
      return ExitRefused;
    }
  }
  waitForStopSignal();
  return ExitDone;
}

} // namespace skylarkdyke::cli
