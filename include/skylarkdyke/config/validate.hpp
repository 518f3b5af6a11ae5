#ifndef SKYLARKDYKE_CONFIG_VALIDATE_HPP
#define SKYLARKDYKE_CONFIG_VALIDATE_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/config/document.hpp"

#include <cstddef>

namespace skylarkdyke::config {

/// \brief Maximum number of regions. It bounds the number of region pairs that
/// validate() checks for links, which grows quadratically.
inline constexpr std::size_t MaxRegions = 200;

/// \brief Checks the contents of one document: names, references, links between
/// all regions, bounds, client prefixes, and that each service keeps a target
/// after the drains. A document without findings can always be encoded.
/// \param Document a decoded document
/// \return all findings with JSON pointers, empty if the document is valid;
/// O(n log n) in the number of items plus the square of the number of regions
base::findings validate(const document &Document);

/// \brief Checks that one document may replace another.
/// \param Old the document in force
/// \param New its proposed successor, checked by validate() separately
/// \return all findings with JSON pointers, empty if the change is allowed
base::findings validateChange(const document &Old, const document &New);

} // namespace skylarkdyke::config

#endif
