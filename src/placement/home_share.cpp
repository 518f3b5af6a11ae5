#include "skylarkdyke/placement/home_share.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkdyke::placement {

region_shares divideDemand(const region_balances &Balances,
                           const base::region_name &Own, double Giving) {
  double Demand = 0;
  double Slots = 0;
  for (const auto &[Region, Balance] : Balances) {
    Demand += Balance.Demand;
    Slots += Balance.Slots;
  }
  region_shares Shares;
  if (Slots <= 0)
    return Shares;
  std::map<base::region_name, double> Room;
  double TotalRoom = 0;
  double Kept = 0;
  for (const auto &[Region, Balance] : Balances) {
    const double DemandShare = Demand > 0
                                   ? Balance.Demand / Demand
                                   : 1.0 / static_cast<double>(Balances.size());
    const double SlotShare = Balance.Slots / Slots;
    if (Region == Own && DemandShare > 0)
      Kept = Balance.Slots <= 0
                 ? 0
                 : 1 - Giving * std::max(0.0, 1 - SlotShare / DemandShare);
    else if (SlotShare > DemandShare)
      TotalRoom += Room[Region] = SlotShare - DemandShare;
  }
  if (TotalRoom <= 0)
    for (const auto &[Region, Balance] : Balances)
      if (Region != Own && Balance.Slots > 0)
        TotalRoom += Room[Region] = Balance.Slots;
  if (TotalRoom <= 0)
    Kept = 1;
  if (Kept > 0)
    Shares[Own] = Kept;
  if (Kept < 1)
    for (const auto &[Region, Free] : Room)
      Shares[Region] = (1 - Kept) * Free / TotalRoom;
  return Shares;
}

static double shareOf(const region_shares &Shares,
                      const base::region_name &Region) {
  const auto Found = Shares.find(Region);
  return Found == Shares.end() ? 0 : Found->second;
}

const region_shares &gradual_shares::approach(const region_shares &Goal,
                                              double MaxStep,
                                              base::boot_time Now) {
  if (Goal.empty())
    return Shares;
  if (Shares.empty()) {
    Shares = Goal;
    ChangedAt = Now;
    return Shares;
  }
  const double Seconds = std::chrono::duration<double>(Now - ChangedAt).count();
  ChangedAt = Now;
  double Moved = 0;
  for (const auto &[Region, Share] : Goal)
    Moved += std::max(0.0, Share - shareOf(Shares, Region));
  if (Moved <= 0)
    return Shares;
  const double Part = std::min(1.0, MaxStep * Seconds / Moved);
  region_shares Next;
  for (const auto &[Region, Share] : Shares)
    Next[Region] = Share * (1 - Part);
  for (const auto &[Region, Share] : Goal)
    Next[Region] += Share * Part;
  Shares = std::move(Next);
  return Shares;
}

base::region_name gradual_shares::regionOf(const base::region_name &Own,
                                           std::uint64_t ObjectHash) const {
  double Point = std::ldexp(static_cast<double>(ObjectHash >> 11U), -53);
  const double Kept = shareOf(Shares, Own);
  if (Point < Kept)
    return Own;
  Point -= Kept;
  base::region_name Last = Own;
  for (const auto &[Region, Share] : Shares) {
    if (Region == Own || Share <= 0)
      continue;
    Last = Region;
    if (Point < Share)
      break;
    Point -= Share;
  }
  return Last;
}

} // namespace skylarkdyke::placement
