#ifndef SKYLARKDYKE_ONCE_KEY_HPP
#define SKYLARKDYKE_ONCE_KEY_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstddef>
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

/// Longest time from the issue of a prefix to its expiry. Keys that expire
/// later are refused, so that a forged expiry cannot hold memory.
inline constexpr std::chrono::seconds MaxKeyLifetime{120};

/// How long a record is kept beyond the expiry of its key. Wall clocks of two
/// machines differ by less; if they do not, answers become "unknown", never
/// wrong.
inline constexpr std::chrono::seconds ExpiryMargin{10};

/// Longest accepted key in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/// \brief Formats a prefix for a lookup answer:
/// "<owner>-<expiry in Unix seconds>-<witness>", incarnations as 16 hexadecimal
/// digits.
std::string toString(const key_prefix &Prefix);

/// \brief Parses "<prefix>.<caller's part>".
/// \return the key, or nothing if the text is too long, its prefix is not
/// exactly as toString() formats it, or its caller's part is empty or has bytes
/// other than visible ASCII
std::optional<idempotency_key> parseKey(std::string_view Text);

} // namespace skylarkdyke::once

#endif
