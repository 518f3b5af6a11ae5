#ifndef SKYLARKDYKE_BASE_ENDPOINT_HPP
#define SKYLARKDYKE_BASE_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::base {

/// \brief An IPv4 address in dotted-decimal notation with a port.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  friend bool operator==(const endpoint &Left, const endpoint &Right) {
    return Left.Port == Right.Port && Left.Address == Right.Address;
  }
  friend bool operator<(const endpoint &Left, const endpoint &Right) {
    return Left.Address != Right.Address ? Left.Address < Right.Address
                                         : Left.Port < Right.Port;
  }
};

/// \brief Parses "ip:port".
/// \return the endpoint, or nothing if the text is not a dotted-decimal IPv4
/// address with a port from 1 to 65535
std::optional<endpoint> parseEndpoint(std::string_view Text);

/// \brief Formats an endpoint as "ip:port".
std::string toString(const endpoint &Endpoint);

} // namespace skylarkdyke::base

#endif
