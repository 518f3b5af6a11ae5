#include "skylarkdyke/membership/share_holders.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace skylarkdyke::membership {

using std::chrono::milliseconds;

/// Longest time until all entries of a full mesh know a published weight, or do
/// not count as agreeing: a heartbeat may be overdue there, and the one that
/// says so may be overdue here.
static constexpr milliseconds MeshPropagationTime{5000};
/// The same time by way of the relays.
static constexpr milliseconds RelayPropagationTime{8000};
/// Time within which each relay reports a complete sum.
static constexpr milliseconds RelaySumRetention{4000};
/// Time after the start within which the relays of a region without full mesh
/// become known to its entries.
static constexpr milliseconds RelayDiscoveryTime{3000};
/// Time after a relay has first named an entry within which the others receive
/// sums with its weight: a digest may be lost.
static constexpr milliseconds RelaySumDelay{2500};
/// Time after the start in which an entry does not know its demand yet.
static constexpr milliseconds StartTime{5000};
/// Time after the start within which the entries of all regions know this one,
/// and this one knows them.
static constexpr milliseconds DiscoveryTime{6000};
/// Weight without demand, so that the first requests of a service have a share.
static constexpr double MinWeight = 0.1;
/// Weights that are published within this time are recorded as one.
static constexpr milliseconds MinRecordDistance{100};
/// Number of sums of relays that are recorded one by one.
static constexpr std::size_t MaxRelaySums = 64;
/// Maximum number of silent entries that a heartbeat names.
static constexpr std::size_t MaxReportedSilent = 12;

double share_weights::of(const std::string &Service) const {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? Default : Found->second;
}

/// Combines two weights service by service.
template <typename Function>
static share_weights combine(const share_weights &Left,
                             const share_weights &Right, Function Combine) {
  share_weights Result;
  Result.Default = Combine(Left.Default, Right.Default);
  for (const auto *Side : {&Left, &Right})
    for (const auto &[Service, Weight] : Side->ByService)
      Result.ByService[Service] = Combine(Left.of(Service), Right.of(Service));
  return Result;
}

static double least(double Left, double Right) { return std::min(Left, Right); }
static double greatest(double Left, double Right) {
  return std::max(Left, Right);
}

share_weights operator+(const share_weights &Left, const share_weights &Right) {
  return combine(Left, Right, std::plus<>());
}

share_weights weightsOf(const entry_status &Status) {
  share_weights Weights;
  Weights.Default = Status.BaseWeight;
  for (const auto &[Service, Rate] : Status.Demand)
    Weights.ByService[Service] = Status.BaseWeight + Rate;
  return Weights;
}

/// Returns the weight of an entry that does not know its demand yet: the mean
/// of the others, or its capacity if all have just started.
double share_holders::startWeight(double Capacity, base::boot_time Now) const {
  double Sum = 0;
  unsigned Count = 0;
  for (const auto &[Address, Holder] : Holders) {
    if (Holder.Weights.Default > MinWeight || Now > Holder.LiveUntil)
      continue;
    double OfHolder = 0;
    for (const auto &[Service, Weight] : Holder.Weights.ByService)
      OfHolder = std::max(OfHolder, Weight);
    Sum += OfHolder;
    ++Count;
  }
  return std::max(MinWeight, Count == 0 ? Capacity : Sum / Count);
}

void share_holders::addHolders(entry_status &Own, base::boot_time Now) const {
  for (const auto &[Address, Holder] : Holders) {
    if (Now <= Holder.LiveUntil)
      Own.HeardIncarnations.push_back(Holder.Incarnation);
    else if (Now <= Holder.ReservedUntil &&
             Own.SilentHolders.size() < MaxReportedSilent)
      Own.SilentHolders.push_back({Address, Holder.Weights,
                                   std::chrono::duration_cast<milliseconds>(
                                       Holder.ReservedUntil - Now)});
  }
}

void share_holders::addReport(entry_status &Own, bool FullMesh,
                              base::boot_time Now) {
  if (StartedAt == base::boot_time{}) {
    StartedAt = Now;
    KnownEverywhereAt = Now + DiscoveryTime;
    IsolatedAfter = Now + IsolationLimit;
  }
  OwnIncarnation = Own.Incarnation;
  Own.BaseWeight =
      Now - StartedAt < StartTime ? startWeight(Own.Capacity, Now) : MinWeight;
  if (FullMesh)
    addHolders(Own, Now);
  if (!Published.empty() && Now - Published.back().At < MinRecordDistance)
    Published.back().Weights =
        combine(Published.back().Weights, weightsOf(Own), least);
  else
    Published.push_back({Now, weightsOf(Own)});
}

void share_holders::recordHeartbeat(const entry_status &Status,
                                    base::boot_time LiveUntil,
                                    base::boot_time Now) {
  holder &Holder = Holders[Status.MeshAddress];
  Holder.Incarnation = Status.Incarnation;
  Holder.Weights = weightsOf(Status);
  Holder.Heard = Status.HeardIncarnations;
  Holder.LiveUntil = LiveUntil;
  Holder.ReservedUntil =
      LiveUntil + (Status.Leaving ? LeaveRetention : SilentRetention);
  for (const silent_holder &Silent : Status.SilentHolders) {
    if (Silent.MeshAddress == OwnMesh)
      continue;
    const auto [It, IsNew] = Holders.try_emplace(Silent.MeshAddress);
    if (!IsNew)
      continue;
    It->second.Weights = Silent.Weights;
    It->second.ReservedUntil =
        Now + std::min<milliseconds>(Silent.ReservedFor, SilentRetention);
  }
}

void share_holders::recordRelay(bool NamesThisEntry, const share_weights &Sum,
                                base::boot_time Now) {
  if (!RelaySums.empty() && Now - RelaySums.back().At < MinRecordDistance)
    RelaySums.back().Weights = combine(RelaySums.back().Weights, Sum, greatest);
  else
    RelaySums.push_back({Now, Sum});
  // They are kept while this entry does not agree.
  if (RelaySums.size() > MaxRelaySums) {
    RelaySums[1].Weights =
        combine(RelaySums[0].Weights, RelaySums[1].Weights, greatest);
    RelaySums.pop_front();
  }
  if (!NamesThisEntry)
    return;
  const bool IsFirst = NamedByRelayUntil == base::boot_time{};
  if (IsFirst && (!Joined || Now < StartedAt + RelayDiscoveryTime))
    CountedByOthersAt = Now + RelaySumDelay;
  NamedByRelayUntil = Now + RelayPropagationTime;
}

/// Returns whether an entry is heard, hears this entry, and hears no entry that
/// this one does not know.
bool share_holders::agrees(const holder &Holder, base::boot_time Now) const {
  if (Now > Holder.LiveUntil)
    return false;
  bool HearsThisEntry = false;
  for (const std::uint64_t Incarnation : Holder.Heard) {
    const bool IsThisEntry = Incarnation == OwnIncarnation;
    HearsThisEntry = HearsThisEntry || IsThisEntry;
    if (!IsThisEntry && !isKnown(Incarnation))
      return false;
  }
  return HearsThisEntry;
}

bool share_holders::isKnown(std::uint64_t Incarnation) const {
  return std::any_of(Holders.begin(), Holders.end(),
                     [Incarnation](const auto &Entry) {
                       return Entry.second.Incarnation == Incarnation;
                     });
}

bool share_holders::agreesWithAll(bool FullMesh, base::boot_time Now) const {
  if (!FullMesh)
    return Now <= NamedByRelayUntil;
  return std::all_of(Holders.begin(), Holders.end(), [&](const auto &Entry) {
    return agrees(Entry.second, Now);
  });
}

/// Returns whether this entry has agreed with no other one for longer than the
/// limit.
bool share_holders::updateIsolation(bool FullMesh, base::boot_time Now) {
  const bool AgreesWithAny =
      FullMesh
          ? Holders.empty() || std::any_of(Holders.begin(), Holders.end(),
                                           [&](const auto &Entry) {
                                             return agrees(Entry.second, Now);
                                           })
          : Now <= NamedByRelayUntil;
  if (AgreesWithAny)
    IsolatedAfter = Now + IsolationLimit;
  return Now > IsolatedAfter;
}

/// Removes the weights that were recorded before a time.
/// \param Kept number of weights that are kept in any case
template <typename Queue>
static void dropBefore(Queue &Recorded, base::boot_time Time,
                       std::size_t Kept) {
  while (Recorded.size() > Kept && Recorded.front().At < Time)
    Recorded.pop_front();
}

void share_holders::update(const share_view &View, base::boot_time Now) {
  if (Published.empty())
    return;
  // Judged before silent entries are forgotten, so that an isolated one gives
  // its part up first.
  Isolated = updateIsolation(View.FullMesh, Now);
  for (auto It = Holders.begin(); It != Holders.end();)
    It = Now > It->second.ReservedUntil ? Holders.erase(It) : std::next(It);
  const bool Agreed = View.MayAgree && agreesWithAll(View.FullMesh, Now);
  const milliseconds PropagationTime =
      View.FullMesh ? MeshPropagationTime : RelayPropagationTime;
  dropBefore(Published, Now - PropagationTime, 1);
  if (Agreed) {
    Joined = true;
    dropBefore(RelaySums, Now - RelaySumRetention, View.FullMesh ? 0 : 1);
    Usable = Published.back().Weights;
  }
  for (const recorded_weights &Recorded : Published)
    Usable = combine(Usable, Recorded.Weights, least);
  const base::boot_time MayJoinAt =
      std::max(StartedAt + RelayDiscoveryTime, CountedByOthersAt);
  if (!View.FullMesh && Now < MayJoinAt)
    Joined = false;
  if (!Joined || Isolated)
    Usable = {};
  Total = Usable;
  if (View.FullMesh || View.IsRelay || RelaySums.empty())
    Total = Total + othersSum(Now);
  for (const recorded_weights &Recorded : RelaySums)
    Total = combine(Total, Recorded.Weights, greatest);
}

share_weights share_holders::othersSum(base::boot_time Now) const {
  share_weights Sum;
  for (const auto &[Address, Holder] : Holders)
    if (Now <= Holder.ReservedUntil)
      Sum = Sum + Holder.Weights;
  return Sum;
}

std::vector<limit_holder> share_holders::others(base::boot_time Now) const {
  std::vector<limit_holder> Others;
  for (const auto &[Address, Holder] : Holders)
    if (Now <= Holder.ReservedUntil)
      Others.push_back({Address, Holder.Weights});
  return Others;
}

static double fraction(double Part, double Total) {
  return Part > 0 && Total > 0 ? std::min(1.0, Part / Total) : 0;
}

double share_holders::shareOf(const std::string &Service) const {
  return fraction(Usable.of(Service), Total.of(Service));
}

double share_holders::defaultShare() const {
  return fraction(Usable.Default, Total.Default);
}

} // namespace skylarkdyke::membership
