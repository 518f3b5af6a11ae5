#ifndef SKYLARKDYKE_GATEWAY_DETAIL_EXCHANGE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_EXCHANGE_HPP

#include "gateway/detail/channel_pool.hpp"
#include "gateway/detail/crash_guard.hpp"
#include "gateway/detail/demand_meter.hpp"
#include "gateway/detail/quota_service.hpp"
#include "gateway/detail/response_relay.hpp"
#include "gateway/detail/send_outcome.hpp"
#include "gateway/detail/steering_state.hpp"
#include "gateway/detail/stop_schedule.hpp"
#include "gateway/detail/team_labels.hpp"
#include "gateway/detail/weighted_round_robin.hpp"
#include "skylarkdyke/admission/retry_allowance.hpp"
#include "skylarkdyke/metrics/registry.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"
#include "skylarkdyke/placement/placer.hpp"
#include "skylarkdyke/poison/fingerprint.hpp"
#include "skylarkdyke/routing/identification.hpp"
#include "skylarkdyke/telemetry/decision_log.hpp"

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace skylarkdyke::gateway::detail {

class exchange;

/// \brief State that all exchanges of an entry share.
struct steering_context {
  boost::asio::io_context &Loop;
  net::response_memory &Memory;
  const header_names &Headers;
  steering_state &State;
  placement::target_registry &TargetRegistry;
  placement::placer &Placer;
  channel_pool &Pool;
  admission::retry_allowance &Retries;
  metrics::registry &Metrics;
  telemetry::decision_log &Log;
  crash_guard &Crashes;
  quota_service &Quotas;
  weighted_round_robin ServiceSelector;
  demand_meter Demand;
  /// Number of entries that divide the connection limits of targets, this one
  /// included: live ones, and silent ones that may still use their part.
  unsigned EntryCount = 1;
  /// Number of entries that divide the slack of the retry allowance; the
  /// greatest number until this entry has a part of it.
  unsigned RetrySlackEntries = std::numeric_limits<unsigned>::max();
  /// Set during a graceful stop.
  std::optional<stop_schedule> Stop;
  /// Exchanges that exist, with or without a response. They share the set,
  /// because the event loop may destroy them after the gateway.
  std::shared_ptr<std::unordered_set<exchange *>> Running =
      std::make_shared<std::unordered_set<exchange *>>();
  /// Time after which a leaving target gets no requests.
  std::chrono::milliseconds DrainTime{2500};
  team_labels TeamLabels = {};
};

/// \brief Handles one request: selects a target, forwards the request,
/// retries or hedges it, and responds to the caller.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  /// \brief Starts to handle a request. The exchange stays alive while an
  /// attempt or the timer is pending.
  static void start(steering_context &Context,
                    std::shared_ptr<net::pending_request> Caller);

  /// \brief Responds to all requests that still have no response, and cancels
  /// their attempts.
  static void endAllForStop(steering_context &Context);

  exchange(steering_context &Context,
           std::shared_ptr<net::pending_request> Caller);
  ~exchange();
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

private:
  /// One attempt to send the request to a target.
  struct attempt {
    placement::chosen_target Chosen;
    std::shared_ptr<net::http_channel> Channel;
    base::boot_time SentAt;
    bool Running = true;
  };

  bool resolveRoute();
  bool resolveTeam();
  bool hasLostPermission() const;
  void refuseLostPermission();
  void respondToKeyFault(routing::key_fault Fault);
  net::http_request targetRequest(const base::target_id &Target,
                                  std::chrono::milliseconds TimeLeft) const;
  void readDeadline();
  bool needsQuota() const;
  void acquireQuota();
  void onQuotaResult(const quota_service::result &Result);
  void giveBackQuota();
  void selectTarget();
  void onNoTarget(const placement::no_target &NoTargetResult);
  void send(const placement::chosen_target &Chosen);
  net::response_use onHead(std::size_t Index,
                           const net::http_response_head &Head,
                           bool IsFirstOnConnection, bool Complete);
  void onCallResult(std::size_t Index, net::call_result Result);
  void releaseChannel(const attempt &Attempt, base::boot_time Now);
  std::function<bool(net::http_request &)>
  sendCheck(const placement::chosen_target &Chosen) const;
  void recordResponse(const attempt &Attempt,
                      const net::http_response &Response);
  void onResponse(std::size_t Index, response_received Outcome);
  void keepErrorResponse(net::http_response Response,
                         const base::endpoint &Target);
  void dropErrorResponse();
  bool isRelayed(std::size_t Index) const;
  void finishRelay(net::http_response Response);
  void breakRelay(const std::string &Reason);
  void onAttemptFailed(const std::string &Reason, bool AttemptMayHaveRun);
  bool mayTryNextTarget(placement::send_result Result);
  bool tryAcquireRetry();
  void waitForColdTarget(std::chrono::nanoseconds Time);
  void scheduleHedge(const attempt &Attempt);
  void onCallerDisconnected();
  void endForStop();
  void cancelRunningAttempts();
  bool hasRunningAttempt() const;
  void respond(net::http_response Response, const char *Outcome);
  void respondWithFailure();
  void respondWithError(unsigned Status, const std::string &Reason,
                        std::optional<std::chrono::nanoseconds> RetryAfter);
  void logLostResponse();
  void logBrokenResponse(const std::string &Reason);
  void logRequest(unsigned Status, const char *Outcome);
  void logColdSend(const placement::chosen_target &Chosen, base::boot_time Now);
  void logFailedAttempt(const attempt &Attempt, const std::string &Reason,
                        bool AttemptMayHaveRun);
  std::string requestHeader(const std::string &Name) const;
  const poison::request_identity &identity();
  bool isBlocked();
  void refuseBlocked();
  bool hasCrashedTarget();
  void recordUnanswered(const attempt &Attempt,
                        const net::channel_error &Failure);

  steering_context &Context;
  std::shared_ptr<std::unordered_set<exchange *>> Running;
  std::shared_ptr<net::pending_request> Caller;
  /// Keeps Query.Route valid when the configuration changes.
  std::shared_ptr<const routing::route_table> Routes;
  placement::placement_query Query;
  /// Computed when it is first needed, because it takes the whole body.
  std::optional<poison::request_identity> Identity;
  /// Counts the request in the quota of its team.
  std::optional<quotas::token> QuotaToken;
  /// Delays an attempt while the rate limit of cold targets is reached; while
  /// an attempt runs, triggers the hedged attempt.
  net::one_shot_timer NextAttemptTimer;
  std::vector<attempt> Attempts;
  /// Error response of a target that the caller gets if no other target
  /// answers.
  std::optional<net::http_response> TargetErrorResponse;
  /// Memory of that response. If it is reclaimed, the caller gets 502.
  std::optional<net::response_memory::holding> TargetErrorMemory;
  /// Set while a response is sent on to the caller in pieces.
  std::optional<response_relay> Relay;
  /// Index of the attempt that Relay belongs to.
  std::size_t RelayedAttempt = 0;
  std::string LastFailureReason;
  unsigned ColdWaits = 0;
  /// Number of targets to which no connection could be opened; nothing was
  /// sent to them.
  unsigned UnreachableTargets = 0;
  /// A target may have executed the request.
  bool MayHaveRun = false;
  bool TimedOut = false;
  /// A target has run the request to its end.
  bool Completed = false;
  /// The caller has a response or the start of one, or has disconnected.
  bool Done = false;
};

} // namespace skylarkdyke::gateway::detail

#endif
