#ifndef SKYLARKDYKE_ADMISSION_SLIDING_COUNT_HPP
#define SKYLARKDYKE_ADMISSION_SLIDING_COUNT_HPP

#include "skylarkdyke/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace skylarkdyke::admission {

/// \brief Counts events of the last window, in steps of a twentieth of it.
///
/// Pure; memory is bounded by the number of steps.
class sliding_count {
public:
  explicit sliding_count(std::chrono::nanoseconds Window)
      : Window(Window), Step(Window / Steps) {}

  /// \brief Counts one event.
  void add(base::boot_time Now) {
    forget(Now);
    if (Buckets.empty() || Now >= Buckets.back().Start + Step)
      Buckets.push_back({Now, 0});
    ++Buckets.back().Count;
    ++Total;
  }

  /// \brief Events of the last window. An event may count for up to a twentieth
  /// of the window too long, never too short.
  std::uint64_t count(base::boot_time Now) {
    forget(Now);
    return Total;
  }

private:
  static constexpr int Steps = 20;
  struct bucket {
    base::boot_time Start;
    std::uint64_t Count;
  };

  void forget(base::boot_time Now) {
    while (!Buckets.empty() && Buckets.front().Start + Step + Window <= Now) {
      Total -= Buckets.front().Count;
      Buckets.pop_front();
    }
  }

  std::chrono::nanoseconds Window;
  std::chrono::nanoseconds Step;
  std::deque<bucket> Buckets;
  std::uint64_t Total = 0;
};

} // namespace skylarkdyke::admission

#endif
