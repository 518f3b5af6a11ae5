#include "skylarkdyke/membership/directory.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <xxhash.h>

namespace skylarkdyke::membership {

/// Lower bound of an entry's capacity in the ranking of entries, in requests
/// per second; it also applies to an entry that reports no capacity.
static constexpr double MinCapacity = 1;
/// Fraction of the capacity that the expected rate may use. The rest is for
/// bursts and for the callers of other hosts at the same entries.
static constexpr double PlannedUtilization = 0.7;

namespace {

struct ranked_entry {
  double Rank;
  const entry_status *Entry;
};

} // namespace

/// Weighted rendezvous hashing: the probability that an entry has the lowest
/// rank is proportional to its capacity.
static double rankOf(const entry_status &Entry, std::uint64_t HostSeed) {
  const std::string Name = base::toString(Entry.FrontAddress);
  const std::uint64_t Hash =
      XXH3_64bits_withSeed(Name.data(), Name.size(), HostSeed);
  const double HashFraction =
      (static_cast<double>(Hash >> 11U) + 1) * std::ldexp(1.0, -53);
  return -std::log(HashFraction) / std::max(Entry.Capacity, MinCapacity);
}

static double capacityOf(const entry_status &Entry) {
  return std::max(Entry.Capacity, MinCapacity);
}

/// Returns the smallest capacity that the selected entries should have, so that
/// the fewest entries serve the rate. Callers choose among the entries at
/// random, so that each gets the same part of the rate, however large it is.
static double minSelectedCapacity(const std::vector<ranked_entry> &Usable,
                                  double Rate, std::size_t Limit) {
  std::vector<double> Capacities;
  Capacities.reserve(Usable.size());
  for (const ranked_entry &Ranked : Usable)
    Capacities.push_back(capacityOf(*Ranked.Entry));
  std::sort(Capacities.begin(), Capacities.end(), std::greater<>());
  double Best = 0;
  double BestTotal = 0;
  for (std::size_t I = 0; I < std::min(Capacities.size(), Limit); ++I) {
    const double Total = static_cast<double>(I + 1) * Capacities[I];
    if (Total <= BestTotal)
      continue;
    Best = Capacities[I];
    BestTotal = Total;
    if (Total * PlannedUtilization > Rate)
      break;
  }
  return Best;
}

std::vector<base::endpoint>
entriesForCaller(const std::vector<const entry_status *> &Ready,
                 const std::map<base::domain_name, base::region_name> &RegionOf,
                 const entry_query &Query, std::size_t Limit) {
  const std::uint64_t HostSeed =
      XXH3_64bits(Query.Host.data(), Query.Host.size());
  std::vector<ranked_entry> LocalEntries;
  std::vector<ranked_entry> RemoteEntries;
  for (const entry_status *Entry : Ready) {
    const auto Region = RegionOf.find(Entry->Domain);
    if (Region == RegionOf.end())
      continue;
    const double Rank = rankOf(*Entry, HostSeed);
    const auto &Allowed = Query.AllowedRegions;
    if (Region->second == Query.Region)
      LocalEntries.push_back({Rank, Entry});
    else if (Allowed.empty() || std::find(Allowed.begin(), Allowed.end(),
                                          Region->second) != Allowed.end())
      RemoteEntries.push_back({Rank, Entry});
  }
  auto &Usable = LocalEntries.empty() ? RemoteEntries : LocalEntries;
  std::sort(Usable.begin(), Usable.end(),
            [](const ranked_entry &Left, const ranked_entry &Right) {
              return Left.Rank < Right.Rank;
            });
  const double MinSelected = minSelectedCapacity(Usable, Query.Rate, Limit);
  std::vector<base::endpoint> Selected;
  for (const ranked_entry &Ranked : Usable) {
    const double PlannedRate =
        static_cast<double>(Selected.size()) * MinSelected * PlannedUtilization;
    if (Selected.size() >= Limit ||
        (!Selected.empty() && PlannedRate > Query.Rate))
      break;
    if (capacityOf(*Ranked.Entry) >= MinSelected)
      Selected.push_back(Ranked.Entry->FrontAddress);
  }
  return Selected;
}

} // namespace skylarkdyke::membership
