#ifndef SKYLARKDYKE_CALLERS_COUNTERS_HPP
#define SKYLARKDYKE_CALLERS_COUNTERS_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace skylarkdyke::callers {

/// \brief Events that the caller service counts. toString() gives the metric
/// name of each.
enum class counter : std::size_t {
  Lookups,
  LookupsRefused,
  Requests,
  RequestsRefused,
  Attempts,
  Retries,
  RetriesRefused,
  QueueFull,
  DeadlinePassed,
  CallerGone,
  CapRefused,
  ShiftRefused,
  Shed,
  ConnectFailed,
  ConnectionLimit,
  AnswerTruncated,
  AnswerMissing,
  AnswerMalformed,
  AnswerTooLarge,
  AnswerOfOtherRequest,
  Crashes,
  CrashChecksDropped,
  Blocked,
  KeyRepeated,
  KeyRefused,
  IntentRefused,
  OwnerSealed,
  RelayedToOwner,
  RelayedToDispatcher,
  RelayFailed,
  RelayMisdirected,
  DirectSends,
  Count,
};

/// \brief Metric name of a counter, in snake case.
const char *toString(counter Counter);

/// \brief Monotonic event counters of the caller service. Thread-safe.
class counters {
public:
  void add(counter Counter) {
    Values[static_cast<std::size_t>(Counter)].fetch_add(
        1, std::memory_order_relaxed);
  }

  std::uint64_t get(counter Counter) const {
    return Values[static_cast<std::size_t>(Counter)].load(
        std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(counter::Count)>
      Values{};
};

} // namespace skylarkdyke::callers

#endif
