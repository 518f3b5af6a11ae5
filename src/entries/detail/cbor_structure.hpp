#ifndef SKYLARKDYKE_ENTRIES_DETAIL_CBOR_STRUCTURE_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_CBOR_STRUCTURE_HPP

#include <string_view>

namespace skylarkdyke::entries::detail {

/// \brief Checks that bytes are one CBOR item that is safe to parse: it has no
/// indefinite lengths and no tags, and its depth and number of items are
/// bounded.
///
/// nlohmann::json parses nested arrays, maps and chunked strings by recursion
/// without a limit, so that 1.25 MB of nested array heads would overflow the
/// stack. It also expands a one-byte item to 16 bytes or more.
/// \return null if the item is acceptable, else the reason
const char *checkCborStructure(std::string_view Bytes) noexcept;

} // namespace skylarkdyke::entries::detail

#endif
