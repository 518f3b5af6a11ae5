#ifndef SKYLARKDYKE_ROUTING_ROUTE_HPP
#define SKYLARKDYKE_ROUTING_ROUTE_HPP

#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/routing/team.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::routing {

/// \brief Whether a request may be executed more than once.
enum class repeatability {
  /// Executing the request twice has the same effect as executing it once.
  Idempotent,
  /// The request may be executed at most once.
  AtMostOnce,
};

/// \brief A service of a route with its relative weight in the traffic split.
struct weighted_service {
  base::service_name Service;
  double Weight = 1;
};

/// \brief Rules for the requests to one host and path prefix.
struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  repeatability Repeatability = repeatability::AtMostOnce;
  /// Time after which a request without a final answer is abandoned.
  std::chrono::milliseconds Timeout{1000};
  /// An answer within this time has the most value to the caller.
  std::chrono::milliseconds LatencyObjective{1000};
  /// 0 is the highest priority.
  unsigned Priority = 0;
  /// Maximum number of targets to which one request may be sent.
  unsigned MaxAttempts = 1;
  /// Targets answer faster for objects that they have recently handled.
  bool Sticky = false;
  /// Requests need no key of a team.
  bool Public = false;
  /// Regions in which requests may be executed; empty means all.
  std::vector<base::region_name> AllowedRegions;
  /// Never empty. With several services, requests are split by weight.
  std::vector<weighted_service> Services;
};

/// \brief Settings of a service that apply to all its targets.
struct service {
  base::service_name Name;
  std::string HealthPath;
  /// Maximum number of connections that a target accepts from all its clients
  /// together.
  std::optional<unsigned> MaxConnections;
  /// How long a target stays cold after its start; a cold target tolerates only
  /// ColdRequestsPerSecond.
  std::chrono::milliseconds ColdTime{0};
  /// Requests per second that a cold target tolerates from all entries
  /// together.
  double ColdRequestsPerSecond = 0;
};

/// \brief The operators' limits on the messages of callers; nothing for those
/// that a configuration does not set.
struct caller_limits {
  std::optional<std::size_t> MaxHeaderBytes;
  std::optional<std::size_t> MaxBodyBytes;
  /// Time limit to receive the header of a request, from its first byte.
  std::optional<std::chrono::milliseconds> HeaderTimeout;
  /// How long a connection may stay open without a request.
  std::optional<std::chrono::milliseconds> IdleTimeout;
};

/// \brief One version of the operators' configuration.
struct configuration {
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  /// Without a list of teams requests need no key; with one, also an empty one,
  /// those of routes that are not public do.
  std::optional<std::vector<team>> Teams;
  caller_limits Limits;
};

} // namespace skylarkdyke::routing

#endif
