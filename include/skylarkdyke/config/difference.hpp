#ifndef SKYLARKDYKE_CONFIG_DIFFERENCE_HPP
#define SKYLARKDYKE_CONFIG_DIFFERENCE_HPP

#include "skylarkdyke/config/document.hpp"

#include <string>
#include <vector>

namespace skylarkdyke::config {

/// \brief One field that two documents hold differently.
struct field_change {
  /// Like a JSON pointer, but list items are named by their key instead of
  /// their position: "/regions/mazowsze/cap_per_second",
  /// "/links/mazowsze:pomorze", "/drains/domain:maz-a/start".
  std::string Place;
  /// Readable value; empty if the item did not exist.
  std::string Before;
  /// Readable value; empty if the item does not exist any more.
  std::string After;
};

/// \brief Lists the fields in which two documents differ, sorted by place. The
/// version and the fields of the submission are left out, and so is the order
/// of items. O(n log n) in the items.
std::vector<field_change> difference(const document &Old, const document &New);

/// \brief Formats a change as "place: before -> after".
std::string toString(const field_change &Change);

} // namespace skylarkdyke::config

#endif
