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

/// \brief Decodes a document from JSON. Checks form and types only; see
/// validate() for the meaning. \param Text JSON text of at most
/// MaxDocumentBytes \return the document, or all findings with their JSON
/// pointers
base::result<document, base::findings> decode(std::string_view Text);

/// \brief Formats an instant as RFC 3339 in UTC with milliseconds.
std::string formatTime(base::wall_time Time);

/// \brief Parses an RFC 3339 instant in UTC ("Z"), with or without fractional
/// seconds. \return the instant, or nothing
std::optional<base::wall_time> parseTime(std::string_view Text);

} // namespace skylarkdyke::config

#endif
