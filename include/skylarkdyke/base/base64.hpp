#ifndef SKYLARKDYKE_BASE_BASE64_HPP
#define SKYLARKDYKE_BASE_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::base {

/// \brief Encodes bytes as base64 (RFC 4648, section 4) with OpenSSL.
std::string encodeBase64(std::string_view Bytes);

/// \brief Decodes base64 text (RFC 4648, section 4).
/// \return the bytes, or nothing if the text is not valid base64
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace skylarkdyke::base

#endif
