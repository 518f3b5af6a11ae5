#ifndef SKYLARKDYKE_PLACEMENT_HOME_SHARE_HPP
#define SKYLARKDYKE_PLACEMENT_HOME_SHARE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstdint>
#include <map>

namespace skylarkdyke::placement {

/// \brief Load and room of one region for one service.
struct region_balance {
  /// Requests per second of the region's callers.
  double Demand = 0;
  /// Slots of the region's targets that take new work.
  double Slots = 0;
};

using region_balances = std::map<base::region_name, region_balance>;
using region_shares = std::map<base::region_name, double>;

/// \brief Divides the objects of one region's callers among all regions.
///
/// A region with more than its share of the demand gives the surplus to the
/// regions with free room, in proportion to it. Answers a load that is spread
/// over the regions unlike the slots.
///
/// \param Own the region of the callers
/// \param Giving part of the surplus that is given away, from 0 to 1
/// \return the share of each region with slots; the sum is 1, or the map is
/// empty if no region has slots
region_shares divideDemand(const region_balances &Balances,
                           const base::region_name &Own, double Giving);

/// \brief Shares that follow their goal at a bounded rate, so that few requests
/// change their region from one moment to the next.
class gradual_shares {
public:
  /// \param Goal shares to approach
  /// \param MaxStep largest part of all requests that may move per second
  const region_shares &approach(const region_shares &Goal, double MaxStep,
                                base::boot_time Now);

  /// \brief Region of an object: the own region for the first part of the hash
  /// range, then the others in order, so that few objects move with a share.
  /// \param Own the region of the caller
  /// \param ObjectHash evenly distributed
  /// \return the region; empty before the first goal
  base::region_name regionOf(const base::region_name &Own,
                             std::uint64_t ObjectHash) const;

private:
  region_shares Shares;
  base::boot_time ChangedAt{};
};

} // namespace skylarkdyke::placement

#endif
