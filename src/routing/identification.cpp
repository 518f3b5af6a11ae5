#include "skylarkdyke/routing/identification.hpp"

namespace skylarkdyke::routing {

identified_team identifyTeam(const route_table &Routes, const route &Route,
                             std::optional<std::string_view> Key) {
  if (!Routes.hasTeams())
    return nullptr;
  if (!Key && Route.Public)
    return nullptr;
  if (!Key)
    return key_fault::Missing;
  const team *Team = Routes.findTeam(*Key);
  if (Team == nullptr)
    return key_fault::Unknown;
  return Team;
}

} // namespace skylarkdyke::routing
