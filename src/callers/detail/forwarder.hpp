#ifndef SKYLARKDYKE_CALLERS_DETAIL_FORWARDER_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_FORWARDER_HPP

#include "callers/detail/crash_detector.hpp"
#include "callers/detail/request_context.hpp"
#include "callers/detail/snapshot.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"
#include "skylarkdyke/steering/retry_budget.hpp"
#include "skylarkdyke/steering/shift_limiter.hpp"
#include "skylarkdyke/targets/connection_pool.hpp"

#include <atomic>
#include <mutex>
#include <variant>

namespace skylarkdyke::callers::detail {

/// \brief Options for forwarding one request.
struct send_options {
  /// This entry is the dispatcher of the service in its region and may use all
  /// slots of the targets there. Otherwise it uses at most one slot of each.
  bool IsDispatcher = false;
  /// An earlier attempt by another entry may have run the request.
  bool MayHaveRun = false;
};

/// \brief Sends requests to targets: selects region and target, takes units of
/// the caps, and retries attempts where that is safe. Thread-safe.
class forwarder {
public:
  /// Maximum number of attempts after the first one.
  static constexpr unsigned MaxRetries = 2;

  forwarder(const dependencies &Dependencies, counters &Counters,
            crash_detector &CrashDetector);

  /// \brief Applies the connection limits and the shift cap of a new document.
  void configure(const document_tables &Tables);

  /// \brief Sends a request to targets, with retries, until it has an outcome.
  answer run(const request_context &Context, const snapshot &Snapshot,
             send_options Options);

  /// \brief Takes one retry from the service's retry budget.
  /// \return false if the budget is exhausted
  bool tryRetry(const base::service_name &Service);

  void closeIdle(base::boot_time Now) { Pool.closeIdle(Now); }

private:
  /// Result of one attempt.
  struct attempt {
    answer Answer;
    /// A retry is safe and may succeed at another target.
    bool MayRetry = false;
    steering::attempt_result Result = steering::attempt_result::Cancelled;
  };

  std::variant<const region_queue *, answer>
  chooseRegion(const request_context &Context, const snapshot &Snapshot);
  attempt tryOnce(const request_context &Context, const snapshot &Snapshot,
                  const region_queue &RegionQueue,
                  const config::target &Target);
  /// \brief Takes units of the caps. If the share does not suffice, waits for
  /// loans of other entries for up to CapWaitTimeout.
  /// \return an instant no later than the units were taken, or nothing if the
  /// caps are exhausted
  std::optional<base::boot_time>
  takeCaps(const request_context &Context,
           const std::vector<caps::demand> &Demands);
  attempt exchange(const request_context &Context, const config::target &Target,
                   targets::connection_pool::lease &Connection,
                   const std::vector<caps::demand> &Demands,
                   const base::region_name &TargetRegion,
                   http::request Outgoing);
  attempt classifyResponse(const request_context &Context,
                           const config::target &Target, const std::string &Id,
                           http::response Response,
                           targets::connection_pool::lease &Connection);
  attempt classifyError(const request_context &Context,
                        const config::target &Target,
                        const http::exchange_error &Error,
                        base::boot_time SentAt);
  answer slotRefusalAnswer(const request_context &Context,
                           slot_refusal Refusal);
  http::request makeTargetRequest(const request_context &Context);

  const dependencies &Dependencies;
  counters &Counters;
  crash_detector &CrashDetector;
  targets::connection_pool Pool;
  std::atomic<std::uint64_t> AttemptCount{0};
  std::mutex Mutex;
  steering::retry_budget RetryBudget;
  steering::shift_limiter ShiftLimiter{0};
};

} // namespace skylarkdyke::callers::detail

#endif
