#ifndef SKYLARKDYKE_ENTRIES_CODEC_HPP
#define SKYLARKDYKE_ENTRIES_CODEC_HPP

#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/entries/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace skylarkdyke::entries {

/// Largest encoded message: a configuration document of 1 MB with room for its
/// envelope.
inline constexpr std::size_t MaxMessageBytes = 1'250'000;

/// Longest name, in bytes.
inline constexpr std::size_t MaxNameBytes = 256;

/// Longest summary of a crash report, in bytes. Longer ones are cut.
inline constexpr std::size_t MaxSummaryBytes = 512;

enum class decode_fault {
  /// Not CBOR, or a known message with a missing, mistyped or out-of-range
  /// field.
  Malformed,
  /// Larger than MaxMessageBytes.
  Oversized,
  /// A type or format of a later release; to be ignored.
  Unknown,
};

struct decode_error {
  decode_fault Fault = decode_fault::Malformed;
  std::string Reason;
};

/// \brief Encodes a message as a CBOR map with `type` and `format`.
/// Characters outside printable ASCII in the summary of a crash report are
/// replaced, because the path of a request may hold any byte.
std::string encode(const message &Message);

/// \brief Decodes a message. Unknown fields are ignored.
/// \param Bytes one whole message
/// \return the message, or what is wrong with it; never throws for any input.
/// Linear in the size.
base::result<message, decode_error> decode(std::string_view Bytes) noexcept;

} // namespace skylarkdyke::entries

#endif
