#ifndef SKYLARKDYKE_CALLERS_DETAIL_FORWARDER_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_FORWARDER_HPP

#include "callers/detail/crash_guard.hpp"
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

/// \brief How this entry may use the targets for a request.
struct send_rights {
  /// This entry selects the service's targets in its region. Otherwise it uses
  /// at most one slot of each.
  bool IsDispatcher = false;
  /// An earlier attempt by another entry may have run the request.
  bool MayHaveRun = false;
};

/// \brief Sends requests to targets: chooses region and target, takes the caps,
/// retries what was not run. Thread-safe.
class forwarder {
public:
  /// Attempts beyond the first.
  static constexpr unsigned MaxRetries = 2;

  forwarder(const dependencies &Dependencies, counters &Counters,
            crash_guard &Crashes);

  /// \brief Takes connection bounds and the shift cap from a new document.
  void configure(const document_tables &Tables);

  /// \brief Sends a request until it has an outcome.
  answer run(const request_context &Context, const snapshot &Snapshot,
             send_rights Rights);

  /// \brief Takes a retry from the service's budget.
  bool tryRetry(const base::service_name &Service);

  void closeIdle(base::boot_time Now) { Pool.closeIdle(Now); }

private:
  /// How an attempt ended.
  struct attempt {
    answer Answer;
    /// Sending the request again is allowed and may help.
    bool MayRetry = false;
    steering::attempt_result Result = steering::attempt_result::Cancelled;
  };

  std::variant<const region_queue *, answer>
  chooseRegion(const request_context &Context, const snapshot &Snapshot);
  attempt tryOnce(const request_context &Context, const snapshot &Snapshot,
                  const region_queue &Place, const config::target &Target);
  /// \brief Takes share of the caps, waiting for loans for a short time.
  /// \return an instant not after the taking, or nothing if no share came
  std::optional<base::boot_time>
  takeCaps(const request_context &Context,
           const std::vector<caps::demand> &Demands);
  attempt exchange(const request_context &Context, const config::target &Target,
                   targets::connection_pool::lease &Connection,
                   const std::vector<caps::demand> &Demands,
                   const base::region_name &TargetRegion,
                   http::request Outgoing);
  attempt judgeAnswer(const request_context &Context,
                      const config::target &Target, const std::string &Id,
                      http::response Response,
                      targets::connection_pool::lease &Connection);
  attempt judgeFault(const request_context &Context,
                     const config::target &Target,
                     const http::exchange_error &Error, base::boot_time SentAt);
  answer refusal(const request_context &Context, slot_refusal Refusal);
  http::request outgoing(const request_context &Context);

  const dependencies &Dependencies;
  counters &Counters;
  crash_guard &Crashes;
  targets::connection_pool Pool;
  std::atomic<std::uint64_t> Attempts{0};
  std::mutex Mutex;
  steering::retry_budget Budget;
  steering::shift_limiter Shift{0};
};

} // namespace skylarkdyke::callers::detail

#endif
