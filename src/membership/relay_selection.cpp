#include "skylarkdyke/membership/relay_selection.hpp"

#include <algorithm>

namespace skylarkdyke::membership {

static bool isUsable(const entry_status &Entry) {
  return Entry.Ready && !Entry.Leaving && Entry.StoreReachable;
}

/// Returns whether an entry is preferred as a relay.
static bool isPreferred(const entry_status &Left, const entry_status &Right) {
  if (isUsable(Left) != isUsable(Right))
    return isUsable(Left);
  if (Left.Capacity != Right.Capacity)
    return Left.Capacity > Right.Capacity;
  return Left.MeshAddress < Right.MeshAddress;
}

std::set<base::endpoint>
selectRelays(const std::vector<const entry_status *> &Entries) {
  std::set<base::endpoint> Relays;
  auto Ranked = Entries;
  std::sort(Ranked.begin(), Ranked.end(),
            [](const entry_status *Left, const entry_status *Right) {
              return isPreferred(*Left, *Right);
            });
  std::set<base::domain_name> Domains;
  for (const entry_status *Entry : Ranked)
    if (Domains.insert(Entry->Domain).second)
      Relays.insert(Entry->MeshAddress);
  for (const entry_status *Entry : Ranked)
    if (Relays.size() < MinRelays)
      Relays.insert(Entry->MeshAddress);
  return Relays;
}

} // namespace skylarkdyke::membership
