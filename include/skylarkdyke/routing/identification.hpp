#ifndef SKYLARKDYKE_ROUTING_IDENTIFICATION_HPP
#define SKYLARKDYKE_ROUTING_IDENTIFICATION_HPP

#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/routing/route_table.hpp"

#include <optional>
#include <string_view>

namespace skylarkdyke::routing {

/// \brief Why the team of a request that needs one is not known.
enum class key_fault {
  /// The request has no key.
  Missing,
  /// No team holds the key.
  Unknown,
};

/// \brief The team of a request; null if it has none and needs none.
using identified_team = base::result<const team *, key_fault>;

/// \brief Identifies the team of a request by its key.
///
/// A request of a public route needs no key. If it has one, that counts as on
/// any other route: the request is of the team that holds the key, with its
/// quota and regions, and an unknown key is a fault.
/// \param Key key of the request; nothing if it has none
identified_team identifyTeam(const route_table &Routes, const route &Route,
                             std::optional<std::string_view> Key);

} // namespace skylarkdyke::routing

#endif
