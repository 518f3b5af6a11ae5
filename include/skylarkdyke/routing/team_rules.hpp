#ifndef SKYLARKDYKE_ROUTING_TEAM_RULES_HPP
#define SKYLARKDYKE_ROUTING_TEAM_RULES_HPP

#include "skylarkdyke/routing/route.hpp"

#include <vector>

namespace skylarkdyke::routing {

/// \brief Returns the priority of a request; 0 is the highest.
/// \param Team team of the caller, or null
unsigned priorityOf(const route &Route, const team *Team);

/// \brief Returns whether a request may be executed in a region. The regions
/// of the route and those of the team both hold.
/// \param Team team of the caller, or null
bool isRegionAllowed(const route &Route, const team *Team,
                     const base::region_name &Region);

/// \brief Returns the only regions in which a request may be executed.
/// \param Team team of the caller, or null
/// \return the regions in order; nothing if all are allowed. Empty if route
/// and team have no region in common
std::optional<std::vector<base::region_name>> allowedRegions(const route &Route,
                                                             const team *Team);

} // namespace skylarkdyke::routing

#endif
