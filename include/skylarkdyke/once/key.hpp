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

/// \brief Prefix that binds idempotency keys to the only entry incarnation that
/// may run their requests.
struct key_prefix {
  base::incarnation_id Owner;
  /// Expiry in whole seconds. Requests with the key are never run after it.
  base::wall_time Expiry;
  /// Incarnation that records intents to run a request, see witness_table; zero
  /// if there is none.
  base::incarnation_id Witness;

  friend bool operator==(const key_prefix &Left, const key_prefix &Right) {
    return Left.Owner == Right.Owner && Left.Expiry == Right.Expiry &&
           Left.Witness == Right.Witness;
  }
};

/// \brief Idempotency key: the prefix returned by a lookup and a part chosen by
/// the caller.
struct idempotency_key {
  key_prefix Prefix;
  std::string CallerPart;
  /// Full text of the key as sent by the caller.
  std::string Text;
};

/// Maximum time from the issue of a prefix to its expiry. Keys that expire
/// later are refused, so that a forged expiry cannot occupy memory for long.
inline constexpr std::chrono::seconds MaxKeyLifetime{120};

/// Time for which a record is kept after the expiry of its key. Wall clocks of
/// two machines are assumed to differ by less. If they differ by more, outcomes
/// become "unknown" but never wrong.
inline constexpr std::chrono::seconds ExpiryMargin{10};

/// Maximum length of a key in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/// \brief Formats a prefix for a lookup answer:
/// "<owner>-<expiry in Unix seconds>-<witness>", incarnations as 16 hexadecimal
/// digits.
std::string toString(const key_prefix &Prefix);

/// \brief Parses "<prefix>.<caller's part>".
/// \return the key, or nothing if the text is too long, its prefix is not in
/// the canonical form of toString(), or its caller's part is empty or contains
/// bytes other than visible ASCII characters
std::optional<idempotency_key> parseKey(std::string_view Text);

} // namespace skylarkdyke::once

#endif
