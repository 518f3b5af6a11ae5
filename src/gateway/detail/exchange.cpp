#include "gateway/detail/exchange.hpp"

#include "gateway/detail/request_rejection.hpp"
#include "gateway/detail/target_signals.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using placement::send_result;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Time limit for opening a connection to a target.
static constexpr milliseconds ConnectTimeout{600};
/// A request is hedged, that is sent to a second target, once its response
/// has taken this multiple of the expected time.
static constexpr double HedgeDelayFactor = 4;
/// Minimum delay before a hedged attempt.
static constexpr milliseconds MinHedgeDelay{300};
/// An attempt is made only if more than this time remains until the deadline.
static constexpr milliseconds MinTimeToSend{5};
/// Cold targets, for example recently started ones, accept only a limited
/// request rate. These constants are the number of times that a request waits
/// for this rate limit and the maximum duration of each wait; beyond these the
/// request is rejected immediately.
static constexpr unsigned MaxColdWaits = 3;
static constexpr milliseconds MaxColdWait{150};
/// Retry delay given to callers whose request arrives late in a stop; other
/// entries serve them.
static constexpr milliseconds StopRetryAfter{50};
static constexpr const char *StoppingReason = "entry_stopping";
/// Maximum number of unreachable targets after which another target is still
/// tried.
static constexpr unsigned MaxUnreachableTargets = 3;

void exchange::start(steering_context &Context,
                     std::shared_ptr<net::pending_request> Caller) {
  const auto Self = std::make_shared<exchange>(Context, std::move(Caller));
  Self->logLostResponse();
  if (!Self->resolveRoute())
    return;
  Self->Caller->onCallerDisconnected([Weak = Self->weak_from_this()] {
    if (const auto Exchange = Weak.lock())
      Exchange->onCallerDisconnected();
  });
  Self->Caller->awaitTurn(Self->Query.Route->Repeatability ==
                                  routing::repeatability::Idempotent
                              ? net::request_concurrency::Shared
                              : net::request_concurrency::Exclusive,
                          [Self] { Self->selectTarget(); });
}

exchange::exchange(steering_context &Context,
                   std::shared_ptr<net::pending_request> Caller)
    : Context(Context), Running(Context.Running), Caller(std::move(Caller)),
      NextAttemptTimer(Context.Loop) {
  Running->insert(this);
}

exchange::~exchange() { Running->erase(this); }

std::string exchange::requestHeader(const std::string &Name) const {
  return std::string(Caller->request()[Name]);
}

bool exchange::resolveRoute() {
  const net::http_request &Request = Caller->request();
  Routes = Context.State.routes();
  // The rest of the grace may be too short for this request.
  if (Context.Stop && Caller->arrivedAt() >= Context.Stop->StopAcceptingAt) {
    respondWithError(503, StoppingReason, StopRetryAfter);
    return false;
  }
  if (!Context.State.isComplete()) {
    respondWithError(503, "no_configuration", milliseconds(200));
    return false;
  }
  Query.Route = Routes->match(std::string(Request[bhttp::field::host]),
                              std::string(Request.target()));
  if (Query.Route == nullptr &&
      Context.State.mayBeOutdated(base::boot_clock::now())) {
    respondWithError(503, "state_outdated", OutdatedRetryAfter);
    return false;
  }
  if (Query.Route == nullptr) {
    respondWithError(404, "no_route", std::nullopt);
    return false;
  }
  if (!resolveTeam())
    return false;
  if (isBlocked()) {
    refuseBlocked();
    return false;
  }
  const auto &ServiceName =
      Query.Route->Services[Context.ServiceSelector.next(*Query.Route)].Service;
  Query.Service = Routes->findService(ServiceName);
  if (Query.Service == nullptr) {
    respondWithError(503, "unknown_service", milliseconds(200));
    return false;
  }
  const std::string Key = requestHeader(Context.Headers.AffinityKey);
  Query.ObjectHash = placement::hashObject(
      ServiceName.str() + Query.Route->Name,
      Key.empty() ? requestHeader(Context.Headers.RequestId) : Key);
  readDeadline();
  Context.Demand.count(ServiceName, Caller->arrivedAt());
  Context.Retries.countRequest(ServiceName, Caller->arrivedAt());
  return true;
}

void exchange::readDeadline() {
  const std::string Text = requestHeader(Context.Headers.Deadline);
  char *End = nullptr;
  const long RequestedMs = std::strtol(Text.c_str(), &End, 10);
  milliseconds Limit = Query.Route->Timeout;
  if (!Text.empty() && *End == '\0' && RequestedMs >= 0)
    Limit = std::min(Limit, milliseconds(RequestedMs));
  Query.Deadline = Caller->arrivedAt() + Limit;
  Query.ObjectiveDeadline = Caller->arrivedAt() + Query.Route->LatencyObjective;
  if (Context.Stop)
    Query.Deadline = std::min(Query.Deadline, Context.Stop->RespondBy);
}

/// Returns whether the request needs a token of its team's quota, which it does
/// not have yet.
bool exchange::needsQuota() const {
  return Query.Team != nullptr && Query.Team->Quota && !QuotaToken &&
         Attempts.empty();
}

/// Counts the request in the quota of its team, and selects its target anew.
/// A request without room is refused before, so that it uses up no quota.
void exchange::acquireQuota() {
  Context.Quotas.acquire(*Query.Team, [Self = shared_from_this()](
                                          const quota_service::result &Result) {
    Self->onQuotaResult(Result);
  });
}

void exchange::onQuotaResult(const quota_service::result &Result) {
  if (const auto *Token = std::get_if<quotas::token>(&Result))
    QuotaToken = *Token;
  if (Done)
    return giveBackQuota();
  if (QuotaToken)
    return selectTarget();
  respondWithError(429, "quota_exceeded",
                   std::get<quotas::denial>(Result).RetryAfter);
}

void exchange::giveBackQuota() {
  if (QuotaToken)
    Context.Quotas.giveBack(*QuotaToken);
  QuotaToken.reset();
}

void exchange::selectTarget() {
  // A late event loop may not have told yet.
  if (Caller->hasCallerDisconnected())
    return onCallerDisconnected();
  if (isBlocked())
    return refuseBlocked();
  if (hasLostPermission())
    return refuseLostPermission();
  const auto Now = base::boot_clock::now();
  if (Now + MinTimeToSend >= Query.Deadline) {
    if (!hasRunningAttempt())
      respondWithFailure();
    return;
  }
  const auto Choice = Context.Placer.choose(Query, Now);
  if (const auto *NoTargetResult = std::get_if<placement::no_target>(&Choice))
    return onNoTarget(*NoTargetResult);
  if (needsQuota())
    return acquireQuota();
  send(std::get<placement::chosen_target>(Choice));
}

static const char *reasonText(placement::no_target_reason Reason) {
  switch (Reason) {
  case placement::no_target_reason::NoTarget:
    return "no_target";
  case placement::no_target_reason::Paused:
    return "targets_pause";
  case placement::no_target_reason::NoRoom:
    return "no_room";
  case placement::no_target_reason::ColdLimit:
    return "cold_limit";
  }
  return "unknown_reason";
}

void exchange::waitForColdTarget(nanoseconds Time) {
  ++ColdWaits;
  NextAttemptTimer.set(base::boot_clock::now() + Time,
                       [Self = shared_from_this()] { Self->selectTarget(); });
}

void exchange::onNoTarget(const placement::no_target &NoTargetResult) {
  if (hasRunningAttempt())
    return;
  const bool ColdLimit =
      NoTargetResult.Reason == placement::no_target_reason::ColdLimit;
  if (ColdLimit && ColdWaits < MaxColdWaits &&
      NoTargetResult.RetryAfter < MaxColdWait)
    return waitForColdTarget(NoTargetResult.RetryAfter);
  if (LastFailureReason.empty())
    LastFailureReason = reasonText(NoTargetResult.Reason);
  if (MayHaveRun || TargetErrorResponse)
    return respondWithFailure();
  respondWithError(503, LastFailureReason, NoTargetResult.RetryAfter);
}

void exchange::send(const placement::chosen_target &Chosen) {
  const auto Now = base::boot_clock::now();
  Query.TriedTargets.push_back(Chosen.Id);
  logColdSend(Chosen, Now);
  Context.TargetRegistry.beginSend(Chosen.Id, Now);
  const std::string RequestId = requestHeader(Context.Headers.RequestId);
  // On a used connection, a late copy of an earlier response cannot be told
  // from the response to a request without an id.
  const auto Channel =
      RequestId.empty() ? Context.Pool.open(Chosen.Address)
                        : Context.Pool.acquire(Chosen.Id, Chosen.Address, Now);
  Attempts.push_back({Chosen, Channel, Now});
  const auto TimeLeft =
      std::chrono::duration_cast<milliseconds>(Query.Deadline - Now);
  const auto Self = shared_from_this();
  const std::size_t Index = Attempts.size() - 1;
  Channel->callStreaming(
      targetRequest(Chosen.Id, TimeLeft),
      // All attempts send the bytes that the request holds.
      std::shared_ptr<const std::string>(Caller, &Caller->request().body()),
      {Now + ConnectTimeout, Query.Deadline, sendCheck(Chosen)},
      {[Self, Index, IsFirst = !Channel->isOpen()](
           const net::http_response_head &Head, bool Complete) mutable {
         return Self->onHead(Index, Head, std::exchange(IsFirst, false),
                             Complete);
       },
       [Self](std::string Piece) { Self->Relay->pass(std::move(Piece)); },
       [Self, Index](net::call_result Result) {
         Self->onCallResult(Index, std::move(Result));
       }});
  scheduleHedge(Attempts.back());
}

/// Returns a check whether the request is still permitted and wanted by its
/// target once the connection to that is open. It states the time that is left
/// by then.
std::function<bool(net::http_request &)>
exchange::sendCheck(const placement::chosen_target &Chosen) const {
  return [&Context = Context, Weak = weak_from_this(), Id = Chosen.Id,
          Deadline = Query.Deadline](net::http_request &Request) {
    const auto Exchange = Weak.lock();
    if (Exchange && Exchange->hasLostPermission())
      return false;
    const auto Now = base::boot_clock::now();
    setTimeLeft(Request, Context.Headers,
                std::chrono::duration_cast<milliseconds>(Deadline - Now));
    const placement::target_state *State = Context.TargetRegistry.find(Id);
    return State == nullptr ||
           !placement::target_registry::declinesRequests(*State, Now);
  };
}

/// Called for each response that arrives on the connection of an attempt, at
/// the latest when its body is complete.
net::response_use exchange::onHead(std::size_t Index,
                                   const net::http_response_head &Head,
                                   bool IsFirstOnConnection, bool Complete) {
  if (!belongsToRequest(Head, Context.Headers,
                        requestHeader(Context.Headers.RequestId),
                        IsFirstOnConnection))
    return net::response_use::Skip;
  recordTargetSignals(Context, Attempts[Index].Chosen, *Query.Service, Head);
  // Another target at the address sends 421.
  if (Head.result_int() != 421)
    Context.Crashes.recordResponse(Attempts[Index].Chosen.incarnation());
  if (Complete || Done ||
      !mayBeStreamed(Head, Context.Headers, Caller->request().version()))
    return net::response_use::Collect;
  dropErrorResponse();
  RelayedAttempt = Index;
  Relay.emplace(Caller, Attempts[Index].Channel, Head);
  cancelRunningAttempts();
  return net::response_use::Stream;
}

void exchange::scheduleHedge(const attempt &Attempt) {
  if (Query.Route->Repeatability != routing::repeatability::Idempotent ||
      Attempts.size() >= Query.Route->MaxAttempts || hasCrashedTarget())
    return;
  const nanoseconds Expected =
      Attempt.Chosen.ExpectedProcessingTime + Attempt.Chosen.ExpectedWait;
  const auto Delay = std::max<nanoseconds>(
      std::chrono::duration_cast<nanoseconds>(Expected * HedgeDelayFactor),
      MinHedgeDelay);
  NextAttemptTimer.set(base::boot_clock::now() + Delay,
                       [Self = shared_from_this()] {
                         if (Self->tryAcquireRetry())
                           Self->selectTarget();
                       });
}

void exchange::onCallResult(std::size_t Index, net::call_result Result) {
  attempt &Attempt = Attempts[Index];
  Attempt.Running = false;
  const auto Now = base::boot_clock::now();
  Context.Placer.recordRoundTrip(Attempt.Chosen.Id,
                                 Attempt.Channel->connectTime());
  const std::optional<net::channel_error> Failure =
      Result ? std::nullopt : std::optional(Result.error());
  send_outcome Outcome = classifyResult(std::move(Result), Context.Headers);
  if (auto *Received = std::get_if<response_received>(&Outcome))
    return onResponse(Index, std::move(*Received));
  const bool AttemptMayHaveRun =
      std::holds_alternative<unknown_outcome>(Outcome);
  const auto &[SendResult, Reason] =
      AttemptMayHaveRun ? std::tie(std::get<unknown_outcome>(Outcome).Result,
                                   std::get<unknown_outcome>(Outcome).Reason)
                        : std::tie(std::get<not_executed>(Outcome).Result,
                                   std::get<not_executed>(Outcome).Reason);
  const bool Relayed = isRelayed(Index);
  // A target is not late while the caller does not read.
  const bool CallerLate = Relayed && Relay->isWaitingForCaller();
  Context.TargetRegistry.endSend(
      Attempt.Chosen.Id, CallerLate ? send_result::Cancelled : SendResult,
      Query.Service->ColdTime, Now);
  releaseChannel(Attempt, Now);
  if (Failure)
    recordUnanswered(Attempt, *Failure);
  if (SendResult == send_result::WrongTarget)
    Context.Crashes.onTargetEnded(Attempt.Chosen.incarnation());
  TimedOut = TimedOut || SendResult == send_result::TimedOut;
  if (Relayed)
    return breakRelay(Reason);
  if (Done)
    return;
  logFailedAttempt(Attempt, Reason, AttemptMayHaveRun);
  if (mayTryNextTarget(SendResult))
    return selectTarget();
  onAttemptFailed(Reason, AttemptMayHaveRun);
}

void exchange::releaseChannel(const attempt &Attempt, base::boot_time Now) {
  const placement::target_state *State =
      Context.TargetRegistry.find(Attempt.Chosen.Id);
  const bool Leaving = State != nullptr && State->UsableUntil;
  Context.Pool.release(Attempt.Chosen.Id, Attempt.Channel,
                       Leaving
                           ? 0
                           : idleConnectionLimit(Query.Service->MaxConnections,
                                                 Context.EntryCount),
                       Now);
}

/// Nothing was sent to an unreachable target, so the attempt on the next one
/// is no retry and does not use the retry allowance. The same holds for a
/// target that left while the connection was opened.
bool exchange::mayTryNextTarget(send_result Result) {
  if (Result != send_result::Unreachable && Result != send_result::Withdrawn)
    return false;
  ++UnreachableTargets;
  return !hasRunningAttempt() && UnreachableTargets <= MaxUnreachableTargets;
}

bool exchange::tryAcquireRetry() {
  const auto Now = base::boot_clock::now();
  if (Query.TriedTargets.size() - UnreachableTargets >=
          Query.Route->MaxAttempts ||
      Now + MinTimeToSend >= Query.Deadline || hasCrashedTarget())
    return false;
  const bool Granted = Context.Retries.tryRetry(Query.Service->Name,
                                                Context.RetrySlackEntries, Now);
  Context.Metrics
      .counter("skylarkdyke_second_sends_total",
               "Second sends by service, and whether the allowance had room",
               {{"service", Query.Service->Name.str()},
                {"granted", Granted ? "yes" : "no"}})
      .add();
  return Granted;
}

void exchange::onAttemptFailed(const std::string &Reason,
                               bool AttemptMayHaveRun) {
  LastFailureReason = Reason;
  MayHaveRun = MayHaveRun || AttemptMayHaveRun;
  if (hasRunningAttempt())
    return;
  const bool Repeatable =
      Query.Route->Repeatability == routing::repeatability::Idempotent ||
      !MayHaveRun;
  if (Repeatable && tryAcquireRetry())
    return selectTarget();
  respondWithFailure();
}

void exchange::respondWithFailure() {
  if (TargetErrorResponse)
    return respond(std::move(*TargetErrorResponse), "target_failure");
  if (MayHaveRun)
    return respondWithError(TimedOut ? 504 : 502, LastFailureReason,
                            std::nullopt);
  respondWithError(503,
                   LastFailureReason.empty() ? "no_time" : LastFailureReason,
                   std::max<nanoseconds>(milliseconds(100),
                                         Context.Placer.timeUntilTarget(
                                             Query, base::boot_clock::now())));
}

bool exchange::hasRunningAttempt() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const attempt &Attempt) { return Attempt.Running; });
}

void exchange::cancelRunningAttempts() {
  Done = true;
  NextAttemptTimer.cancel();
  for (std::size_t I = 0; I < Attempts.size(); ++I)
    if (Attempts[I].Running && !isRelayed(I))
      Attempts[I].Channel->cancel();
}

void exchange::onCallerDisconnected() {
  if (Done && !Relay)
    return;
  logRequest(0, "caller_gone");
  Done = true;
  NextAttemptTimer.cancel();
  // An attempt of a request that is not idempotent continues until its
  // response starts: if it were cancelled, it would be unknown whether the
  // request was executed.
  const bool Started = Relay.has_value();
  Relay.reset();
  dropErrorResponse();
  if (Started ||
      Query.Route->Repeatability == routing::repeatability::Idempotent)
    cancelRunningAttempts();
}

void exchange::endAllForStop(steering_context &Context) {
  std::vector<std::shared_ptr<exchange>> Running;
  for (exchange *Exchange : *Context.Running)
    Running.push_back(Exchange->shared_from_this());
  for (const auto &Exchange : Running)
    Exchange->endForStop();
}

void exchange::endForStop() {
  if (Relay)
    breakRelay(StoppingReason);
  if (Done)
    return cancelRunningAttempts();
  MayHaveRun = MayHaveRun || hasRunningAttempt();
  cancelRunningAttempts();
  LastFailureReason = StoppingReason;
  TimedOut = true; // A request that may have run gets 504.
  respondWithFailure();
}

void exchange::respond(net::http_response Response, const char *Outcome) {
  Done = true;
  NextAttemptTimer.cancel();
  removeHopByHopHeaders(Response);
  logRequest(Response.result_int(), Outcome);
  dropErrorResponse();
  Caller->answer(std::move(Response));
}

void exchange::respondWithError(unsigned Status, const std::string &Reason,
                                std::optional<nanoseconds> RetryAfter) {
  net::http_response Response = net::makeResponse(Status, Reason + "\n");
  if (RetryAfter)
    setRetryAfter(Response, *RetryAfter);
  if (Status == 401)
    Response.set(bhttp::field::www_authenticate, "Bearer");
  const std::string RequestId = requestHeader(Context.Headers.RequestId);
  if (!RequestId.empty())
    Response.set(Context.Headers.RequestId, RequestId);
  LastFailureReason = Reason;
  // This status says that the request has not run.
  if (Status == 503)
    giveBackQuota();
  respond(std::move(Response), Reason.c_str());
}

} // namespace skylarkdyke::gateway::detail
