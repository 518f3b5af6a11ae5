#ifndef SKYLARKDYKE_METRICS_INSTRUMENTS_HPP
#define SKYLARKDYKE_METRICS_INSTRUMENTS_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::metrics {

/// \brief A number that only rises. Thread-safe and lock-free.
class counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// \brief A number that rises and falls. Thread-safe and lock-free.
class gauge {
public:
  void set(double New) { Value.store(New, std::memory_order_relaxed); }
  void add(double Amount);
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// Range of the buckets of a latency histogram. Shorter latencies count in the
/// first bucket, longer ones in a last one without an upper bound.
inline constexpr std::chrono::microseconds ShortestLatency{50};
inline constexpr std::chrono::microseconds LongestLatency{60'000'000};
/// The upper bound of each bucket is 9.1% above its lower one, so a quantile is
/// off by less than that.
inline constexpr unsigned LatencyBuckets = 160;

/// \brief Histogram of latencies with bounds at even distances on a logarithmic
/// scale. Thread-safe and lock-free.
class latency_histogram {
public:
  /// \brief Number of latencies up to a bound.
  struct bucket {
    std::chrono::duration<double> UpperBound;
    std::uint64_t CumulativeCount;
  };
  /// \brief The counts at one time. Observations of other threads during the
  /// read may be missing, never counted twice.
  struct snapshot {
    /// The bounds rise; the last one is infinite and its count is that of all.
    std::vector<bucket> Buckets;
    std::chrono::duration<double> Sum{0};
  };

  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram &) = delete;
  latency_histogram &operator=(const latency_histogram &) = delete;

  /// \brief Counts a latency.
  void observe(std::chrono::nanoseconds Latency);

  /// \brief Reads all buckets. Complexity: O(LatencyBuckets).
  snapshot read() const;

  /// \brief Estimates a quantile by interpolation on the logarithmic scale
  /// within its bucket.
  /// \param Fraction 0 to 1, e.g. 0.99 for p99
  /// \return the latency, at most LongestLatency, or nothing if none was
  /// observed
  std::optional<std::chrono::nanoseconds> quantile(double Fraction) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::metrics

#endif
