#ifndef SKYLARKDYKE_METRICS_INSTRUMENTS_HPP
#define SKYLARKDYKE_METRICS_INSTRUMENTS_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::metrics {

/// \brief Monotonically increasing counter. Thread-safe and lock-free.
class counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// \brief Value that can increase and decrease. Thread-safe and lock-free.
class gauge {
public:
  void set(double New) { Value.store(New, std::memory_order_relaxed); }
  void add(double Amount);
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// \brief Lower end of the range of a latency histogram. Shorter latencies are
/// counted in the first bucket.
inline constexpr std::chrono::microseconds ShortestLatency{50};
/// \brief Upper end of the range of a latency histogram. Longer latencies are
/// counted in the last bucket, which has no upper bound.
inline constexpr std::chrono::microseconds LongestLatency{60'000'000};
/// \brief Number of buckets in that range. The upper bound of each bucket
/// is 9.1% above its lower bound, so the error of a quantile is less than that.
inline constexpr unsigned LatencyBucketCount = 160;

/// \brief Histogram of latencies whose bucket bounds are equidistant on a
/// logarithmic scale. Thread-safe and lock-free.
class latency_histogram {
public:
  /// \brief Number of latencies not above an upper bound.
  struct bucket {
    std::chrono::duration<double> UpperBound;
    std::uint64_t CumulativeCount;
  };
  /// \brief Counts read at one time. Latencies that other threads observe
  /// during the read may be missing but are never counted twice.
  struct snapshot {
    /// In ascending order of bounds. The last bound is infinite, and its count
    /// is the total.
    std::vector<bucket> Buckets;
    std::chrono::duration<double> Sum{0};
  };

  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram &) = delete;
  latency_histogram &operator=(const latency_histogram &) = delete;

  /// \brief Adds a latency to the histogram.
  void observe(std::chrono::nanoseconds Latency);

  /// \brief Reads all buckets. O(LatencyBucketCount).
  snapshot read() const;

  /// \brief Estimates a quantile by interpolating within its bucket on the
  /// logarithmic scale.
  /// \param Fraction 0 to 1, e.g. 0.99 for p99
  /// \return the latency, limited to the range from ShortestLatency to
  /// LongestLatency, or nothing if none was observed
  std::optional<std::chrono::nanoseconds> quantile(double Fraction) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::metrics

#endif
