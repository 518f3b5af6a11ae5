#include "entries/detail/address_book.hpp"

#include <algorithm>

namespace skylarkdyke::entries::detail {

using std::chrono::nanoseconds;

/// Exponent at which the backoff stops to double; larger ones would overflow.
static constexpr unsigned MaxDoublings = 16;

nanoseconds address_book::upTo(nanoseconds Most) {
  return nanoseconds(
      std::uniform_int_distribution<nanoseconds::rep>(0, Most.count())(Random));
}

void address_book::addSeed(const base::endpoint &Address, base::boot_time Now) {
  entry &Entry = Entries[Address];
  Entry.Seed = true;
  Entry.NextDial = Now;
}

bool address_book::learn(const base::endpoint &Address, base::boot_time Now) {
  const auto Found = Entries.find(Address);
  if (Found != Entries.end()) {
    Found->second.Expiry = Now + Limits.ForgetAfter;
    return true;
  }
  if (Entries.size() >= Limits.MaxAddresses)
    return false;
  entry &Entry = Entries[Address];
  Entry.NextDial = Now + upTo(2 * Limits.FirstBackoff);
  Entry.Expiry = Now + Limits.ForgetAfter;
  return true;
}

void address_book::markOwn(const base::endpoint &Address) {
  Entries[Address].State = state::Own;
}

void address_book::dialled(const base::endpoint &Address) {
  Entries[Address].State = state::Dialling;
}

void address_book::connected(const base::endpoint &Address,
                             base::boot_time Now) {
  learn(Address, Now);
  const auto Found = Entries.find(Address);
  if (Found == Entries.end())
    return;
  Found->second.State = state::Connected;
  Found->second.Tried = true;
  Found->second.Failures = 0;
}

void address_book::failed(const base::endpoint &Address, base::boot_time Now) {
  const auto Found = Entries.find(Address);
  if (Found == Entries.end() || Found->second.State == state::Own)
    return;
  entry &Entry = Found->second;
  if (Entry.State == state::Connected)
    Entry.Expiry = Now + Limits.ForgetAfter;
  Entry.State = state::Waiting;
  Entry.Tried = true;
  const nanoseconds Backoff = std::min<nanoseconds>(
      Limits.MaxBackoff, Limits.FirstBackoff * (1U << Entry.Failures));
  Entry.Failures = std::min(Entry.Failures + 1, MaxDoublings);
  Entry.NextDial = Now + Backoff / 2 + upTo(Backoff / 2);
}

void address_book::expire(base::boot_time Now) {
  for (auto Each = Entries.begin(); Each != Entries.end();) {
    const entry &Entry = Each->second;
    if (!Entry.Seed && Entry.State == state::Waiting && Now >= Entry.Expiry)
      Each = Entries.erase(Each);
    else
      ++Each;
  }
}

std::vector<base::endpoint> address_book::due(base::boot_time Now) const {
  std::vector<base::endpoint> Due;
  for (const auto &[Address, Entry] : Entries)
    if (Entry.State == state::Waiting && Now >= Entry.NextDial)
      Due.push_back(Address);
  return Due;
}

std::size_t address_book::untried() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &Each) {
        return !Each.second.Tried && Each.second.State != state::Own;
      }));
}

} // namespace skylarkdyke::entries::detail
