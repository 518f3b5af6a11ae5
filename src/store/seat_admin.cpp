#include "skylarkdyke/store/seat_admin.hpp"

#include "skylarkdyke/base/event.hpp"

namespace skylarkdyke::store {

std::variant<seat_record, not_found, unavailable>
readSeat(client &Store, unsigned Seat, base::boot_time Deadline) {
  const read_result Result = Store.get(seatKey(Seat), Deadline);
  if (const auto *Missing = std::get_if<not_found>(&Result))
    return *Missing;
  if (const auto *Failure = std::get_if<unavailable>(&Result))
    return *Failure;
  auto Record = decodeSeatRecord(std::get<value>(Result).Bytes);
  if (!Record)
    return unavailable{"malformed seat record"};
  return *std::move(Record);
}

write_result confirmDestroyed(client &Store, unsigned Seat,
                              base::incarnation_id Holder,
                              const base::operator_name &Operator,
                              base::boot_time Deadline) {
  const read_result Result = Store.get(seatKey(Seat), Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Result))
    return *Failure;
  const auto *Value = std::get_if<value>(&Result);
  auto Record =
      Value == nullptr ? std::nullopt : decodeSeatRecord(Value->Bytes);
  if (!Record || Record->State != seat_state::Held ||
      Record->Incarnation != Holder)
    return refused{};
  Record->State = seat_state::Confirmed;
  Record->ReleasedBy = Operator;
  write_result WriteResult = Store.compareAndSwap(
      seatKey(Seat), encode(*Record), Value->ModifyIndex, Deadline);
  if (std::holds_alternative<written>(WriteResult))
    SKYLARKDYKE_LOG(WARNING, SeatReleaseConfirmed)
        << "seat " << Seat << " of incarnation " << base::toString(Holder)
        << " by " << Operator.str();
  return WriteResult;
}

} // namespace skylarkdyke::store
