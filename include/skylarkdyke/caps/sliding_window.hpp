#ifndef SKYLARKDYKE_CAPS_SLIDING_WINDOW_HPP
#define SKYLARKDYKE_CAPS_SLIDING_WINDOW_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/caps/cap.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkdyke::caps {

/// \brief Number of units counted within the last CapWindow, stored in buckets
/// of equal width.
///
/// A bucket counts in full while any part of it lies in the window, so the sum
/// is never too low, and includes units that are at most one bucket width too
/// old. Time is monotonic: an instant before the latest one seen is replaced by
/// the latest one. Does no I/O and reads no clock. Not thread-safe.
class sliding_window {
public:
  /// Wider buckets need less memory but keep units beyond the window: 20 ms
  /// reduce the usable part of a cap by about 1%.
  static constexpr std::chrono::milliseconds BucketWidth{20};
  /// One more bucket than fits into the window, because both ends of the window
  /// may lie within a bucket.
  static constexpr std::size_t BucketCount = CapWindow / BucketWidth + 1;

  /// \brief Counts units at an instant. The sum saturates.
  void add(std::uint64_t Amount, base::boot_time Now);

  /// \brief Removes units that were counted at an instant. Has no effect once
  /// they have left the window, and never removes more than the bucket
  /// contains.
  void remove(std::uint64_t Amount, base::boot_time CountedAt,
              base::boot_time Now);

  /// \brief Number of units within the window that ends at Now.
  std::uint64_t sum(base::boot_time Now) const;

private:
  void advance(std::int64_t Bucket);

  std::array<std::uint64_t, BucketCount> Buckets{};
  std::uint64_t Sum = 0;
  /// Number of the newest bucket since the clock's epoch.
  std::int64_t Newest = 0;
};

} // namespace skylarkdyke::caps

#endif
