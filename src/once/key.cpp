#include "skylarkdyke/once/key.hpp"

#include <algorithm>
#include <charconv>

namespace skylarkdyke::once {

namespace {

constexpr std::size_t IncarnationDigits = 16;
/// Later instants overflow a wall_time, which counts nanoseconds.
constexpr std::int64_t MaxExpirySeconds = 9'000'000'000;

template <typename Number>
bool parseNumber(std::string_view Text, int Base, Number &Value) {
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  return Error == std::errc() && End == Text.data() + Text.size();
}

std::optional<key_prefix> parsePrefix(std::string_view Text) {
  // Minimum: owner, witness, two separators and one digit of the expiry.
  if (Text.size() < 2 * IncarnationDigits + 3)
    return std::nullopt;
  const std::string_view Owner = Text.substr(0, IncarnationDigits);
  const std::string_view Witness = Text.substr(Text.size() - IncarnationDigits);
  const std::string_view Expiry = Text.substr(
      IncarnationDigits + 1, Text.size() - 2 * IncarnationDigits - 2);
  key_prefix Prefix;
  std::int64_t Seconds = 0;
  if (!parseNumber(Owner, 16, Prefix.Owner.Value) ||
      !parseNumber(Witness, 16, Prefix.Witness.Value) ||
      !parseNumber(Expiry, 10, Seconds) || Seconds < 0 ||
      Seconds > MaxExpirySeconds || Prefix.Owner.Value == 0)
    return std::nullopt;
  Prefix.Expiry = base::wall_time(std::chrono::seconds(Seconds));
  // Only the canonical form is accepted, so that keys can be compared as texts.
  if (toString(Prefix) != Text)
    return std::nullopt;
  return Prefix;
}

} // namespace

std::string toString(const key_prefix &Prefix) {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
      Prefix.Expiry.time_since_epoch());
  return base::toString(Prefix.Owner) + "-" + std::to_string(Seconds.count()) +
         "-" + base::toString(Prefix.Witness);
}

std::optional<idempotency_key> parseKey(std::string_view Text) {
  const std::size_t Dot = Text.find('.');
  if (Text.size() > MaxKeyBytes || Dot == std::string_view::npos)
    return std::nullopt;
  const std::string_view CallerPart = Text.substr(Dot + 1);
  const bool IsVisibleAscii =
      std::all_of(CallerPart.begin(), CallerPart.end(), [](char Character) {
        return Character > ' ' && Character <= '~';
      });
  const auto Prefix = parsePrefix(Text.substr(0, Dot));
  if (!Prefix || CallerPart.empty() || !IsVisibleAscii)
    return std::nullopt;
  return idempotency_key{*Prefix, std::string(CallerPart), std::string(Text)};
}

} // namespace skylarkdyke::once
