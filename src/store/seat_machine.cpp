#include "skylarkdyke/store/seat_machine.hpp"

#include <utility>

namespace skylarkdyke::store {

using namespace std::chrono_literals;

// A read that shows an older record than a definite write comes from a lagging
// server. After this time the store must have been restored from a backup.
static constexpr auto MaxStaleTime = 30s;

seat_machine::seat_machine(seat_rules Rules, base::incarnation_id Incarnation,
                           base::entry_name Entry, unsigned Seats)
    : Rules(Rules), Incarnation(Incarnation), Entry(std::move(Entry)),
      Seats(Seats),
      // Entries that start together begin at different seats.
      Seat(static_cast<unsigned>(Incarnation.Value % Seats)) {}

seat_step seat_machine::next(base::boot_time Now) const {
  if (IsDone)
    return seat_done{};
  if (Now < ResumeAt)
    return wait_until{ResumeAt};
  if (!Swap)
    return read_seat{Seat};
  if (Now < Swap->NotBefore)
    return wait_until{Swap->NotBefore};
  if (Swap->MustRead)
    return read_seat{Seat};
  return write_seat{Seat, encode(Swap->Record), Swap->Index};
}

std::optional<seat_authority>
seat_machine::authority(base::boot_time Now) const {
  if (!Until || IsSuspended || ReleaseAt || Now >= *Until)
    return std::nullopt;
  return seat_authority{Seat, *Until};
}

void seat_machine::beginSwap(purpose Purpose, seat_record Record,
                             std::uint64_t Index, base::boot_time NotBefore) {
  Swap = swap();
  Swap->Purpose = Purpose;
  Swap->Record = std::move(Record);
  Swap->Index = Index;
  Swap->NotBefore = NotBefore;
}

void seat_machine::onRead(base::boot_time Now, const read_result &Result) {
  if (std::holds_alternative<unavailable>(Result))
    ResumeAt = Now + Rules.RetryPeriod;
  else if (Swap)
    settle(Now, Result);
  else
    scanned(Now, Result);
}

/// Tells whether a record has been seen unchanged for the lease and the margin.
bool seat_machine::isUnrenewed(base::boot_time Now, const value &Value) {
  observation &Seen = Observations[Seat];
  if (Seen.Index != Value.ModifyIndex || Seen.Bytes != Value.Bytes)
    Seen = {Value.ModifyIndex, Value.Bytes, Now};
  return Now - Seen.FirstSeen > Rules.Lease + Rules.takeoverMargin();
}

void seat_machine::scanned(base::boot_time Now, const read_result &Result) {
  const auto *Value = std::get_if<value>(&Result);
  bool IsFree = Value == nullptr;
  if (Value != nullptr) {
    const auto Record = decodeSeatRecord(Value->Bytes);
    IsFree = (Record && Record->State != seat_state::Held) ||
             isUnrenewed(Now, *Value);
  }
  if (IsFree) {
    Scanned = 0;
    seat_record Claim;
    Claim.Incarnation = Incarnation;
    Claim.Entry = Entry;
    beginSwap(purpose::Claim, Claim, Value == nullptr ? 0 : Value->ModifyIndex,
              Now);
    return;
  }
  Seat = (Seat + 1) % Seats;
  if (++Scanned < Seats)
    return;
  Scanned = 0;
  ResumeAt = Now + Rules.ScanPeriod;
}

void seat_machine::onWrite(base::boot_time SentAt, base::boot_time Now,
                           const write_result &Result) {
  swap &Current = *Swap;
  if (std::holds_alternative<written>(Result)) {
    if (Current.Purpose == purpose::Release) {
      IsDone = true;
      return;
    }
    // An earlier sending with an unknown effect cannot have been the one that
    // took effect: this one would have been refused.
    Current.UnknownSince.reset();
    Current.IsWritten = true;
    Current.MustRead = true;
    Until = SentAt + Rules.Lease;
    return;
  }
  if (std::holds_alternative<refused>(Result)) {
    if (Current.Purpose == purpose::Release) {
      IsDone = true;
      return;
    }
    IsSuspended = true;
    Current.MustRead = true;
    return;
  }
  if (std::holds_alternative<unknown_effect>(Result) && !Current.UnknownSince)
    Current.UnknownSince = SentAt;
  ResumeAt = Now + Rules.RetryPeriod;
  if (Current.Purpose == purpose::Claim && !Current.UnknownSince)
    Swap.reset();
}

/// Decides a swap that was written or refused by the record that is in the
/// store now.
void seat_machine::settle(base::boot_time Now, const read_result &Result) {
  const auto *Value = std::get_if<value>(&Result);
  const bool IsOwn = Value != nullptr && Value->Bytes == encode(Swap->Record) &&
                     (Swap->IsWritten || Swap->UnknownSince);
  if (IsOwn)
    succeed(Now, Value->ModifyIndex);
  else if (Value != nullptr && Value->ModifyIndex > Swap->Index)
    lose(Now);
  else
    noteStale(Now);
}

void seat_machine::noteStale(base::boot_time Now) {
  if (!Swap->StaleSince)
    Swap->StaleSince = Now;
  if (Now - *Swap->StaleSince > MaxStaleTime)
    lose(Now);
  else
    ResumeAt = Now + Rules.RetryPeriod;
}

void seat_machine::succeed(base::boot_time Now, std::uint64_t Index) {
  // A write whose answer was lost may have taken effect when it was first sent.
  if (Swap->UnknownSince)
    Until = *Swap->UnknownSince + Rules.Lease;
  Held = Swap->Record;
  HeldIndex = Index;
  IsSuspended = false;
  Swap.reset();
  if (ReleaseAt) {
    seat_record Free = *Held;
    Free.State = seat_state::Released;
    beginSwap(purpose::Release, Free, HeldIndex, *ReleaseAt);
    return;
  }
  seat_record Renewed = *Held;
  ++Renewed.Renewals;
  beginSwap(purpose::Renew, Renewed, HeldIndex, Now + Rules.RenewalPeriod);
}

void seat_machine::lose(base::boot_time Now) {
  Held.reset();
  Until.reset();
  Swap.reset();
  IsSuspended = false;
  IsDone = ReleaseAt.has_value();
  Observations.erase(Seat);
  Seat = (Seat + 1) % Seats;
  Scanned = 0;
  ResumeAt = Now;
}

void seat_machine::release(base::boot_time Now) {
  if (ReleaseAt || IsDone)
    return;
  ReleaseAt = Now + Rules.QuietTime;
  ResumeAt = Now;
  if (!Swap) {
    IsDone = true;
    return;
  }
  const bool WasSent = Swap->UnknownSince || Swap->MustRead;
  if (WasSent)
    return; // succeed() or lose() goes on when the swap is settled.
  if (!Held) {
    IsDone = true;
    return;
  }
  seat_record Free = *Held;
  Free.State = seat_state::Released;
  beginSwap(purpose::Release, Free, HeldIndex, *ReleaseAt);
}

} // namespace skylarkdyke::store
