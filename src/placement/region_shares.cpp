#include "skylarkdyke/placement/region_shares.hpp"

#include "skylarkdyke/placement/rendezvous.hpp"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace skylarkdyke::placement {

region_shares distributeDemand(const region_loads &Loads,
                               const base::region_name &Own,
                               double SpilloverFraction) {
  double Demand = 0;
  double Slots = 0;
  for (const auto &[Region, Load] : Loads) {
    Demand += Load.Demand;
    Slots += Load.Slots;
  }
  region_shares Shares;
  if (Slots <= 0)
    return Shares;
  std::map<base::region_name, double> FreeShares;
  double TotalFreeShare = 0;
  double OwnShare = 0;
  for (const auto &[Region, Load] : Loads) {
    const double DemandShare = Demand > 0
                                   ? Load.Demand / Demand
                                   : 1.0 / static_cast<double>(Loads.size());
    const double SlotShare = Load.Slots / Slots;
    if (Region == Own && DemandShare > 0)
      OwnShare = Load.Slots <= 0
                     ? 0
                     : 1 - SpilloverFraction *
                               std::max(0.0, 1 - SlotShare / DemandShare);
    else if (SlotShare > DemandShare)
      TotalFreeShare += FreeShares[Region] = SlotShare - DemandShare;
  }
  if (TotalFreeShare <= 0)
    for (const auto &[Region, Load] : Loads)
      if (Region != Own && Load.Slots > 0)
        TotalFreeShare += FreeShares[Region] = Load.Slots;
  if (TotalFreeShare <= 0)
    OwnShare = 1;
  if (OwnShare > 0)
    Shares[Own] = OwnShare;
  if (OwnShare < 1)
    for (const auto &[Region, FreeShare] : FreeShares)
      Shares[Region] = (1 - OwnShare) * FreeShare / TotalFreeShare;
  return Shares;
}

static double shareOf(const region_shares &Shares,
                      const base::region_name &Region) {
  const auto Found = Shares.find(Region);
  return Found == Shares.end() ? 0 : Found->second;
}

const region_shares &rate_limited_shares::approach(const region_shares &Goal,
                                                   double MaxShiftPerSecond,
                                                   base::boot_time Now) {
  if (Goal.empty())
    return Shares;
  if (Shares.empty()) {
    Shares = Goal;
    ChangedAt = Now;
    return Shares;
  }
  const double ElapsedSeconds =
      std::chrono::duration<double>(Now - ChangedAt).count();
  ChangedAt = Now;
  double ShareToMove = 0;
  for (const auto &[Region, Share] : Goal)
    ShareToMove += std::max(0.0, Share - shareOf(Shares, Region));
  if (ShareToMove <= 0)
    return Shares;
  const double Fraction =
      std::min(1.0, MaxShiftPerSecond * ElapsedSeconds / ShareToMove);
  region_shares NextShares;
  for (const auto &[Region, Share] : Shares)
    NextShares[Region] = Share * (1 - Fraction);
  for (const auto &[Region, Share] : Goal)
    NextShares[Region] += Share * Fraction;
  Shares = std::move(NextShares);
  return Shares;
}

base::region_name
rate_limited_shares::regionOf(const base::region_name &Own,
                              std::uint64_t ObjectHash) const {
  base::region_name First = Own;
  double LeastKey = std::numeric_limits<double>::infinity();
  for (const auto &[Region, Share] : Shares) {
    const double Key = rendezvousKey(
        ObjectHash, XXH3_64bits(Region.str().data(), Region.str().size()),
        Share);
    if (Key < LeastKey) {
      LeastKey = Key;
      First = Region;
    }
  }
  return First;
}

} // namespace skylarkdyke::placement
