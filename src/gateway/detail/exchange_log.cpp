#include "gateway/detail/exchange.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

using std::chrono::nanoseconds;

/// One in this many requests is logged of those that succeed or have no valid
/// key; all other requests are logged without sampling.
static constexpr std::uint64_t LogSamplingInterval = 64;

void exchange::logFailedAttempt(const attempt &Attempt,
                                const std::string &Reason,
                                bool AttemptMayHaveRun) {
  const auto Now = base::boot_clock::now();
  const std::string RequestId = requestHeader(Context.Headers.RequestId);
  const placement::target_state *State =
      Context.TargetRegistry.find(Attempt.Chosen.Id);
  SKYLARKDYKE_DECISION(
      Context.Log, SendFailed, Now,
      {{"request", RequestId},
       {"target", Attempt.Chosen.Id.str()},
       {"reason", Reason},
       {"may_have_run", AttemptMayHaveRun},
       {"fingerprint", poison::toString(identity().OfAnyCaller)},
       {"caller", Caller->callerAddress()},
       {"target_started_ms", Attempt.Chosen.StartedAtMs},
       {"expected_load", Attempt.Chosen.ExpectedLoad},
       {"warm", Attempt.Chosen.Warm},
       {"took_ms", nanoseconds(Now - Attempt.SentAt)},
       {"ejected", State != nullptr && State->EjectedUntil > Now}});
}

/// Logs a send to a cold target. To be called before the send is recorded.
void exchange::logColdSend(const placement::chosen_target &Chosen,
                           base::boot_time Now) {
  const placement::target_state *State = Context.TargetRegistry.find(Chosen.Id);
  if (State == nullptr || !placement::target_registry::isCold(*State, Now))
    return;
  Context.Metrics
      .counter("skylarkdyke_cold_sends_total",
               "Requests sent to cold targets, by service",
               {{"service", Query.Service->Name.str()}})
      .add();
  SKYLARKDYKE_DECISION(
      Context.Log, ColdSend, Now,
      {{"request", requestHeader(Context.Headers.RequestId)},
       {"target", Chosen.Id.str()},
       {"target_started_ms", Chosen.StartedAtMs},
       {"cold_left_ms",
        nanoseconds(std::max(State->ColdUntil, State->MayBeColdUntil) - Now)},
       {"first_use", !State->WasUsed},
       {"own_region", Context.Placer.isInOwnRegion(*State)},
       {"part", Context.Placer.partOfColdRate(*State, *Query.Service)}});
}

/// Logs a response that does not reach the caller. The exchange may have ended
/// by then.
void exchange::logLostResponse() {
  Caller->onResponseLost(
      [&Context = Context, RequestId = requestHeader(Context.Headers.RequestId),
       ArrivedAt = Caller->arrivedAt()](const std::string &Reason) {
        const auto Now = base::boot_clock::now();
        Context.Metrics
            .counter("skylarkdyke_responses_lost_total",
                     "Responses that could not be written to the caller", {})
            .add();
        SKYLARKDYKE_DECISION(Context.Log, ResponseLost, Now,
                             {{"request", RequestId},
                              {"reason", Reason},
                              {"took_ms", nanoseconds(Now - ArrivedAt)}});
      });
}

void exchange::logBrokenResponse(const std::string &Reason) {
  const auto Now = base::boot_clock::now();
  const attempt &Attempt = Attempts[RelayedAttempt];
  LastFailureReason = Reason;
  Context.Metrics
      .counter("skylarkdyke_responses_broken_total",
               "Responses that ended early while they were sent to the caller",
               {})
      .add();
  SKYLARKDYKE_DECISION(
      Context.Log, ResponseBroken, Now,
      {{"request", requestHeader(Context.Headers.RequestId)},
       {"target", Attempt.Chosen.Id.str()},
       {"reason", Reason},
       {"body_bytes", static_cast<std::int64_t>(Relay->passedBytes())},
       {"waited_for_caller_ms", Relay->waitedForCaller()},
       {"took_ms", nanoseconds(Now - Attempt.SentAt)}});
  logRequest(0, "broken_response");
}

/// Returns the value of the label "result".
static const char *resultOf(unsigned Status) {
  if (Status == 0)
    return "aborted";
  if (Status == 401 || Status == 429 || Status == 503)
    return "refused";
  return Status < 500 ? "served" : "failed";
}

void exchange::logRequest(unsigned Status, const char *Outcome) {
  const auto Now = base::boot_clock::now();
  const std::string RequestId = requestHeader(Context.Headers.RequestId);
  const std::string Route = Query.Route ? Query.Route->Name : "";
  Context.Metrics
      .counter("skylarkdyke_requests_total", "Requests by route and outcome",
               {{"route", Route}, {"outcome", Outcome}})
      .add();
  Context.Metrics
      .latency("skylarkdyke_request_seconds", "Time to the final answer",
               {{"route", Route}})
      .observe(Now - Caller->arrivedAt());
  const std::string Team = Query.Team ? Query.Team->Name.str() : "";
  if (Query.Team)
    Context.Metrics
        .counter("skylarkdyke_team_requests_total",
                 "Requests by team and result",
                 {{"team", Context.TeamLabels.labelOf(Query.Team->Name)},
                  {"result", resultOf(Status)}})
        .add();
  const bool Succeeded = Status >= 200 && Status < 300;
  if ((Succeeded || Status == 401) &&
      std::hash<std::string>()(RequestId) % LogSamplingInterval != 0)
    return;
  const placement::chosen_target *LastTarget =
      Attempts.empty() ? nullptr : &Attempts.back().Chosen;
  const placement::target_state *LastState =
      LastTarget ? Context.TargetRegistry.find(LastTarget->Id) : nullptr;
  SKYLARKDYKE_DECISION(
      Context.Log, RequestEnded, Now,
      {{"request", RequestId},
       {"route", Route},
       {"team", Team},
       {"config_version",
        static_cast<std::int64_t>(Routes ? Routes->version() : 0)},
       {"state_era",
        static_cast<std::int64_t>(Context.State.confirmedVersion().Era)},
       {"state_revision",
        static_cast<std::int64_t>(Context.State.confirmedVersion().Revision)},
       {"config_age_ms", Context.State.configurationAge(Now)},
       {"state_age_ms", nanoseconds(Context.State.age(Now).value_or(
                            std::chrono::milliseconds(-1)))},
       {"status", static_cast<std::int64_t>(Status)},
       {"outcome", Outcome},
       {"last_reason", LastFailureReason},
       {"sends", static_cast<std::int64_t>(Attempts.size())},
       {"target", LastTarget ? std::string_view(LastTarget->Id.str()) : ""},
       {"target_region",
        LastState ? std::string_view(LastState->Region.str()) : ""},
       {"expected_load", LastTarget ? LastTarget->ExpectedLoad : 0.0},
       {"expected_work_ms",
        LastTarget ? LastTarget->ExpectedProcessingTime : nanoseconds(0)},
       {"expected_wait_ms",
        LastTarget ? LastTarget->ExpectedWait : nanoseconds(0)},
       {"time_left_ms", nanoseconds(Query.Deadline - Now)},
       {"took_ms", nanoseconds(Now - Caller->arrivedAt())}});
}

} // namespace skylarkdyke::gateway::detail
