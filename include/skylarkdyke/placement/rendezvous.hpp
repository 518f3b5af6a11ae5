#ifndef SKYLARKDYKE_PLACEMENT_RENDEZVOUS_HPP
#define SKYLARKDYKE_PLACEMENT_RENDEZVOUS_HPP

#include <cmath>
#include <cstdint>
#include <limits>
#include <xxhash.h>

namespace skylarkdyke::placement {

/// \brief Ranks the members of a group for an object by weighted rendezvous
/// hashing: the member with the least key is the first choice.
///
/// Each member is the first choice of a fraction of the objects that follows
/// its weight. If the weight of one member changes, objects move to or from
/// that member only. All who know the same members and weights agree.
/// \param ObjectHash uniformly distributed hash of the object
/// \param Seed hash of the member's name
/// \return a positive key; infinite without weight
inline double rendezvousKey(std::uint64_t ObjectHash, std::uint64_t Seed,
                            double Weight) {
  if (!(Weight > 0))
    return std::numeric_limits<double>::infinity();
  const std::uint64_t Hash =
      XXH3_64bits_withSeed(&ObjectHash, sizeof(ObjectHash), Seed);
  const double Fraction =
      (static_cast<double>(Hash >> 11U) + 1) * std::ldexp(1.0, -53);
  return -std::log(Fraction) / Weight;
}

} // namespace skylarkdyke::placement

#endif
