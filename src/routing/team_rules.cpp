#include "skylarkdyke/routing/team_rules.hpp"

#include <algorithm>
#include <set>

namespace skylarkdyke::routing {

using base::region_name;

unsigned priorityOf(const route &Route, const team *Team) {
  return Team == nullptr ? Route.Priority
                         : Team->Priority.value_or(Route.Priority);
}

/// Returns whether a list of allowed regions, of which an empty one allows all,
/// allows a region.
static bool allows(const std::vector<region_name> &Allowed,
                   const region_name &Region) {
  return Allowed.empty() ||
         std::find(Allowed.begin(), Allowed.end(), Region) != Allowed.end();
}

bool isRegionAllowed(const route &Route, const team *Team,
                     const region_name &Region) {
  return allows(Route.AllowedRegions, Region) &&
         (Team == nullptr || allows(Team->AllowedRegions, Region));
}

std::optional<std::vector<region_name>> allowedRegions(const route &Route,
                                                       const team *Team) {
  std::set<region_name> Named(Route.AllowedRegions.begin(),
                              Route.AllowedRegions.end());
  if (Team != nullptr)
    Named.insert(Team->AllowedRegions.begin(), Team->AllowedRegions.end());
  if (Named.empty())
    return std::nullopt;
  std::vector<region_name> Regions;
  for (const region_name &Region : Named)
    if (isRegionAllowed(Route, Team, Region))
      Regions.push_back(Region);
  return Regions;
}

} // namespace skylarkdyke::routing
