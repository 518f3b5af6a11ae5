#include "gateway/detail/stop_schedule.hpp"

namespace skylarkdyke::gateway::detail {

static constexpr double AcceptGraceFraction = 0.5;
static constexpr double ResponseGraceFraction = 0.9;
/// The rest of the grace is for the end of the process on a slow machine.
static constexpr double ExitGraceFraction = 0.94;

stop_schedule scheduleStop(base::boot_time RequestedAt,
                           std::chrono::milliseconds Grace) {
  const auto After = [&](double Fraction) {
    return RequestedAt + std::chrono::duration_cast<std::chrono::milliseconds>(
                             Grace * Fraction);
  };
  return {After(AcceptGraceFraction), After(ResponseGraceFraction),
          After(ExitGraceFraction)};
}

} // namespace skylarkdyke::gateway::detail
