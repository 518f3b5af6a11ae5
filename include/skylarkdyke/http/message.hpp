#ifndef SKYLARKDYKE_HTTP_MESSAGE_HPP
#define SKYLARKDYKE_HTTP_MESSAGE_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::http {

/// \brief Compares header names without regard to ASCII case (RFC 9110,
/// section 5.1).
struct header_less {
  using is_transparent = void;
  bool operator()(std::string_view Left, std::string_view Right) const;
};

/// \brief Header fields; a repeated field keeps its last value.
using header_map = std::map<std::string, std::string, header_less>;

/// \brief A request with its whole body.
struct request {
  std::string Method = "GET";
  /// Path with query, as on the wire.
  std::string Target = "/";
  header_map Headers;
  std::string Body;
};

/// \brief A response with its whole body.
struct response {
  int Status = 200;
  header_map Headers;
  std::string Body;
};

/// \brief Finds a header field.
/// \return its value, or nothing
std::optional<std::string> findHeader(const header_map &Headers,
                                      std::string_view Name);

} // namespace skylarkdyke::http

#endif
