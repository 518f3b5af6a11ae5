#ifndef SKYLARKDYKE_ENTRIES_MEMBER_HPP
#define SKYLARKDYKE_ENTRIES_MEMBER_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"

#include <cstdint>

namespace skylarkdyke::entries {

/// \brief State of an entry as its peers or the entry itself see it.
struct member {
  base::entry_name Name;
  base::incarnation_id Incarnation;
  base::region_name Region;
  base::domain_name Domain;
  /// Address of the caller port.
  base::endpoint CallerAddress;
  /// Address at which the other entries connect to this entry's mesh.
  base::endpoint PeerAddress;
  std::uint64_t ConfigVersion = 0;
  bool Ready = false;
  /// The entry is draining before a stop.
  bool Leaving = false;
  /// False while the failure detector suspects the entry.
  bool Reachable = false;
};

} // namespace skylarkdyke::entries

#endif
