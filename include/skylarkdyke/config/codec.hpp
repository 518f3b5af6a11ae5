#ifndef SKYLARKDYKE_CONFIG_CODEC_HPP
#define SKYLARKDYKE_CONFIG_CODEC_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/config/document.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::config {

/// \brief Encodes a document as JSON.
std::string encode(const document &Document);

/// \brief Decodes a document from JSON. Checks structure and types only; see
/// validate() for the other checks.
/// \param Text JSON text of at most MaxDocumentBytes
/// \return the document, or all findings with their JSON pointers
base::result<document, base::findings> decode(std::string_view Text);

/// \brief Formats an instant as an RFC 3339 timestamp in UTC with milliseconds.
std::string formatTime(base::wall_time Time);

/// \brief Parses an RFC 3339 timestamp in UTC ("Z"), with or without fractional
/// seconds, in the years 1970 to 2199.
/// \return the instant rounded to milliseconds, or nothing if the text is not a
/// valid timestamp
std::optional<base::wall_time> parseTime(std::string_view Text);

} // namespace skylarkdyke::config

#endif
