#ifndef SKYLARKDYKE_CALLERS_CALLER_SERVICE_HPP
#define SKYLARKDYKE_CALLERS_CALLER_SERVICE_HPP

#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"
#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/once/ledger.hpp"
#include "skylarkdyke/settings/settings.hpp"
#include "skylarkdyke/targets/prober.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace skylarkdyke::callers {

/// \brief Load of one service at this entry, for heartbeats and gauges.
struct service_load {
  base::service_name Service;
  base::region_name Region;
  unsigned SlotsInUse = 0;
  unsigned UsableSlots = 0;
  std::size_t Waiting = 0;
};

/// \brief Told about each request that a caller sent to this entry: service,
/// time from arrival to answer, outcome.
using request_observer = std::function<void(
    const base::service_name &, std::chrono::nanoseconds, once::outcome)>;

/// \brief Answers callers: lookups and forwarded requests. Thread-safe.
///
/// A non-idempotent request reaches a target only when its key belongs to this
/// entry's incarnation and has not expired, the ledger gave it out to run, the
/// witness (if the key names one) recorded the intent, and the deadline, read
/// after that and immediately before sending, has not passed.
class caller_service {
public:
  /// \param Settings settings of this entry
  /// \param Dependencies the rest of the entry; its functions outlive the
  /// service
  /// \param Observer called from the threads of requests; may be empty
  caller_service(settings::entry_settings Settings, dependencies Dependencies,
                 request_observer Observer = nullptr);
  ~caller_service();

  /// \brief Handles one request of the caller port. Blocks until the answer is
  /// known or the request's deadline has passed.
  http::response handle(const http::server_request &Request);

  /// \brief Takes over the document in force, the members and the weights of
  /// drains at this instant, and closes connections that were idle for long.
  /// Called at every control tick and after an installation.
  void refresh();

  /// \brief Learns from a probe of a target.
  void reportProbe(const targets::probe_result &Result);

  /// \brief Counts a crash that another entry saw.
  void addCrash(const poison::crash_report &Report);
  /// \brief Requests that are blocked now, for the operators' list.
  std::vector<poison::blocked_request> blockedRequests() const;
  /// \brief Ends a block by an operator's decision.
  /// \return false if the fingerprint is not blocked
  bool releaseBlocked(std::uint64_t Fingerprint);

  /// \brief Leaves this entry out of its lookup answers and stops being ready.
  /// Requests are still served.
  void beginLeaving();
  /// \brief True when every lookup answer that may name this entry has expired
  /// and no request is in flight.
  bool drained() const;

  std::vector<service_load> loads() const;
  const counters &counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::callers

#endif
