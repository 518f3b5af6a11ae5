#ifndef SKYLARKDYKE_ENTRIES_CODEC_HPP
#define SKYLARKDYKE_ENTRIES_CODEC_HPP

#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/entries/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace skylarkdyke::entries {

/// Maximum size of an encoded message, in bytes: a configuration document of
/// 1 MB and its envelope.
inline constexpr std::size_t MaxMessageBytes = 1'250'000;

/// Maximum length of a name, in bytes.
inline constexpr std::size_t MaxNameBytes = 256;

/// Maximum length of the summary in a crash report, in bytes. Longer summaries
/// are truncated.
inline constexpr std::size_t MaxSummaryBytes = 512;

/// \brief Reason why a message was not decoded.
enum class decode_fault {
  /// Not CBOR, or a known message with a missing, mistyped or out-of-range
  /// field.
  Malformed,
  /// Larger than MaxMessageBytes.
  Oversized,
  /// A message type or format of a later release. The receiver ignores it.
  Unknown,
};

struct decode_error {
  decode_fault Fault = decode_fault::Malformed;
  std::string Reason;
};

/// \brief Encodes a message as a CBOR map with the fields `type` and `format`.
/// Bytes outside printable ASCII in the summary of a crash report are replaced
/// by `?`, because the path of a request may contain any byte.
std::string encode(const message &Message);

/// \brief Decodes a message, in time linear in its size. Unknown fields are
/// ignored.
/// \param Bytes one complete encoded message
/// \return the message, or an error for invalid input; never throws
base::result<message, decode_error> decode(std::string_view Bytes) noexcept;

} // namespace skylarkdyke::entries

#endif
