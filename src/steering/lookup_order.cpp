#include "skylarkdyke/steering/lookup_order.hpp"

#include "steering/detail/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <tuple>
#include <unordered_map>

namespace skylarkdyke::steering {

using std::chrono::microseconds;

namespace {

struct candidate {
  entries::member Member;
  std::uint64_t Seed;
};

using region_members = std::vector<candidate>;

/// The best few candidates of a region, best first.
class best_candidates {
public:
  explicit best_candidates(std::size_t Wanted) : Wanted(Wanted) {}

  void offer(std::uint64_t Score, const entries::member &Member) {
    const ranked New{Score, &Member};
    if (Count == Wanted && !better(New, Best[Count - 1]))
      return;
    std::size_t Place = Count < Wanted ? Count++ : Count - 1;
    for (; Place > 0 && better(New, Best[Place - 1]); --Place)
      Best[Place] = Best[Place - 1];
    Best[Place] = New;
  }

  void appendTo(std::vector<const entries::member *> &Named) const {
    for (std::size_t I = 0; I < Count; ++I)
      Named.push_back(Best[I].Member);
  }

private:
  struct ranked {
    std::uint64_t Score = 0;
    const entries::member *Member = nullptr;
  };
  static bool better(const ranked &Left, const ranked &Right) {
    return std::tie(Left.Score, Left.Member->Incarnation) >
           std::tie(Right.Score, Right.Member->Incarnation);
  }

  std::size_t Wanted;
  std::size_t Count = 0;
  std::array<ranked, MaxNamedEntries> Best{};
};

} // namespace

struct lookup_order::impl {
  std::map<base::region_name, region_members> Regions;
  /// For each client region the regions with candidates, nearest first.
  std::unordered_map<base::region_name, std::vector<const region_members *>>
      Nearest;
  /// For a client region without any link or entry.
  std::vector<const region_members *> Any;

  void orderFrom(const base::region_name &From,
                 const std::map<base::region_name, microseconds> &RoundTrips);
};

void lookup_order::impl::orderFrom(
    const base::region_name &From,
    const std::map<base::region_name, microseconds> &RoundTrips) {
  std::vector<std::pair<microseconds, const region_members *>> Order;
  for (const auto &[To, Members] : Regions) {
    const auto RoundTrip = RoundTrips.find(To);
    if (To == From)
      Order.emplace_back(microseconds::min(), &Members);
    else if (RoundTrip != RoundTrips.end())
      Order.emplace_back(RoundTrip->second, &Members);
    else
      Order.emplace_back(microseconds::max(), &Members);
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  auto &Sorted = Nearest[From];
  for (const auto &[RoundTrip, Members] : Order)
    Sorted.push_back(Members);
}

lookup_order::lookup_order(const config::document &Document,
                           const std::vector<entries::member> &Members)
    : Impl(std::make_unique<impl>()) {
  for (const entries::member &Member : Members)
    if (detail::takesNewWork(Member))
      Impl->Regions[Member.Region].push_back(
          {Member, detail::seedOf(Member.Name)});
  std::map<base::region_name, std::map<base::region_name, microseconds>>
      RoundTrips;
  for (const auto &[Region, OfRegion] : Impl->Regions) {
    Impl->Any.push_back(&OfRegion);
    RoundTrips[Region];
  }
  for (const config::link &Link : Document.Links)
    RoundTrips[Link.From][Link.To] = Link.RoundTrip;
  for (const auto &[From, ToOthers] : RoundTrips)
    Impl->orderFrom(From, ToOthers);
}

lookup_order::~lookup_order() = default;
lookup_order::lookup_order(lookup_order &&) noexcept = default;
lookup_order &lookup_order::operator=(lookup_order &&) noexcept = default;

std::vector<const entries::member *>
lookup_order::entriesFor(const base::service_name &Service,
                         const base::region_name &ClientRegion) const {
  const auto Known = Impl->Nearest.find(ClientRegion);
  const auto &Order = Known == Impl->Nearest.end() ? Impl->Any : Known->second;
  std::vector<const entries::member *> Named;
  Named.reserve(MaxNamedEntries);
  for (std::size_t I = 0; I < Order.size(); ++I) {
    const std::size_t Left = MaxNamedEntries - Named.size();
    if (Left == 0)
      break;
    const bool KeepOne = I == 0 && Order.size() > 1;
    best_candidates Best(KeepOne ? Left - 1 : Left);
    for (const candidate &Candidate : *Order[I])
      Best.offer(detail::scoreOf(Service, Candidate.Seed), Candidate.Member);
    Best.appendTo(Named);
  }
  return Named;
}

} // namespace skylarkdyke::steering
