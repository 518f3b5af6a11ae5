#ifndef SKYLARKDYKE_STEERING_DISPATCHER_HPP
#define SKYLARKDYKE_STEERING_DISPATCHER_HPP

#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/entries/member.hpp"

#include <vector>

namespace skylarkdyke::steering {

/// \brief Selects the dispatcher of a service in a region: the entry that sends
/// the service's requests to its targets there. Uses rendezvous hashing (XXH3)
/// over the names of the region's entries that are ready, reachable and not
/// leaving. When an entry joins or leaves, only the services assigned to that
/// entry change their dispatcher.
/// Complexity: O(n) for n members.
/// \param Members all known entries including this one
/// \return the dispatcher, a pointer into Members, or null if no entry of the
/// region accepts new requests
const entries::member *
dispatcherOf(const base::service_name &Service, const base::region_name &Region,
             const std::vector<entries::member> &Members);

} // namespace skylarkdyke::steering

#endif
