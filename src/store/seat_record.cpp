#include "skylarkdyke/store/seat_record.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace skylarkdyke::store {

using nlohmann::json;

static const char *toText(seat_state State) {
  switch (State) {
  case seat_state::Held:
    return "held";
  case seat_state::Released:
    return "released";
  case seat_state::Confirmed:
    return "confirmed";
  }
  return "";
}

static std::optional<seat_state> parseState(const std::string &Text) {
  for (const seat_state State :
       {seat_state::Held, seat_state::Released, seat_state::Confirmed})
    if (Text == toText(State))
      return State;
  return std::nullopt;
}

static std::optional<base::incarnation_id>
parseIncarnation(const std::string &Text) {
  base::incarnation_id Incarnation;
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Error] =
      std::from_chars(Text.data(), End, Incarnation.Value, 16);
  if (Error != std::errc() || ParseEnd != End || Text.size() != 16)
    return std::nullopt;
  return Incarnation;
}

std::string seatKey(unsigned Seat) {
  return "skylarkdyke/seats/" + std::to_string(Seat);
}

std::string encode(const seat_record &Record) {
  const json Root = {{"format", 1},
                     {"state", toText(Record.State)},
                     {"incarnation", base::toString(Record.Incarnation)},
                     {"entry", Record.Entry.str()},
                     {"renewals", Record.Renewals},
                     {"released_by", Record.ReleasedBy.str()}};
  return Root.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<seat_record> decodeSeatRecord(std::string_view Text) {
  const json Root = json::parse(Text, nullptr, false);
  if (!Root.is_object())
    return std::nullopt;
  const auto GetString =
      [&Root](const char *Key) -> std::optional<std::string> {
    const auto Found = Root.find(Key);
    if (Found == Root.end() || !Found->is_string())
      return std::nullopt;
    return Found->get<std::string>();
  };
  const auto Format = Root.find("format");
  const auto Renewals = Root.find("renewals");
  const auto State = parseState(GetString("state").value_or(""));
  const auto Incarnation =
      parseIncarnation(GetString("incarnation").value_or(""));
  if (Format == Root.end() || *Format != 1 || Renewals == Root.end() ||
      !Renewals->is_number_unsigned() || !State || !Incarnation)
    return std::nullopt;
  seat_record Record;
  Record.State = *State;
  Record.Incarnation = *Incarnation;
  Record.Entry = base::entry_name(GetString("entry").value_or(""));
  Record.Renewals = Renewals->get<std::uint64_t>();
  Record.ReleasedBy =
      base::operator_name(GetString("released_by").value_or(""));
  return Record;
}

} // namespace skylarkdyke::store
