#ifndef SKYLARKDYKE_ONCE_KEY_HPP
#define SKYLARKDYKE_ONCE_KEY_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::once {

/// \brief Binds idempotency keys to the only entry incarnation that may run
/// their requests.
struct key_prefix {
  base::incarnation_id Owner;
  /// Whole seconds. A key is never run after this instant.
  base::wall_time Expiry;
  /// Incarnation that records intents; a zero value means none.
  base::incarnation_id Witness;

  friend bool operator==(const key_prefix &Left, const key_prefix &Right) {
    return Left.Owner == Right.Owner && Left.Expiry == Right.Expiry &&
           Left.Witness == Right.Witness;
  }
};

/// \brief An idempotency key: a prefix from a lookup and the caller's own part.
struct idempotency_key {
  key_prefix Prefix;
  std::string CallerPart;
  /// The whole key as the caller sent it.
  std::string Text;
};

/// Longest accepted key in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/// \brief Formats a prefix for a lookup answer.
std::string toString(const key_prefix &Prefix);

/// \brief Parses "<prefix>.<caller's part>".
/// \return the key, or nothing if the text is too long or has no valid prefix
/// or no caller's part
std::optional<idempotency_key> parseKey(std::string_view Text);

} // namespace skylarkdyke::once

#endif
