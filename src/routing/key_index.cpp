#include "skylarkdyke/routing/key_index.hpp"

#include <openssl/crypto.h>
#include <xxhash.h>

namespace skylarkdyke::routing {

static bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

key_index::key_index(const std::vector<team> &Teams, std::uint64_t HashSeed)
    : HashSeed(HashSeed) {
  for (const team &Team : Teams)
    for (const std::string &Key : Team.Keys)
      EntriesByHash.emplace(hashOf(Key), entry{Key, &Team});
}

std::uint64_t key_index::hashOf(std::string_view Key) const {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), HashSeed);
}

const team *key_index::find(std::string_view Key) const {
  const auto [Begin, End] = EntriesByHash.equal_range(hashOf(Key));
  for (auto It = Begin; It != End; ++It)
    if (equalInConstantTime(It->second.Key, Key))
      return It->second.Team;
  return nullptr;
}

} // namespace skylarkdyke::routing
