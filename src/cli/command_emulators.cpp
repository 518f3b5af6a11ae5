#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/emulators/store_emulator.hpp"
#include "skylarkdyke/emulators/target_group.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(control, "",
              "emulate-store: IP:PORT for the faults; emulate-targets: IP:PORT "
              "for the journal and the behaviour; none if empty");
DEFINE_uint32(instance_lag_ms, 0,
              "emulate-store: time until a change of the instance list shows");
DEFINE_uint32(slots, 4, "emulate-targets: slots of each target");
DEFINE_uint32(work_us, 5000,
              "emulate-targets: time that a request holds its slot, in us");
DEFINE_uint32(queue, 0, "emulate-targets: requests that wait for a slot");
DEFINE_bool(exponential, false,
            "emulate-targets: draw the work time from an exponential "
            "distribution with the mean work_us");
DEFINE_uint32(cold_runs, 0,
              "emulate-targets: first requests that take cold_factor longer");
DEFINE_double(cold_factor, 1,
              "emulate-targets: factor on the work time of cold runs");
DEFINE_uint32(
    crash_ms, 2000,
    "emulate-targets: time that a crashed target refuses connections, "
    "in ms");
DEFINE_string(target_service, "",
              "emulate-targets: name of the service in the journal");
DEFINE_uint64(
    seed, 1, "emulate-store, emulate-targets and load: seed of random numbers");

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

static emulators::target_behaviour behaviourFromFlags() {
  emulators::target_behaviour Behaviour;
  Behaviour.Service = FLAGS_target_service;
  Behaviour.Slots = FLAGS_slots;
  Behaviour.Queue = FLAGS_queue;
  Behaviour.WorkTime = std::chrono::microseconds(FLAGS_work_us);
  Behaviour.Exponential = FLAGS_exponential;
  Behaviour.Seed = FLAGS_seed;
  Behaviour.ColdRuns = FLAGS_cold_runs;
  Behaviour.ColdFactor = FLAGS_cold_factor;
  Behaviour.CrashTime = std::chrono::milliseconds(FLAGS_crash_ms);
  return Behaviour;
}

int emulateTargets(const arguments &Arguments) {
  const auto Control = base::parseEndpoint(FLAGS_control);
  if (Arguments.empty() || (!Control && !FLAGS_control.empty())) {
    std::cerr << "usage: skylarkdyke emulate-targets IP:PORT... "
                 "[--control=IP:PORT]\n";
    return ExitUsage;
  }
  blockStopSignals();
  emulators::target_behaviour Behaviour = behaviourFromFlags();
  emulators::target_group Targets(Control);
  for (const std::string &Argument : Arguments) {
    const auto Listen = base::parseEndpoint(Argument);
    if (!Listen) {
      std::cerr << Argument << ": is not an IPv4 address and port\n";
      return ExitUsage;
    }
    Targets.add(*Listen, Behaviour);
    // Targets with the same seed would draw the same work times.
    ++Behaviour.Seed;
  }
  if (const auto Unbound = Targets.start()) {
    std::cerr << "cannot listen on " << base::toString(*Unbound) << "\n";
    return ExitRefused;
  }
  waitForStopSignal();
  Targets.stop();
  return ExitDone;
}

} // namespace skylarkdyke::cli
