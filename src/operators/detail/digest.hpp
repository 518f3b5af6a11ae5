#ifndef SKYLARKDYKE_OPERATORS_DETAIL_DIGEST_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_DIGEST_HPP

#include <string>
#include <string_view>

namespace skylarkdyke::operators::detail {

/// \brief SHA-256 as 32 bytes.
std::string sha256(std::string_view Bytes);

/// \brief HMAC-SHA-256 as 64 hexadecimal digits.
std::string hmacSha256(std::string_view Key, std::string_view Bytes);

/// \brief Random bytes from the operating system, for keys.
/// \throws std::runtime_error if there are none
std::string randomBytes(std::size_t Count);

std::string toHex(std::string_view Bytes);

/// \brief Compares two texts in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

} // namespace skylarkdyke::operators::detail

#endif
