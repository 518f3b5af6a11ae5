#ifndef SKYLARKDYKE_STEERING_LOOKUP_ORDER_HPP
#define SKYLARKDYKE_STEERING_LOOKUP_ORDER_HPP

#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/entries/member.hpp"

#include <memory>
#include <vector>

namespace skylarkdyke::steering {

/// Maximum number of entries in the result of a lookup.
inline constexpr std::size_t MaxLookupEntries = 4;

/// \brief Order in which lookups return entries, computed from one state of the
/// membership.
///
/// Immutable; safe for concurrent reads. Create a new object when the
/// membership or the document changes.
class lookup_order {
public:
  /// Complexity: O(n log n) for n members, and O(r^2 log r) for r regions.
  /// \param Document source of the round-trip times between regions
  /// \param Members all known entries including this one; entries that are
  /// leaving, unreachable or not ready are skipped
  lookup_order(const config::document &Document,
               const std::vector<entries::member> &Members);
  ~lookup_order();
  lookup_order(lookup_order &&) noexcept;
  lookup_order &operator=(lookup_order &&) noexcept;

  /// \brief Entries for a lookup in order of preference: the service's
  /// dispatcher in the client's region, the other entries of that region in the
  /// order in which they would become dispatcher, then the entries of other
  /// regions by round-trip time. The last position is reserved for another
  /// region if one has an entry, so that the result stays useful when the
  /// client's region fails.
  /// Complexity: O(m) for m entries in the regions that are used.
  /// \return at most MaxLookupEntries entries, valid for the lifetime of this
  /// object
  std::vector<const entries::member *>
  entriesFor(const base::service_name &Service,
             const base::region_name &ClientRegion) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::steering

#endif
