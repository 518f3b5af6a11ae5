#include "gateway/detail/request_rejection.hpp"

#include <array>
#include <cstdio>
#include <string>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using std::chrono::nanoseconds;

void setRetryAfter(net::http_response &Response, nanoseconds RetryAfter) {
  std::array<char, 32> Seconds{};
  std::snprintf(Seconds.data(), Seconds.size(), "%.3f",
                std::chrono::duration<double>(RetryAfter).count());
  Response.set(bhttp::field::retry_after, Seconds.data());
}

base::message_limits limitsInForce(const steering_state &State) {
  base::message_limits Limits;
  if (!State.routes())
    return Limits;
  const routing::caller_limits &Known = State.routes()->limits();
  Limits.MaxHeaderBytes = Known.MaxHeaderBytes.value_or(Limits.MaxHeaderBytes);
  Limits.MaxBodyBytes = Known.MaxBodyBytes.value_or(Limits.MaxBodyBytes);
  Limits.HeaderTimeout = Known.HeaderTimeout.value_or(Limits.HeaderTimeout);
  Limits.IdleTimeout = Known.IdleTimeout.value_or(Limits.IdleTimeout);
  return Limits;
}

/// Returns whether the configuration in force, which must be known to be
/// recent, has the limit that the request exceeds. It may have been read under
/// the lower limit of an earlier version.
static bool isForbidden(const net::unreadable_request &Request,
                        const steering_state &State, base::boot_time Now) {
  if (!State.routes() || State.mayBeOutdated(Now))
    return false;
  const routing::caller_limits &Limits = State.routes()->limits();
  const auto Limit =
      Request.Status == 413 ? Limits.MaxBodyBytes : Limits.MaxHeaderBytes;
  return Limit && *Limit <= Request.Limit;
}

net::http_response respondToUnreadable(const net::unreadable_request &Request,
                                       const steering_state &State,
                                       const header_names &Headers,
                                       telemetry::decision_log &Log,
                                       base::boot_time Now) {
  const bool ExceedsLimit = Request.Status == 413 || Request.Status == 431;
  const unsigned Status =
      ExceedsLimit && !isForbidden(Request, State, Now) ? 503 : Request.Status;
  const std::string RequestId(Request.Header[Headers.RequestId]);
  SKYLARKDYKE_DECISION(
      Log, RequestUnreadable, Now,
      {{"request", RequestId},
       {"status", static_cast<std::int64_t>(Status)},
       {"reason", Request.Reason},
       {"limit", static_cast<std::int64_t>(Request.Limit)},
       {"config_version", static_cast<std::int64_t>(State.version())},
       {"config_age_ms", State.configurationAge(Now)},
       {"state_age_ms",
        nanoseconds(State.age(Now).value_or(std::chrono::milliseconds(-1)))}});
  auto Response = net::makeResponse(Status, "the request cannot be read\n");
  if (Status == 503)
    setRetryAfter(Response, OutdatedRetryAfter);
  if (!RequestId.empty())
    Response.set(Headers.RequestId, RequestId);
  return Response;
}

} // namespace skylarkdyke::gateway::detail
