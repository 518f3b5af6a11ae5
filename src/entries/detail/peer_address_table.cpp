#include "entries/detail/peer_address_table.hpp"

#include <algorithm>

namespace skylarkdyke::entries::detail {

using std::chrono::nanoseconds;

/// Number of failures after which the backoff stops doubling. The limit keeps
/// the shift from overflowing.
static constexpr unsigned MaxDoublings = 16;

nanoseconds peer_address_table::randomUpTo(nanoseconds Max) {
  return nanoseconds(
      std::uniform_int_distribution<nanoseconds::rep>(0, Max.count())(Random));
}

void peer_address_table::addSeed(const base::endpoint &Address,
                                 base::boot_time Now) {
  address_entry &Entry = Entries[Address];
  Entry.IsSeed = true;
  Entry.NextDial = Now;
}

bool peer_address_table::addOrRefresh(const base::endpoint &Address,
                                      base::boot_time Now) {
  const auto Found = Entries.find(Address);
  if (Found != Entries.end()) {
    Found->second.Expiry = Now + Limits.ForgetAfter;
    return true;
  }
  if (Entries.size() >= Limits.MaxAddresses)
    return false;
  address_entry &Entry = Entries[Address];
  Entry.NextDial = Now + randomUpTo(2 * Limits.InitialBackoff);
  Entry.Expiry = Now + Limits.ForgetAfter;
  return true;
}

void peer_address_table::markOwn(const base::endpoint &Address) {
  Entries[Address].State = state::Own;
}

void peer_address_table::markDialling(const base::endpoint &Address) {
  Entries[Address].State = state::Dialling;
}

void peer_address_table::markConnected(const base::endpoint &Address,
                                       base::boot_time Now) {
  addOrRefresh(Address, Now);
  const auto Found = Entries.find(Address);
  if (Found == Entries.end())
    return;
  Found->second.State = state::Connected;
  Found->second.WasTried = true;
  Found->second.Failures = 0;
}

void peer_address_table::markFailed(const base::endpoint &Address,
                                    base::boot_time Now) {
  const auto Found = Entries.find(Address);
  if (Found == Entries.end() || Found->second.State == state::Own)
    return;
  address_entry &Entry = Found->second;
  if (Entry.State == state::Connected)
    Entry.Expiry = Now + Limits.ForgetAfter;
  Entry.State = state::Waiting;
  Entry.WasTried = true;
  const nanoseconds Backoff = std::min<nanoseconds>(
      Limits.MaxBackoff, Limits.InitialBackoff * (1U << Entry.Failures));
  Entry.Failures = std::min(Entry.Failures + 1, MaxDoublings);
  Entry.NextDial = Now + Backoff / 2 + randomUpTo(Backoff / 2);
}

void peer_address_table::removeExpired(base::boot_time Now) {
  for (auto It = Entries.begin(); It != Entries.end();) {
    const address_entry &Entry = It->second;
    if (!Entry.IsSeed && Entry.State == state::Waiting && Now >= Entry.Expiry)
      It = Entries.erase(It);
    else
      ++It;
  }
}

std::vector<base::endpoint>
peer_address_table::dueAddresses(base::boot_time Now) const {
  std::vector<base::endpoint> DueAddresses;
  for (const auto &[Address, Entry] : Entries)
    if (Entry.State == state::Waiting && Now >= Entry.NextDial)
      DueAddresses.push_back(Address);
  return DueAddresses;
}

std::size_t peer_address_table::untriedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &Item) {
        return !Item.second.WasTried && Item.second.State != state::Own;
      }));
}

} // namespace skylarkdyke::entries::detail
