#ifndef SKYLARKDYKE_ENTRIES_MEMBER_HPP
#define SKYLARKDYKE_ENTRIES_MEMBER_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"

#include <cstdint>

namespace skylarkdyke::entries {

/// \brief What an entry knows of another entry, or of itself.
struct member {
  base::entry_name Name;
  base::incarnation_id Incarnation;
  base::region_name Region;
  base::domain_name Domain;
  base::endpoint CallerAddress;
  base::endpoint PeerAddress;
  std::uint64_t ConfigVersion = 0;
  bool Ready = false;
  bool Leaving = false;
  /// False while the failure detector suspects the entry.
  bool Reachable = false;
};

} // namespace skylarkdyke::entries

#endif
