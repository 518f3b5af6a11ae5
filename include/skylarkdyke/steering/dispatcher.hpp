#ifndef SKYLARKDYKE_STEERING_DISPATCHER_HPP
#define SKYLARKDYKE_STEERING_DISPATCHER_HPP

#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/entries/member.hpp"

#include <vector>

namespace skylarkdyke::steering {

/// \brief Selects the entry that sends a service's requests to its targets in a
/// region, by rendezvous hashing (XXH3) over the names of the ready, reachable
/// entries of the region that are not leaving. When an entry joins or goes,
/// only the services that it wins or had won change their dispatcher.
/// Complexity: O(n) for n members.
/// \param Members all known entries with this one
/// \return the dispatcher, a pointer into Members, or null if no entry of the
/// region takes new work
const entries::member *
dispatcherOf(const base::service_name &Service, const base::region_name &Region,
             const std::vector<entries::member> &Members);

} // namespace skylarkdyke::steering

#endif
