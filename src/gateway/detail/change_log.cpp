#include "gateway/detail/change_log.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

void change_log::add(const routing::store_change &Change,
                     const base::store_version &Version) {
  Changes.push_back({Version.Revision, Change});
  if (Changes.size() > MaxChanges) {
    StartsAfter.Revision = Changes.front().Revision;
    Changes.pop_front();
  }
}

void change_log::restartAfter(const base::store_version &Version) {
  Changes.clear();
  StartsAfter = Version;
}

std::vector<recorded_change>
change_log::changesAfter(const base::store_version &Version) const {
  const auto First =
      std::upper_bound(Changes.begin(), Changes.end(), Version.Revision,
                       [](std::uint64_t Left, const recorded_change &Right) {
                         return Left < Right.Revision;
                       });
  return {First, Changes.end()};
}

} // namespace skylarkdyke::gateway::detail
