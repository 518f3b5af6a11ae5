#ifndef SKYLARKDYKE_STEERING_DETAIL_RENDEZVOUS_HPP
#define SKYLARKDYKE_STEERING_DETAIL_RENDEZVOUS_HPP

#include "skylarkdyke/entries/member.hpp"

#include <cstdint>
#include <xxhash.h>

namespace skylarkdyke::steering::detail {

/// \brief Hash of an entry's name, used as the seed of its rendezvous scores.
inline std::uint64_t seedOf(const base::entry_name &Name) {
  return XXH3_64bits(Name.str().data(), Name.str().size());
}

/// \brief Rendezvous score of an entry for a service. The entry with the
/// highest score is the service's dispatcher.
/// \param Seed seedOf() the entry's name
inline std::uint64_t scoreOf(const base::service_name &Service,
                             std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Service.str().data(), Service.str().size(), Seed);
}

/// \brief Whether new requests may be sent to an entry.
inline bool acceptsRequests(const entries::member &Member) {
  return Member.Ready && Member.Reachable && !Member.Leaving;
}

} // namespace skylarkdyke::steering::detail

#endif
