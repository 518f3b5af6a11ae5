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

/// The candidates of a region with the highest scores, in descending order.
class top_candidates {
public:
  explicit top_candidates(std::size_t Capacity) : Capacity(Capacity) {}

  void add(std::uint64_t Score, const entries::member &Member) {
    const scored_member New{Score, &Member};
    if (Count == Capacity && !isBetter(New, Best[Count - 1]))
      return;
    std::size_t Position = Count < Capacity ? Count++ : Count - 1;
    for (; Position > 0 && isBetter(New, Best[Position - 1]); --Position)
      Best[Position] = Best[Position - 1];
    Best[Position] = New;
  }

  void appendTo(std::vector<const entries::member *> &Entries) const {
    for (std::size_t I = 0; I < Count; ++I)
      Entries.push_back(Best[I].Member);
  }

private:
  struct scored_member {
    std::uint64_t Score = 0;
    const entries::member *Member = nullptr;
  };
  static bool isBetter(const scored_member &Left, const scored_member &Right) {
    return std::tie(Left.Score, Left.Member->Incarnation) >
           std::tie(Right.Score, Right.Member->Incarnation);
  }

  std::size_t Capacity;
  std::size_t Count = 0;
  std::array<scored_member, MaxLookupEntries> Best{};
};

} // namespace

struct lookup_order::impl {
  std::map<base::region_name, region_members> CandidatesByRegion;
  /// For each client region, the regions with candidates by round-trip time.
  std::unordered_map<base::region_name, std::vector<const region_members *>>
      Nearest;
  /// All regions with candidates, for client regions without links and entries.
  std::vector<const region_members *> Unordered;

  void
  sortByRoundTrip(const base::region_name &From,
                  const std::map<base::region_name, microseconds> &RoundTrips);
};

void lookup_order::impl::sortByRoundTrip(
    const base::region_name &From,
    const std::map<base::region_name, microseconds> &RoundTrips) {
  std::vector<std::pair<microseconds, const region_members *>> Order;
  for (const auto &[To, Members] : CandidatesByRegion) {
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
    if (detail::acceptsRequests(Member))
      Impl->CandidatesByRegion[Member.Region].push_back(
          {Member, detail::seedOf(Member.Name)});
  std::map<base::region_name, std::map<base::region_name, microseconds>>
      RoundTrips;
  for (const auto &[Region, Candidates] : Impl->CandidatesByRegion) {
    Impl->Unordered.push_back(&Candidates);
    RoundTrips[Region];
  }
  for (const config::link &Link : Document.Links)
    RoundTrips[Link.From][Link.To] = Link.RoundTrip;
  for (const auto &[From, ToOthers] : RoundTrips)
    Impl->sortByRoundTrip(From, ToOthers);
}

lookup_order::~lookup_order() = default;
lookup_order::lookup_order(lookup_order &&) noexcept = default;
lookup_order &lookup_order::operator=(lookup_order &&) noexcept = default;

std::vector<const entries::member *>
lookup_order::entriesFor(const base::service_name &Service,
                         const base::region_name &ClientRegion) const {
  const auto Found = Impl->Nearest.find(ClientRegion);
  const auto &Order =
      Found == Impl->Nearest.end() ? Impl->Unordered : Found->second;
  std::vector<const entries::member *> Entries;
  Entries.reserve(MaxLookupEntries);
  for (std::size_t I = 0; I < Order.size(); ++I) {
    const std::size_t Remaining = MaxLookupEntries - Entries.size();
    if (Remaining == 0)
      break;
    const bool ReserveLast = I == 0 && Order.size() > 1;
    top_candidates Best(ReserveLast ? Remaining - 1 : Remaining);
    for (const candidate &Candidate : *Order[I])
      Best.add(detail::scoreOf(Service, Candidate.Seed), Candidate.Member);
    Best.appendTo(Entries);
  }
  return Entries;
}

} // namespace skylarkdyke::steering
