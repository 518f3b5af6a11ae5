#ifndef SKYLARKDYKE_CALLERS_DETAIL_REQUEST_CONTEXT_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_REQUEST_CONTEXT_HPP

#include "callers/detail/problem.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/once/key.hpp"

#include <optional>

namespace skylarkdyke::callers::detail {

/// Path prefix of requests that are forwarded to targets.
inline constexpr std::string_view ForwardPath = "/s/";

/// \brief A request to be forwarded, with its parsed path and headers.
struct request_context {
  /// The received request, which outlives the context.
  const http::server_request *Request = nullptr;
  /// Sequence number in the order of arrival at this entry.
  std::uint64_t ArrivalNumber = 0;
  base::boot_time ArrivedAt;

  base::service_name Service;
  /// Settings of the service; nothing if the configuration document does not
  /// contain the service.
  std::optional<config::service> Settings;
  /// Path and query that are sent to the target.
  std::string TargetPath;
  /// The method is safe (RFC 9110, section 9.2.1), so the request may be sent
  /// again and needs no key.
  bool IsSafe = false;
  std::uint64_t Fingerprint = 0;

  /// Deadline of the request: the same instant on both clocks.
  base::boot_time Deadline;
  base::wall_time WallDeadline;

  /// Idempotency key; present unless IsSafe.
  std::optional<once::idempotency_key> Key;
  /// The entry that relayed this request, if one did.
  std::optional<base::incarnation_id> RelayedBy;

  /// \brief Shortens the deadline to an instant, if that is earlier.
  void limitDeadline(base::wall_time Latest);
};

/// \brief Parses a request to be forwarded. A request for an unknown service is
/// accepted here, because its key may already have an outcome.
/// \return the request, or the answer that refuses it
base::result<request_context, answer>
parseRequest(const http::server_request &Request,
             const config::document &Document);

/// \brief Formats a deadline for the Request-Deadline header.
std::string formatDeadline(base::wall_time Deadline);

} // namespace skylarkdyke::callers::detail

#endif
