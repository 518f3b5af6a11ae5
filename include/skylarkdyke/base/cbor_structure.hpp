#ifndef SKYLARKDYKE_BASE_CBOR_STRUCTURE_HPP
#define SKYLARKDYKE_BASE_CBOR_STRUCTURE_HPP

#include <cstdint>
#include <string_view>

namespace skylarkdyke::base {

/// Maximum number of items of a message, which limits its parsed form to a few
/// megabytes.
inline constexpr std::uint64_t MaxMessageItems = 65536;

/// \brief Checks that bytes are one CBOR item that is safe to parse: it has no
/// indefinite lengths and no tags, and its depth and number of items are
/// bounded.
///
/// nlohmann::json parses nested arrays, maps and chunked strings by recursion
/// without a limit, so that 1.25 MB of nested array heads would overflow the
/// stack. It also expands a one-byte item to 16 bytes or more.
/// \param MaxItems maximum number of items at all levels together
/// \return null if the item is acceptable, else the reason
const char *
checkCborStructure(std::string_view Bytes,
                   std::uint64_t MaxItems = MaxMessageItems) noexcept;

} // namespace skylarkdyke::base

#endif
