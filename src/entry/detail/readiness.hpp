#ifndef SKYLARKDYKE_ENTRY_DETAIL_READINESS_HPP
#define SKYLARKDYKE_ENTRY_DETAIL_READINESS_HPP

#include "skylarkdyke/entries/member.hpp"

#include <cstdint>
#include <vector>

namespace skylarkdyke::entry::detail {

/// \brief Whether a peer that is connected has a newer configuration than an
/// entry that starts. Its document is on the way then.
/// \param Members other entries, as the mesh knows them
/// \param OwnVersion version of the configuration in force at this entry
bool isBehindPeers(const std::vector<entries::member> &Members,
                   std::uint64_t OwnVersion);

} // namespace skylarkdyke::entry::detail

#endif
