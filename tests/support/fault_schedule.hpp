#ifndef SKYLARKDYKE_TESTS_SUPPORT_FAULT_SCHEDULE_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_FAULT_SCHEDULE_HPP

#include "skylarkdyke/emulators/deployment.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace test_support {

enum class fault_kind {
  KillEntry,
  FreezeEntry,
  StopEntry,
  CutRegions,
  CutDomains,
  LoseAnswers,
  TruncateAnswers,
  DelayAnswers,
  CrashTarget,
  RefuseStore,
  HangStore,
  LoseStoreAnswers,
  StaleStoreReads
};

/// \brief One fault of a schedule.
struct planned_fault {
  fault_kind Kind = fault_kind::KillEntry;
  /// Times since the start of the faults. The fault ends at End; a killed or
  /// stopped entry is started again then.
  std::chrono::milliseconds Start{0};
  std::chrono::milliseconds End{0};
  /// Index of the entry or target that it concerns.
  std::size_t Index = 0;
  /// Failure domains or regions of a cut.
  std::string From;
  std::string To;
  /// Delay in ms, or number of store calls.
  unsigned Amount = 0;
};

/// \brief Describes a fault in one line, without its times.
std::string describe(const planned_fault &Fault,
                     const skylarkdyke::emulators::deployment &Plan);

/// \brief Draws the faults of a run of the given length, in order of their
/// start. The result depends on the arguments only; the addresses of the
/// deployment have no influence.
std::vector<planned_fault>
makeSchedule(std::uint64_t Seed, std::chrono::milliseconds Length,
             const skylarkdyke::emulators::deployment &Plan);

} // namespace test_support

#endif
