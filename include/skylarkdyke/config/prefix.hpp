#ifndef SKYLARKDYKE_CONFIG_PREFIX_HPP
#define SKYLARKDYKE_CONFIG_PREFIX_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace skylarkdyke::config {

/// \brief An IPv4 prefix; the address is in host byte order.
struct ipv4_prefix {
  std::uint32_t Address = 0;
  unsigned Length = 0;
};

/// \brief Parses an IPv4 prefix in CIDR notation such as 10.1.0.0/16.
/// \return the prefix, or nothing if the text is malformed or has host bits set
std::optional<ipv4_prefix> parsePrefix(std::string_view Text);

} // namespace skylarkdyke::config

#endif
