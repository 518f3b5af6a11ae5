#ifndef SKYLARKDYKE_CONFIG_DIFFERENCE_HPP
#define SKYLARKDYKE_CONFIG_DIFFERENCE_HPP

#include "skylarkdyke/config/document.hpp"

#include <string>
#include <vector>

namespace skylarkdyke::config {

/// \brief A field whose values differ between two documents.
struct field_change {
  /// Like a JSON pointer, but list items are identified by their key instead of
  /// their index: "/regions/mazowsze/cap_per_second",
  /// "/links/mazowsze:pomorze", "/drains/domain:maz-a/start".
  std::string Path;
  /// Old value in readable form; empty if the field did not exist.
  std::string Before;
  /// New value in readable form; empty if the field no longer exists.
  std::string After;
};

/// \brief Lists the fields that differ between two documents, sorted by path.
/// The version, the submission fields and the order of list items are ignored.
/// O(n log n) in the number of items.
std::vector<field_change> difference(const document &Old, const document &New);

/// \brief Formats a change as "path: before -> after", with "(none)" for an
/// empty value.
std::string toString(const field_change &Change);

} // namespace skylarkdyke::config

#endif
