#ifndef SKYLARKDYKE_ADMISSION_SLIDING_WINDOW_COUNTER_HPP
#define SKYLARKDYKE_ADMISSION_SLIDING_WINDOW_COUNTER_HPP

#include "skylarkdyke/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace skylarkdyke::admission {

/// \brief Counts the events of a sliding time window, in buckets of a twentieth
/// of the window.
///
/// Reads no clock: the time is passed as an argument. Memory is bounded by the
/// number of buckets. Not thread-safe.
class sliding_window_counter {
public:
  explicit sliding_window_counter(std::chrono::nanoseconds Window)
      : Window(Window), BucketLength(Window / BucketsPerWindow) {}

  void add(base::boot_time Now) {
    evictExpired(Now);
    if (Buckets.empty() || Now >= Buckets.back().Start + BucketLength)
      Buckets.push_back({Now, 0});
    ++Buckets.back().Count;
    ++Total;
  }

  /// \return number of events within the window. An event may count for up to a
  /// twentieth of the window too long, but never for less than the window
  std::uint64_t count(base::boot_time Now) {
    evictExpired(Now);
    return Total;
  }

private:
  static constexpr int BucketsPerWindow = 20;
  struct bucket {
    base::boot_time Start;
    std::uint64_t Count;
  };

  void evictExpired(base::boot_time Now) {
    while (!Buckets.empty() &&
           Buckets.front().Start + BucketLength + Window <= Now) {
      Total -= Buckets.front().Count;
      Buckets.pop_front();
    }
  }

  std::chrono::nanoseconds Window;
  std::chrono::nanoseconds BucketLength;
  std::deque<bucket> Buckets;
  std::uint64_t Total = 0;
};

} // namespace skylarkdyke::admission

#endif
