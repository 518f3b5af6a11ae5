#include "skylarkdyke/config/prefix.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace skylarkdyke::config {

std::optional<ipv4_prefix> parsePrefix(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  in_addr Parsed{};
  const std::string Address(Text.substr(0, Slash));
  // inet_pton would ignore the text after an embedded zero byte.
  if (Address.find('\0') != std::string::npos ||
      inet_pton(AF_INET, Address.c_str(), &Parsed) != 1)
    return std::nullopt;
  ipv4_prefix Prefix;
  Prefix.Address = ntohl(Parsed.s_addr);
  const std::string_view Length = Text.substr(Slash + 1);
  const char *End = Length.data() + Length.size();
  const auto [ParseEnd, Error] =
      std::from_chars(Length.data(), End, Prefix.Length);
  const bool HasLeadingZero = Length.size() > 1 && Length[0] == '0';
  if (Error != std::errc() || ParseEnd != End || Prefix.Length > 32 ||
      HasLeadingZero)
    return std::nullopt;
  const std::uint32_t HostBits =
      Prefix.Length == 32 ? 0 : UINT32_MAX >> Prefix.Length;
  if ((Prefix.Address & HostBits) != 0)
    return std::nullopt;
  return Prefix;
}

} // namespace skylarkdyke::config
