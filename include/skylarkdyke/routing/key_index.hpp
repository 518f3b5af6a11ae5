#ifndef SKYLARKDYKE_ROUTING_KEY_INDEX_HPP
#define SKYLARKDYKE_ROUTING_KEY_INDEX_HPP

#include "skylarkdyke/routing/team.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::routing {

/// \brief Finds the team that holds a key. Immutable.
///
/// Keys are found by a hash with a secret seed and then compared in constant
/// time, so that the duration of a look-up does not help to guess a key.
class key_index {
public:
  /// \param Teams must outlive the index
  /// \param HashSeed secret seed of the hash
  key_index(const std::vector<team> &Teams, std::uint64_t HashSeed);

  /// \return the team that holds the key, or null
  const team *find(std::string_view Key) const;

private:
  struct entry {
    std::string_view Key;
    const team *Team;
  };

  std::uint64_t hashOf(std::string_view Key) const;

  std::uint64_t HashSeed;
  std::unordered_multimap<std::uint64_t, entry> EntriesByHash;
};

} // namespace skylarkdyke::routing

#endif
