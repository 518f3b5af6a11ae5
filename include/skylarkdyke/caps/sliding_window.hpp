#ifndef SKYLARKDYKE_CAPS_SLIDING_WINDOW_HPP
#define SKYLARKDYKE_CAPS_SLIDING_WINDOW_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/caps/cap.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkdyke::caps {

/// \brief Units taken within the last CapWindow, kept in buckets of equal
/// width.
///
/// A bucket counts in full as long as any instant of it lies in the window, so
/// the sum is never too low and at most one bucket's width too old. Time never
/// goes back: an earlier instant is read as the latest one seen. Pure; not
/// thread-safe.
class sliding_window {
public:
  /// Wider buckets need less memory, but keep units longer than the window:
  /// 20 ms cost about 1% of a cap.
  static constexpr std::chrono::milliseconds BucketWidth{20};
  /// One more than fit into the window, because both ends may cut a bucket.
  static constexpr std::size_t BucketCount = CapWindow / BucketWidth + 1;

  /// \brief Counts units at an instant. The sum saturates.
  void add(std::uint64_t Amount, base::boot_time Now);

  /// \brief Removes units that were counted at an instant. Has no effect once
  /// they left the window, and never removes more than the bucket holds.
  void remove(std::uint64_t Amount, base::boot_time CountedAt,
              base::boot_time Now);

  /// \brief Units within the window that ends now.
  std::uint64_t sum(base::boot_time Now) const;

private:
  void advance(std::int64_t Bucket);

  std::array<std::uint64_t, BucketCount> Buckets{};
  std::uint64_t Sum = 0;
  /// Number of the newest bucket, counted from the clock's epoch.
  std::int64_t Newest = 0;
};

} // namespace skylarkdyke::caps

#endif
