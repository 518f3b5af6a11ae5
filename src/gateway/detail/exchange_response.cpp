#include "gateway/detail/exchange.hpp"

#include <cstdio>

namespace skylarkdyke::gateway::detail {

using placement::send_result;
using std::chrono::nanoseconds;

/// Parses the load header of a target, "running,waiting,slots" or
/// "running,waiting,slots,slowdown", with the slowdown in percent.
static std::optional<placement::reported_load>
parseLoad(const std::string &Text) {
  placement::reported_load Load;
  unsigned SlowdownPercent = 0;
  const int Count = std::sscanf(Text.c_str(), "%u,%u,%u,%u", &Load.Running,
                                &Load.Waiting, &Load.Slots, &SlowdownPercent);
  if (Count < 3)
    return std::nullopt;
  if (Count == 4 && SlowdownPercent > 0)
    Load.Slowdown = SlowdownPercent / 100.0;
  return Load;
}

void exchange::recordResponse(const attempt &Attempt,
                              const net::http_response &Response) {
  const auto Now = base::boot_clock::now();
  const bool Failed = isTargetError(Response);
  Context.TargetRegistry.endSend(Attempt.Chosen.Id,
                                 Failed ? send_result::ErrorAnswer
                                        : send_result::Answered,
                                 Query.Service->ColdTime, Now);
  if (const auto Load = parseLoad(std::string(Response[Context.Headers.Load])))
    Context.TargetRegistry.recordReportedLoad(Attempt.Chosen.Id, *Load, Now);
  // The time for which the caller did not read is not the target's.
  const nanoseconds CallerTime =
      Relay ? Relay->waitedForCaller() : nanoseconds(0);
  if (!Failed)
    Context.Placer.recordAnswer(Query, Attempt.Chosen,
                                Now - Attempt.SentAt - CallerTime, Now);
}

void exchange::onResponse(std::size_t Index, response_received Outcome) {
  const attempt &Attempt = Attempts[Index];
  recordResponse(Attempt, Outcome.Response);
  Completed = true;
  if (Context.Crashes.knowsCrashes() || Attempts.size() > 1)
    Context.Crashes.recordCompletion(identity());
  releaseChannel(Attempt, base::boot_clock::now());
  if (isRelayed(Index))
    return finishRelay(std::move(Outcome.Response));
  if (Done)
    return;
  if (isTargetError(Outcome.Response)) {
    keepErrorResponse(std::move(Outcome.Response), Attempt.Chosen.Address);
    return onAttemptFailed("target_failure", true);
  }
  cancelRunningAttempts();
  respond(std::move(Outcome.Response), "answered");
}

void exchange::keepErrorResponse(net::http_response Response,
                                 const base::endpoint &Target) {
  dropErrorResponse();
  TargetErrorResponse = std::move(Response);
  TargetErrorMemory.emplace(Context.Memory, Target,
                            [this] { TargetErrorResponse.reset(); });
  TargetErrorMemory->resize(TargetErrorResponse->body().capacity());
}

void exchange::dropErrorResponse() {
  TargetErrorResponse.reset();
  TargetErrorMemory.reset();
}

bool exchange::isRelayed(std::size_t Index) const {
  return Relay && Index == RelayedAttempt;
}

void exchange::finishRelay(net::http_response Response) {
  logRequest(Response.result_int(), "answered");
  Relay->finish(std::move(Response.body()));
  Relay.reset();
}

/// Ends a response of which a part was sent to the caller, so that it does not
/// look complete. Nothing is repeated.
void exchange::breakRelay(const std::string &Reason) {
  logBrokenResponse(Reason);
  Relay.reset();
  Caller->abandon();
}

} // namespace skylarkdyke::gateway::detail
