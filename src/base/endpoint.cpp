#include "skylarkdyke/base/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace skylarkdyke::base {

std::optional<endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  endpoint Result;
  Result.Address = std::string(Text.substr(0, Colon));
  in_addr Parsed{};
  if (inet_pton(AF_INET, Result.Address.c_str(), &Parsed) != 1)
    return std::nullopt;
  const std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  const auto [ParseEnd, Error] = std::from_chars(Port.data(), End, Result.Port);
  if (Error != std::errc() || ParseEnd != End || Result.Port == 0)
    return std::nullopt;
  return Result;
}

std::string toString(const endpoint &Endpoint) {
  return Endpoint.Address + ":" + std::to_string(Endpoint.Port);
}

} // namespace skylarkdyke::base
