#ifndef SKYLARKDYKE_BASE_CLOCK_HPP
#define SKYLARKDYKE_BASE_CLOCK_HPP

#include <chrono>

namespace skylarkdyke::base {

/// \brief Monotonic clock that also runs while the process is stopped or the
/// machine is suspended (CLOCK_BOOTTIME), so that a paused process finds its
/// deadlines passed when it resumes.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// \brief Reads the clock.
  /// \return time since the machine's boot
  static time_point now() noexcept;
};

/// \brief Instant for deadlines within one process.
using boot_time = boot_clock::time_point;

/// \brief Instant that can be compared between processes, with the accuracy of
/// clock synchronisation.
using wall_time = std::chrono::system_clock::time_point;

/// \brief Converts a deadline on the wall clock to one on the boot clock.
/// \param Deadline instant on the wall clock
/// \return the same instant on the boot clock, by the current difference of the
/// clocks
boot_time toBootTime(wall_time Deadline) noexcept;

/// \brief Converts a deadline on the boot clock to one on the wall clock.
/// \param Deadline instant on the boot clock
/// \return the same instant on the wall clock, by the current difference of the
/// clocks
wall_time toWallTime(boot_time Deadline) noexcept;

} // namespace skylarkdyke::base

#endif
