#include "skylarkdyke/placement/move_counter.hpp"

namespace skylarkdyke::placement {

const char *toString(move_cause Cause) {
  switch (Cause) {
  case move_cause::TargetGone:
    return "target_gone";
  case move_cause::TargetJoined:
    return "target_joined";
  case move_cause::RegionShares:
    return "region_shares";
  case move_cause::Load:
    return "load";
  }
  return "unknown";
}

move_cause move_counter::causeOf(const base::target_id &Previous,
                                 const target_state &Target,
                                 base::boot_time Now) const {
  const target_state *Before = Registry.find(Previous);
  if (Before == nullptr || !Registry.acceptsRequests(*Before, Now))
    return move_cause::TargetGone;
  if (Target.Joined && Now - Target.AddedAt < JoinedLately)
    return move_cause::TargetJoined;
  if (!(Before->Region == Target.Region))
    return move_cause::RegionShares;
  return move_cause::Load;
}

void move_counter::record(std::uint64_t ObjectHash, const target_state &Target,
                          base::boot_time Now) {
  if (LatestTarget.size() >= MaxObjects)
    LatestTarget.clear();
  const auto [Found, IsNew] =
      LatestTarget.emplace(ObjectHash, Target.Target.Id);
  if (IsNew || Found->second == Target.Target.Id)
    return;
  ++Counts[static_cast<std::size_t>(causeOf(Found->second, Target, Now))];
  Found->second = Target.Target.Id;
}

} // namespace skylarkdyke::placement
