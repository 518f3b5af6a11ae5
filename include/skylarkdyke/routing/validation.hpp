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

} // namespace skylarkdyke::routing

#endif
