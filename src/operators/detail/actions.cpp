#include "operators/detail/actions.hpp"

#include "operators/detail/status.hpp"
#include "skylarkdyke/base/event.hpp"

namespace skylarkdyke::operators::detail {

bool releaseBlock(const dependencies &Entry, std::uint64_t Fingerprint,
                  const base::operator_name &Operator) {
  if (!Entry.Release(Fingerprint))
    return false;
  SKYLARKDYKE_LOG(INFO, BlockReleased)
      << poison::toString(Fingerprint) << " by " << Operator.str();
  return true;
}

store::write_result confirmSeat(const dependencies &Entry, unsigned Seat,
                                base::incarnation_id Holder,
                                const base::operator_name &Operator) {
  store::write_result Result = Entry.ConfirmDestroyed(Seat, Holder, Operator);
  if (!std::holds_alternative<store::refused>(Result) &&
      !std::holds_alternative<store::unavailable>(Result))
    SKYLARKDYKE_LOG(WARNING, SeatConfirmed)
        << "seat " << Seat << " of " << base::toString(Holder) << " by "
        << Operator.str()
        << (std::holds_alternative<store::written>(Result)
                ? ""
                : ", not confirmed by the store");
  return Result;
}

const char *toString(store::seat_state State) {
  switch (State) {
  case store::seat_state::Held:
    return "held";
  case store::seat_state::Released:
    return "released";
  case store::seat_state::Confirmed:
    return "freed by an operator";
  }
  return "";
}

} // namespace skylarkdyke::operators::detail
