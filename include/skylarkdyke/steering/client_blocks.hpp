#ifndef SKYLARKDYKE_STEERING_CLIENT_BLOCKS_HPP
#define SKYLARKDYKE_STEERING_CLIENT_BLOCKS_HPP

#include "skylarkdyke/config/document.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkdyke::steering {

/// \brief A block of IPv4 addresses.
struct ipv4_prefix {
  /// First address in host byte order.
  std::uint32_t Address = 0;
  /// Number of leading bits that all addresses of the block share, 0 to 32.
  unsigned Length = 0;
};

/// \brief Parses a dotted IPv4 address.
/// \return the address in host byte order, or nothing if the text is malformed
std::optional<std::uint32_t> parseAddress(std::string_view Text);

/// \brief Parses a prefix in CIDR notation and clears the host bits.
/// \return the prefix, or nothing if the text is malformed
std::optional<ipv4_prefix> parsePrefix(std::string_view Text);

/// \brief Longest-prefix-match table that maps client addresses to regions.
///
/// The prefixes are flattened into disjoint ranges of addresses, sorted, with
/// an index over the upper 16 bits. Immutable; safe for concurrent reads.
class client_blocks {
public:
  /// \brief Builds the table. Of equal prefixes, the last one is used.
  /// Malformed prefixes are skipped; the validation of the document reports
  /// them.
  /// Complexity: O(n log n) for n blocks; at most 2n + 1 ranges of 6 bytes.
  explicit client_blocks(const std::vector<config::client_block> &Blocks);

  /// \brief Finds the region of an address.
  /// Complexity: O(log k) for k ranges with the address's upper 16 bits.
  /// \param Address in host byte order
  /// \return the region of the longest prefix that contains the address, or
  /// null
  const base::region_name *find(std::uint32_t Address) const;

  /// \brief Finds the region of an address in dotted form.
  /// \return the region of the longest prefix that contains the address, or
  /// null if there is none or the text is malformed
  const base::region_name *find(std::string_view Address) const;

  /// \brief Memory allocated by the table, in bytes.
  std::size_t memoryBytes() const;

private:
  using region_index = std::uint16_t;

  void addRange(std::uint32_t Start, region_index Region);
  void indexUpperBits();

  /// First address of each range. A range ends before the next one.
  std::vector<std::uint32_t> Starts;
  /// Region of each range as an index into Regions plus 1, or 0 for none.
  std::vector<region_index> RangeRegions;
  /// For each value of the upper 16 address bits, the index of the first range
  /// that starts at or after it.
  std::vector<std::uint32_t> FirstRange;
  std::vector<base::region_name> Regions;
};

} // namespace skylarkdyke::steering

#endif
