#include "skylarkdyke/metrics/instruments.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <limits>

namespace skylarkdyke::metrics {

namespace histogram = boost::histogram;
using float_seconds = std::chrono::duration<double>;

void gauge::add(double Amount) {
  double Old = value();
  while (!Value.compare_exchange_weak(Old, Old + Amount,
                                      std::memory_order_relaxed)) {
  }
}

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using atomic_counts = histogram::dense_storage<
    histogram::accumulators::thread_safe<std::uint64_t>>;

static log_axis makeAxis() {
  return {LatencyBucketCount, float_seconds(ShortestLatency).count(),
          float_seconds(LongestLatency).count()};
}

struct latency_histogram::impl {
  decltype(histogram::make_histogram_with(atomic_counts(), makeAxis())) Counts =
      histogram::make_histogram_with(atomic_counts(), makeAxis());
  std::atomic<std::int64_t> SumNanoseconds{0};
};

latency_histogram::latency_histogram() : Impl(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::observe(std::chrono::nanoseconds Latency) {
  Impl->Counts(float_seconds(Latency).count());
  Impl->SumNanoseconds.fetch_add(Latency.count(), std::memory_order_relaxed);
}

latency_histogram::snapshot latency_histogram::read() const {
  snapshot Snapshot;
  Snapshot.Buckets.reserve(LatencyBucketCount + 2);
  const auto &Axis = Impl->Counts.axis(0);
  std::uint64_t Cumulative = 0;
  // From the underflow bucket at -1 to the overflow bucket.
  for (int Index = -1; Index <= Axis.size(); ++Index) {
    Cumulative += Impl->Counts.at(Index).load(std::memory_order_relaxed);
    const double Bound = Index == Axis.size()
                             ? std::numeric_limits<double>::infinity()
                             : Axis.value(Index + 1);
    Snapshot.Buckets.push_back({float_seconds(Bound), Cumulative});
  }
  Snapshot.Sum = std::chrono::nanoseconds(
      Impl->SumNanoseconds.load(std::memory_order_relaxed));
  return Snapshot;
}

std::optional<std::chrono::nanoseconds>
latency_histogram::quantile(double Fraction) const {
  const std::vector<bucket> Buckets = read().Buckets;
  const auto Total = static_cast<double>(Buckets.back().CumulativeCount);
  if (Total <= 0)
    return std::nullopt;
  const double Rank = std::clamp(Fraction, 0.0, 1.0) * Total;
  const auto Found = std::find_if(
      Buckets.begin(), Buckets.end(), [Rank](const bucket &Bucket) {
        return Bucket.CumulativeCount > 0 &&
               static_cast<double>(Bucket.CumulativeCount) >= Rank;
      });
  if (Found == Buckets.begin())
    return ShortestLatency;
  if (std::isinf(Found->UpperBound.count()))
    return LongestLatency;
  const bucket &Below = *std::prev(Found);
  const auto CountBelow = static_cast<double>(Below.CumulativeCount);
  const double Share =
      (Rank - CountBelow) /
      (static_cast<double>(Found->CumulativeCount) - CountBelow);
  const double Ratio = Found->UpperBound / Below.UpperBound;
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      Below.UpperBound * std::pow(Ratio, std::max(0.0, Share)));
}

} // namespace skylarkdyke::metrics
