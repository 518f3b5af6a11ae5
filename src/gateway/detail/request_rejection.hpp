#ifndef SKYLARKDYKE_GATEWAY_DETAIL_REQUEST_REJECTION_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_REQUEST_REJECTION_HPP

#include "gateway/detail/steering_state.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "skylarkdyke/telemetry/decision_log.hpp"

#include <chrono>

namespace skylarkdyke::gateway::detail {

/// Retry delay given to callers whose request an entry cannot judge, because
/// it may be behind. Within it an entry usually fetches what it lacks.
inline constexpr std::chrono::milliseconds OutdatedRetryAfter{500};

/// \brief Sets the time after which the caller may send its request again.
void setRetryAfter(net::http_response &Response,
                   std::chrono::nanoseconds RetryAfter);

/// \brief Returns the limits of the operators, and the defaults where they are
/// not known.
base::message_limits limitsInForce(const steering_state &State);

/// \brief Responds to a request that could not be read, and logs it. A request
/// beyond a limit gets 413 or 431 only if a configuration that is known to be
/// recent sets that limit, and 503 otherwise.
net::http_response respondToUnreadable(const net::unreadable_request &Request,
                                       const steering_state &State,
                                       const header_names &Headers,
                                       telemetry::decision_log &Log,
                                       base::boot_time Now);

} // namespace skylarkdyke::gateway::detail

#endif
