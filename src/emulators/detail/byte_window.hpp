#ifndef SKYLARKDYKE_EMULATORS_DETAIL_BYTE_WINDOW_HPP
#define SKYLARKDYKE_EMULATORS_DETAIL_BYTE_WINDOW_HPP

#include "skylarkdyke/base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace skylarkdyke::emulators::detail {

/// \brief Sum of bytes over the last second, and its largest value.
class byte_window {
public:
  void add(std::uint64_t Bytes, base::boot_time Now) {
    while (!Events.empty() && Events.front().At + Window <= Now) {
      Sum -= Events.front().Bytes;
      Events.pop_front();
    }
    Events.push_back({Now, Bytes});
    Sum += Bytes;
    Peak = std::max(Peak, Sum);
  }

  std::uint64_t peak() const { return Peak; }
  void resetPeak() { Peak = 0; }

private:
  static constexpr std::chrono::seconds Window{1};

  struct sample {
    base::boot_time At;
    std::uint64_t Bytes;
  };

  std::deque<sample> Events;
  std::uint64_t Sum = 0;
  std::uint64_t Peak = 0;
};

} // namespace skylarkdyke::emulators::detail

#endif
