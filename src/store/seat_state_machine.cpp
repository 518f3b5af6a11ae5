#include "skylarkdyke/store/seat_state_machine.hpp"

#include <utility>

namespace skylarkdyke::store {

// A read that shows an older record than a write with a definite result comes
// from a lagging server. After this many such reads in a row, each RetryPeriod
// apart, the store must have been restored from a backup. The limit is a number
// of reads instead of a time, because a process that is paused between two
// reads has seen only two, however long the pause.
static constexpr unsigned MaxStaleReads = 30;

seat_state_machine::seat_state_machine(seat_rules Rules,
                                       base::incarnation_id Incarnation,
                                       base::entry_name Entry, unsigned Seats)
    : Rules(Rules), Incarnation(Incarnation), Entry(std::move(Entry)),
      Seats(Seats),
      // Entries that start at the same time begin at different seats.
      Seat(static_cast<unsigned>(Incarnation.Value % Seats)) {}

seat_step seat_state_machine::next(base::boot_time Now) const {
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
seat_state_machine::authority(base::boot_time Now) const {
  if (!LeaseEnd || IsSuspended || ReleaseAt || Now >= *LeaseEnd)
    return std::nullopt;
  return seat_authority{Seat, *LeaseEnd};
}

void seat_state_machine::beginSwap(purpose Purpose, seat_record Record,
                                   std::uint64_t Index,
                                   base::boot_time NotBefore) {
  Swap = pending_swap();
  Swap->Purpose = Purpose;
  Swap->Record = std::move(Record);
  Swap->Index = Index;
  Swap->NotBefore = NotBefore;
}

void seat_state_machine::onRead(base::boot_time Now,
                                const read_result &Result) {
  if (std::holds_alternative<unavailable>(Result))
    ResumeAt = Now + Rules.RetryPeriod;
  else if (Swap)
    resolveSwap(Now, Result);
  else
    onScanRead(Now, Result);
}

/// Returns whether a record has been observed unchanged for the lease plus the
/// takeover margin.
bool seat_state_machine::isLeaseExpired(base::boot_time Now,
                                        const value &Value) {
  observation &Observed = Observations[Seat];
  if (Observed.Index != Value.ModifyIndex || Observed.Bytes != Value.Bytes)
    Observed = {Value.ModifyIndex, Value.Bytes, Now};
  return Now - Observed.FirstSeen > Rules.Lease + Rules.takeoverMargin();
}

void seat_state_machine::onScanRead(base::boot_time Now,
                                    const read_result &Result) {
  const auto *Value = std::get_if<value>(&Result);
  bool IsFree = Value == nullptr;
  if (Value != nullptr) {
    const auto Record = decodeSeatRecord(Value->Bytes);
    IsFree = (Record && Record->State != seat_state::Held) ||
             isLeaseExpired(Now, *Value);
  }
  if (IsFree) {
    ScannedSeats = 0;
    seat_record Claim;
    Claim.Incarnation = Incarnation;
    Claim.Entry = Entry;
    beginSwap(purpose::Claim, Claim, Value == nullptr ? 0 : Value->ModifyIndex,
              Now);
    return;
  }
  Seat = (Seat + 1) % Seats;
  if (++ScannedSeats < Seats)
    return;
  ScannedSeats = 0;
  ResumeAt = Now + Rules.ScanPeriod;
}

void seat_state_machine::onWrite(base::boot_time SentAt, base::boot_time Now,
                                 const write_result &Result) {
  pending_swap &Current = *Swap;
  if (std::holds_alternative<written>(Result)) {
    if (Current.Purpose == purpose::Release) {
      IsDone = true;
      return;
    }
    // An earlier attempt with an unknown effect cannot have taken effect,
    // because then this one would have been refused.
    Current.UnknownSince.reset();
    Current.IsWritten = true;
    Current.MustRead = true;
    LeaseEnd = SentAt + Rules.Lease;
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

/// Determines the outcome of a swap that was written or refused from the record
/// that is now in the store.
void seat_state_machine::resolveSwap(base::boot_time Now,
                                     const read_result &Result) {
  const auto *Value = std::get_if<value>(&Result);
  const bool IsOwn = Value != nullptr && Value->Bytes == encode(Swap->Record) &&
                     (Swap->IsWritten || Swap->UnknownSince);
  if (IsOwn)
    confirmSwap(Now, Value->ModifyIndex);
  else if (Value != nullptr && Value->ModifyIndex > Swap->Index)
    abandonSeat(Now);
  else
    onStaleRead(Now);
}

void seat_state_machine::onStaleRead(base::boot_time Now) {
  if (++Swap->StaleReads > MaxStaleReads)
    abandonSeat(Now);
  else
    ResumeAt = Now + Rules.RetryPeriod;
}

void seat_state_machine::confirmSwap(base::boot_time Now, std::uint64_t Index) {
  // A write whose response was lost may have taken effect when it was first
  // sent, so the lease starts then.
  if (Swap->UnknownSince)
    LeaseEnd = *Swap->UnknownSince + Rules.Lease;
  HeldRecord = Swap->Record;
  HeldIndex = Index;
  IsSuspended = false;
  Swap.reset();
  if (ReleaseAt) {
    seat_record Released = *HeldRecord;
    Released.State = seat_state::Released;
    beginSwap(purpose::Release, Released, HeldIndex, *ReleaseAt);
    return;
  }
  seat_record Renewed = *HeldRecord;
  ++Renewed.Renewals;
  beginSwap(purpose::Renew, Renewed, HeldIndex, Now + Rules.RenewalPeriod);
}

void seat_state_machine::abandonSeat(base::boot_time Now) {
  HeldRecord.reset();
  LeaseEnd.reset();
  Swap.reset();
  IsSuspended = false;
  IsDone = ReleaseAt.has_value();
  Observations.erase(Seat);
  Seat = (Seat + 1) % Seats;
  ScannedSeats = 0;
  ResumeAt = Now;
}

void seat_state_machine::release(base::boot_time Now) {
  if (ReleaseAt || IsDone)
    return;
  ReleaseAt = Now + Rules.ReleaseDelay;
  ResumeAt = Now;
  if (!Swap) {
    IsDone = true;
    return;
  }
  const bool WasSent = Swap->UnknownSince || Swap->MustRead;
  if (WasSent)
    return; // confirmSwap() or abandonSeat() continues after the next read.
  if (!HeldRecord) {
    IsDone = true;
    return;
  }
  seat_record Released = *HeldRecord;
  Released.State = seat_state::Released;
  beginSwap(purpose::Release, Released, HeldIndex, *ReleaseAt);
}

} // namespace skylarkdyke::store
