#ifndef SKYLARKDYKE_PLACEMENT_REGION_SHARES_HPP
#define SKYLARKDYKE_PLACEMENT_REGION_SHARES_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstdint>
#include <map>

namespace skylarkdyke::placement {

/// \brief Demand and capacity of one region for one service.
struct region_load {
  /// Requests per second from callers in the region.
  double Demand = 0;
  /// Total slots of the region's targets that accept new requests.
  double Slots = 0;
};

using region_loads = std::map<base::region_name, region_load>;
/// \brief Fractions of the requests or objects, by region.
using region_shares = std::map<base::region_name, double>;

/// \brief Distributes the objects of one region's callers over all regions.
///
/// A region whose share of the demand exceeds its share of the slots spills the
/// surplus over to the regions with free capacity, in proportion to that
/// capacity. This handles demand that is distributed over the regions
/// differently from the slots.
/// \param Own region of the callers
/// \param SpilloverFraction fraction of the surplus that spills over, from 0 to
/// 1
/// \return the share of each region with slots; the shares add up to 1. Empty
/// if no region has slots
region_shares distributeDemand(const region_loads &Loads,
                               const base::region_name &Own,
                               double SpilloverFraction);

/// \brief Region shares that approach a goal at a bounded rate, so that only a
/// small fraction of the requests changes regions per second.
class rate_limited_shares {
public:
  /// \brief Moves the shares towards a goal, as far as the time since the
  /// previous call allows. The first goal is adopted at once; an empty goal is
  /// ignored.
  /// \param Goal shares to approach
  /// \param MaxShiftPerSecond largest fraction of all requests that may change
  /// regions per second
  /// \return the current shares
  const region_shares &approach(const region_shares &Goal,
                                double MaxShiftPerSecond, base::boot_time Now);

  /// \brief Maps an object to a region.
  ///
  /// Uses weighted rendezvous hashing, so that a changed share moves only as
  /// many objects as it must.
  /// \param Own the region of the caller
  /// \param ObjectHash uniformly distributed hash of the object
  /// \return the region; the own region before the first goal
  base::region_name regionOf(const base::region_name &Own,
                             std::uint64_t ObjectHash) const;

private:
  region_shares Shares;
  base::boot_time ChangedAt{};
};

} // namespace skylarkdyke::placement

#endif
