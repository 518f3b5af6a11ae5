#include "skylarkdyke/caps/sliding_window.hpp"

#include <algorithm>
#include <limits>

namespace skylarkdyke::caps {

static std::int64_t bucketOf(base::boot_time Time) {
  return Time.time_since_epoch() / sliding_window::BucketWidth;
}

static std::size_t slotOf(std::int64_t Bucket) {
  return static_cast<std::size_t>(Bucket) % sliding_window::BucketCount;
}

void sliding_window::advance(std::int64_t Bucket) {
  if (Bucket <= Newest)
    return;
  const auto Count = static_cast<std::int64_t>(BucketCount);
  for (std::int64_t Old = std::max(Newest + 1, Bucket - Count + 1);
       Old <= Bucket; ++Old) {
    Sum -= Buckets[slotOf(Old)];
    Buckets[slotOf(Old)] = 0;
  }
  Newest = Bucket;
}

void sliding_window::add(std::uint64_t Amount, base::boot_time Now) {
  advance(bucketOf(Now));
  const std::uint64_t Capacity =
      std::numeric_limits<std::uint64_t>::max() - Sum;
  const std::uint64_t Counted = std::min(Amount, Capacity);
  Buckets[slotOf(Newest)] += Counted;
  Sum += Counted;
}

void sliding_window::remove(std::uint64_t Amount, base::boot_time CountedAt,
                            base::boot_time Now) {
  advance(bucketOf(Now));
  const std::int64_t Bucket = bucketOf(CountedAt);
  if (Bucket > Newest ||
      Bucket <= Newest - static_cast<std::int64_t>(BucketCount))
    return;
  std::uint64_t &Units = Buckets[slotOf(Bucket)];
  const std::uint64_t Removed = std::min(Amount, Units);
  Units -= Removed;
  Sum -= Removed;
}

std::uint64_t sliding_window::sum(base::boot_time Now) const {
  std::uint64_t Remaining = Sum;
  const std::int64_t Bucket = bucketOf(Now);
  const auto Count = static_cast<std::int64_t>(BucketCount);
  for (std::int64_t Old = std::max<std::int64_t>(0, Newest - Count + 1);
       Old <= std::min(Newest, Bucket - Count); ++Old)
    Remaining -= Buckets[slotOf(Old)];
  return Remaining;
}

} // namespace skylarkdyke::caps
