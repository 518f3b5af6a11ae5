#ifndef SKYLARKDYKE_MEMBERSHIP_RELAY_SELECTION_HPP
#define SKYLARKDYKE_MEMBERSHIP_RELAY_SELECTION_HPP

#include "skylarkdyke/membership/messages.hpp"

#include <set>
#include <vector>

namespace skylarkdyke::membership {

/// Minimum number of relays of a region.
inline constexpr std::size_t MinRelays = 2;

/// \brief Selects the relays of a region: the entries that watch the store and
/// tell the others what they know.
///
/// Each failure domain has the entry with the greatest capacity as its relay,
/// so that the loss of a domain leaves relays in the others. Entries that are
/// not ready, are leaving or cannot reach the store are selected only if there
/// is no other. All entries with the same view select the same relays.
/// \param Entries live entries of the region
/// \return mesh addresses of the relays
std::set<base::endpoint>
selectRelays(const std::vector<const entry_status *> &Entries);

} // namespace skylarkdyke::membership

#endif
