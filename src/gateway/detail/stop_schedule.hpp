#ifndef SKYLARKDYKE_GATEWAY_DETAIL_STOP_SCHEDULE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_STOP_SCHEDULE_HPP

#include "skylarkdyke/base/clock.hpp"

#include <chrono>

namespace skylarkdyke::gateway::detail {

/// \brief Times of a graceful stop.
struct stop_schedule {
  /// New connections are refused and idle ones closed from this time on.
  base::boot_time StopAcceptingAt;
  /// Every request must have its response by this time.
  base::boot_time RespondBy;
  /// The process ends at this time even if responses are still being written.
  base::boot_time ExitBy;
};

/// \brief Divides the grace of a stop.
/// \param RequestedAt time at which the stop signal arrived. The platform
/// counts the grace from then, however late the signal is handled.
/// \param Grace time from the signal until the platform kills the process
stop_schedule scheduleStop(base::boot_time RequestedAt,
                           std::chrono::milliseconds Grace);

} // namespace skylarkdyke::gateway::detail

#endif
