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

/// \brief Slots and waiting requests of one service in one region at this
/// entry, for heartbeats and gauges.
struct service_load {
  base::service_name Service;
  base::region_name Region;
  unsigned SlotsInUse = 0;
  unsigned UsableSlots = 0;
  std::size_t Waiting = 0;
};

/// \brief Callback for each request that a caller sent to this entry.
/// Arguments: the service, the time from arrival to answer, and the outcome.
/// Not reported are requests that another entry relayed, requests for unknown
/// services, requests that are refused before a configuration is in force or
/// because they cannot be parsed, and requests that end with an internal error.
using request_observer = std::function<void(
    const base::service_name &, std::chrono::nanoseconds, once::outcome)>;

/// \brief Serves the caller port: answers lookups and forwards requests to
/// targets. Thread-safe.
///
/// A non-idempotent request reaches a target only when its key belongs to this
/// entry's incarnation and has not expired, the ledger admits it to run, the
/// witness (if the key names one) has recorded the intent, and the deadline,
/// checked after that and immediately before sending, has not passed.
class caller_service {
public:
  /// \param Settings settings of this entry
  /// \param Dependencies functions of the other parts of the entry; they must
  /// outlive the service
  /// \param Observer called on the threads that serve requests; may be empty
  caller_service(settings::entry_settings Settings, dependencies Dependencies,
                 request_observer Observer = nullptr);
  ~caller_service();

  /// \brief Handles one request of the caller port. Blocks until the request
  /// has an answer or its deadline has passed.
  http::response handle(const http::server_request &Request);

  /// \brief Applies the configuration document in force, the current members
  /// and the current drain weights, and closes idle connections. Called at
  /// every control tick and after a document is installed.
  void refresh();

  /// \brief Applies the result of a health probe to the target's queue.
  void reportProbe(const targets::probe_result &Result);

  /// \brief Counts a target crash that another entry reported.
  void addCrash(const poison::crash_report &Report);
  /// \brief Requests that are currently blocked, for the operators' list.
  std::vector<poison::blocked_request> blockedRequests() const;
  /// \brief Unblocks a request on behalf of an operator.
  /// \return false if the fingerprint is not blocked
  bool releaseBlocked(std::uint64_t Fingerprint);

  /// \brief Starts draining this entry: it omits itself from lookup answers and
  /// reports not ready. It serves requests until the last lookup answer that
  /// may name it has expired.
  void beginLeaving();
  /// \brief True when the entry is leaving, every lookup answer that may name
  /// it has expired, and no request is in flight.
  bool drained() const;

  std::vector<service_load> loads() const;
  const counters &counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::callers

#endif
