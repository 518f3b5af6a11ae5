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

/// Path under which requests are forwarded.
inline constexpr std::string_view ForwardPath = "/s/";

/// \brief A forwarded request with what its headers say.
struct request_context {
  const http::server_request *Source = nullptr;
  /// Position in the order of arrival at this entry.
  std::uint64_t Arrival = 0;
  base::boot_time ArrivedAt;

  base::service_name Service;
  /// Settings of the service; nothing if the document has no such service.
  std::optional<config::service> Settings;
  /// Path and query for the target.
  std::string TargetPath;
  /// The method has no effect (RFC 9110, section 9.2.1), so the request may be
  /// sent again and needs no key.
  bool IsSafe = false;
  std::uint64_t Fingerprint = 0;

  /// The same instant on both clocks.
  base::boot_time Deadline;
  base::wall_time WallDeadline;

  /// Present unless IsSafe.
  std::optional<once::idempotency_key> Key;
  /// The entry that relayed this request, if one did.
  std::optional<base::incarnation_id> RelayedBy;

  /// \brief Moves the deadline forward to an instant, if that is earlier.
  void limitDeadline(base::wall_time Latest);
};

/// \brief Reads a forwarded request. A request for an unknown service is read
/// too: its key may have a known outcome.
/// \return the request, or the answer that refuses it
base::result<request_context, answer>
readRequest(const http::server_request &Source,
            const config::document &Document);

/// \brief Formats a deadline for the Request-Deadline header.
std::string formatDeadline(base::wall_time Deadline);

} // namespace skylarkdyke::callers::detail

#endif
