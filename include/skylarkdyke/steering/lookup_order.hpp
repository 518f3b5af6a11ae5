#ifndef SKYLARKDYKE_STEERING_LOOKUP_ORDER_HPP
#define SKYLARKDYKE_STEERING_LOOKUP_ORDER_HPP

#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/entries/member.hpp"

#include <memory>
#include <vector>

namespace skylarkdyke::steering {

/// Most entries that a lookup names.
inline constexpr std::size_t MaxNamedEntries = 4;

/// \brief Decides which entries a lookup names, for one state of the
/// membership.
///
/// Immutable; safe for concurrent reads. Build a new one when the membership or
/// the document changes.
class lookup_order {
public:
  /// Complexity: O(n log n) for n members, and O(r^2 log r) for r regions.
  /// \param Document gives the round trips between regions
  /// \param Members all known entries with this one; those that are leaving,
  /// unreachable or not ready are left out
  lookup_order(const config::document &Document,
               const std::vector<entries::member> &Members);
  ~lookup_order();
  lookup_order(lookup_order &&) noexcept;
  lookup_order &operator=(lookup_order &&) noexcept;

  /// \brief Entries for a lookup: the service's dispatcher in the client's
  /// region, the other entries of that region in the order in which they would
  /// become dispatcher, then those of other regions by round trip. The last
  /// place goes to another region if one has an entry, so that a caller's
  /// answer outlives the loss of its region.
  /// Complexity: O(m) for m entries in the regions that are named.
  /// \return at most MaxNamedEntries entries, valid as long as this object
  std::vector<const entries::member *>
  entriesFor(const base::service_name &Service,
             const base::region_name &ClientRegion) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::steering

#endif
