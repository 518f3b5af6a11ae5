#ifndef SKYLARKDYKE_ROUTING_TEAM_HPP
#define SKYLARKDYKE_ROUTING_TEAM_HPP

#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/base/team_name.hpp"

#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::routing {

/// \brief How many requests of a team may run, at all entries together.
struct request_quota {
  /// Requests per second.
  double Rate = 0;
  /// Requests in addition to the rate, in a window of any length.
  double Burst = 0;
};

/// \brief A customer, to which usage is accounted.
struct team {
  base::team_name Name;
  /// Keys with which callers identify themselves as this team.
  std::vector<std::string> Keys;
  /// Goes before the priority of the route; nothing if the team has none.
  std::optional<unsigned> Priority;
  /// Nothing if the requests of the team are not limited.
  std::optional<request_quota> Quota;
  /// Regions in which requests of the team may be executed; empty means all.
  /// Those of the route hold as well.
  std::vector<base::region_name> AllowedRegions;
};

} // namespace skylarkdyke::routing

#endif
