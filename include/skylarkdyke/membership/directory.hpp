#ifndef SKYLARKDYKE_MEMBERSHIP_DIRECTORY_HPP
#define SKYLARKDYKE_MEMBERSHIP_DIRECTORY_HPP

#include "skylarkdyke/membership/messages.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace skylarkdyke::membership {

/// \brief A caller's query for the entries to use.
struct entry_query {
  /// Host to which the caller sends requests.
  std::string Host;
  base::region_name Region;
  /// Regions in addition to their own to which callers may be directed; empty
  /// means all.
  std::vector<base::region_name> AllowedRegions;
  /// Requests per second from the callers of the region to the host.
  double Rate = 0;
};

/// \brief Selects the entries that a caller should use: those of its own region
/// or, if it has none, those of the allowed regions.
///
/// Callers of one host in one region get the same few entries, so that each of
/// these entries sees most of the load of the targets that it uses. The fewest
/// entries are selected that serve the rate although callers spread it evenly
/// over them: usually large ones. Small ones are added if these do not suffice.
/// \param Ready entries that are ready to serve callers
/// \param RegionOf region of each failure domain
/// \return front addresses of at most Limit entries; empty only if no entry is
/// usable or Limit is 0
std::vector<base::endpoint>
entriesForCaller(const std::vector<const entry_status *> &Ready,
                 const std::map<base::domain_name, base::region_name> &RegionOf,
                 const entry_query &Query, std::size_t Limit);

} // namespace skylarkdyke::membership

#endif
