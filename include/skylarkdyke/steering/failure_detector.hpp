#ifndef SKYLARKDYKE_STEERING_FAILURE_DETECTOR_HPP
#define SKYLARKDYKE_STEERING_FAILURE_DETECTOR_HPP

#include "skylarkdyke/base/clock.hpp"

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <variant>

namespace skylarkdyke::steering {

/// \brief Suspects a process when its latest heartbeat is older than a timeout.
class fixed_timeout {
public:
  explicit fixed_timeout(std::chrono::nanoseconds Timeout);

  void heartbeat(std::uint64_t Sequence, base::boot_time Now);
  bool suspects(base::boot_time Now) const;

private:
  std::chrono::nanoseconds Timeout;
  std::uint64_t LatestSequence = 0;
  base::boot_time Deadline = base::boot_time::min();
};

/// \brief Suspects a process when fewer than a minimum number of its heartbeats
/// arrived within a window.
class heartbeat_counting {
public:
  /// \param Window length of the window before the current time
  /// \param Minimum minimum number of heartbeats within the window, at least 1
  heartbeat_counting(std::chrono::nanoseconds Window, std::size_t Minimum);

  void heartbeat(std::uint64_t Sequence, base::boot_time Now);
  bool suspects(base::boot_time Now) const;

private:
  std::chrono::nanoseconds Window;
  std::uint64_t LatestSequence = 0;
  boost::circular_buffer<base::boot_time> Arrivals;
};

/// \brief Suspects a process when its next heartbeat is late by more than a
/// margin. The expected arrival time is estimated from past arrivals (W. Chen,
/// S. Toueg, M. K. Aguilera: On the Quality of Service of Failure Detectors,
/// 2002, algorithm NFD-E). Unlike NFD-E, the estimate is reset when a heartbeat
/// is late by more than half of the margin, because a sender that was paused
/// continues its sequence numbers but not its schedule.
class adaptive_timeout {
public:
  /// \param Interval between heartbeats at the sender
  /// \param Margin added to the expected arrival time
  /// \param WindowSize number of past arrivals used, at least 1
  adaptive_timeout(std::chrono::nanoseconds Interval,
                   std::chrono::nanoseconds Margin, std::size_t WindowSize);

  void heartbeat(std::uint64_t Sequence, base::boot_time Now);
  bool suspects(base::boot_time Now) const;

private:
  std::chrono::nanoseconds sendOffset(std::uint64_t Sequence) const;

  std::chrono::nanoseconds Interval;
  std::chrono::nanoseconds Margin;
  /// Sequence number from which send offsets are counted.
  std::uint64_t FirstSequence = 0;
  std::uint64_t LatestSequence = 0;
  base::boot_time FirstArrival;
  /// Arrival times minus the send offsets, relative to the first arrival.
  boost::circular_buffer<std::chrono::nanoseconds> Delays;
  std::chrono::nanoseconds DelaySum{0};
  base::boot_time Deadline = base::boot_time::min();
};

/// \brief Failure detector of any kind for one incarnation of one process.
///
/// Does no I/O and reads no clock: the time is an argument. Not thread-safe.
using failure_detector =
    std::variant<fixed_timeout, heartbeat_counting, adaptive_timeout>;

/// \brief Records the arrival of a heartbeat. Duplicate and reordered
/// heartbeats are ignored.
/// \param Sequence number assigned by the sender, starting at 1
void heartbeat(failure_detector &Detector, std::uint64_t Sequence,
               base::boot_time Now);

/// \brief Whether the process is suspected to have failed. A process is
/// suspected until its first heartbeat.
bool suspects(const failure_detector &Detector, base::boot_time Now);

} // namespace skylarkdyke::steering

#endif
