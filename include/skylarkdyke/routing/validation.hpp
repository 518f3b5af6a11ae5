#ifndef SKYLARKDYKE_ROUTING_VALIDATION_HPP
#define SKYLARKDYKE_ROUTING_VALIDATION_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/routing/route.hpp"

#include <string>
#include <string_view>

namespace skylarkdyke::routing {

/// \brief Returns a host name in lower case and without port, as it is
/// compared.
std::string normalizedHost(std::string_view Host);

/// \brief Checks that each route of a configuration can be matched and served.
/// \return everything that makes the configuration invalid, with JSON pointers;
/// empty if it is valid
base::findings validate(const configuration &Configuration);

/// \brief Checks the teams of a configuration: names and quotas that can be
/// used, and keys of which each belongs to one team. Findings name no keys.
/// \param Table JSON pointer of the list of teams
base::findings validateTeams(const std::vector<team> &Teams,
                             const std::string &Table);

} // namespace skylarkdyke::routing

#endif
