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

bool change_log::hasConfigurationAfter(
    const base::store_version &Version) const {
  return std::any_of(
      Changes.begin(), Changes.end(), [&](const recorded_change &Recorded) {
        return Recorded.Revision > Version.Revision &&
               std::holds_alternative<routing::configuration_published>(
                   Recorded.Change);
      });
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
