#include "entry/detail/readiness.hpp"

#include <algorithm>

namespace skylarkdyke::entry::detail {

bool isBehindPeers(const std::vector<entries::member> &Members,
                   std::uint64_t OwnVersion) {
  return std::any_of(Members.begin(), Members.end(),
                     [OwnVersion](const entries::member &Member) {
                       return Member.Reachable &&
                              Member.ConfigVersion > OwnVersion;
                     });
}

} // namespace skylarkdyke::entry::detail
