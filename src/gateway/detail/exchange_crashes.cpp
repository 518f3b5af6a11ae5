#include "gateway/detail/exchange.hpp"

#include <algorithm>
#include <string_view>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using std::chrono::nanoseconds;

/// Shortest time after which the caller of a blocked request is told to return.
static constexpr std::chrono::seconds MinBlockRetryAfter{1};
/// Maximum length of a request in logs, messages and the store.
static constexpr std::size_t MaxSummaryBytes = 96;

static std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

const poison::request_identity &exchange::identity() {
  if (Identity)
    return *Identity;
  const net::http_request &Request = Caller->request();
  const auto Method = toView(Request.method_string());
  const auto Host = toView(Request[bhttp::field::host]);
  const auto Target = toView(Request.target());
  const std::string &Body = Request.body();
  return Identity.emplace(poison::request_identity{
      poison::fingerprintOf(
          {Method, Host, Target, Body, Caller->callerAddress()}),
      poison::fingerprintOf({Method, Host, Target, Body})});
}

bool exchange::isBlocked() {
  return Context.Crashes.knowsCrashes() &&
         Context.Crashes.findBlock(identity(), base::boot_clock::now()) !=
             nullptr;
}

/// A request that crashes targets is not sent a second time by one exchange.
bool exchange::hasCrashedTarget() {
  return Context.Crashes.knowsCrashes() &&
         Context.Crashes.hasCrashedTarget(identity());
}

void exchange::refuseBlocked() {
  if (hasRunningAttempt())
    return;
  if (MayHaveRun || TargetErrorResponse)
    return respondWithFailure();
  const auto Now = base::boot_clock::now();
  const poison::blocked_request &Block =
      *Context.Crashes.findBlock(identity(), Now);
  const auto TimeLeft =
      std::max<nanoseconds>(Block.BlockedUntil - Now, MinBlockRetryAfter);
  SKYLARKDYKE_DECISION(Context.Log, BlockedRequestRefused, Now,
                       {{"request", requestHeader(Context.Headers.RequestId)},
                        {"fingerprint", poison::toString(Block.Fingerprint)},
                        {"summary", Block.Summary},
                        {"crashes", static_cast<std::int64_t>(Block.Crashes)},
                        {"blocked_ms", TimeLeft}});
  respondWithError(503, "request_blocked", TimeLeft);
}

static std::optional<poison::attempt_end> endOf(net::channel_fault Fault) {
  switch (Fault) {
  case net::channel_fault::ClosedBeforeResponse:
  case net::channel_fault::Truncated:
    return poison::attempt_end::ConnectionLost;
  case net::channel_fault::DeadlinePassed:
    return poison::attempt_end::TimedOut;
  case net::channel_fault::Cancelled:
    return poison::attempt_end::Cancelled;
  default:
    return std::nullopt;
  }
}

/// Method and path without what a log or a page could not show.
static std::string summaryOf(const net::http_request &Request) {
  std::string Summary =
      std::string(Request.method_string()) + " " +
      std::string(Request[bhttp::field::host]) +
      std::string(Request.target()).substr(0, MaxSummaryBytes);
  for (char &Each : Summary)
    if (Each < ' ' || Each > '~' || Each == '"' || Each == '\\')
      Each = '?';
  Summary.resize(std::min(Summary.size(), MaxSummaryBytes));
  return Summary;
}

void exchange::recordUnanswered(const attempt &Attempt,
                                const net::channel_error &Failure) {
  const auto End = endOf(Failure.Fault);
  const placement::target_state *State =
      Context.TargetRegistry.find(Attempt.Chosen.Id);
  const bool IsLeaving =
      State != nullptr && (State->Target.Draining || State->UsableUntil);
  if (Completed || Failure.NothingSent || !End || IsLeaving)
    return;
  // A target that has responded to other requests meanwhile is not silent.
  const bool IsSilent =
      State == nullptr || State->LoadReportedAt < Attempt.SentAt;
  const bool Probe = *End == poison::attempt_end::ConnectionLost ||
                     (*End == poison::attempt_end::TimedOut && IsSilent);
  Context.Crashes.addAttempt(
      {identity(), Query.Service->Name, Attempt.Chosen.Id,
       incarnationKey(Attempt.Chosen.incarnation()),
       summaryOf(Caller->request()), *End, base::boot_clock::now()},
      Attempt.Chosen.Address, Probe);
}

} // namespace skylarkdyke::gateway::detail
