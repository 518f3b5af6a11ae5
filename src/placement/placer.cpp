#include "skylarkdyke/placement/placer.hpp"

#include "skylarkdyke/placement/rendezvous.hpp"
#include "skylarkdyke/routing/team_rules.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace skylarkdyke::placement {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Probability that a target is warm for an object although it has not recently
/// answered a request of this entry for the object, by the target's rank for
/// the object.
static constexpr double FirstRankWarmProbability = 0.95;
static constexpr double SecondRankWarmProbability = 0.2;
static constexpr double OtherRankWarmProbability = 0.05;
/// Fraction of a region's surplus of objects that spills over to other regions.
static constexpr double SpilloverFraction = 0.9;
/// Largest fraction of a region's requests that changes regions per second.
static constexpr double MaxShiftPerSecond = 0.05;
/// Period in which the shares of the regions are updated.
static constexpr milliseconds SharesUpdatePeriod{100};
/// Maximum number of sets of allowed regions for which the shares of a route
/// are kept. Beyond it the set that has been unused for longest is dropped; its
/// shares then start at their goal.
static constexpr std::size_t MaxDistributionsPerRoute = 64;
/// Round-trip time assumed for another region until it has been measured.
static constexpr milliseconds AssumedRoundTrip{80};
/// Weight of the newest sample in the moving average of the round-trip time.
static constexpr double RoundTripWeight = 0.2;
/// Requests per slot at which a target counts as full.
static constexpr double MaxLoadPerSlot = 3.5;
/// Shortest retry delay that is given to a caller while this entry has no slot
/// of a cold target.
static constexpr milliseconds MinColdRetryAfter{5};
/// Rate of sends of all entries together to a cold target whose service states
/// none, in requests per second.
static constexpr double UnstatedColdRate = 1;
/// Rate of first uses of all entries together, per target and second.
static constexpr double FirstUsesPerSecond = 4;
/// Number of slots ahead that are searched for one of this entry.
static constexpr int MaxSlotsAhead = 32;
/// Longest time from a send to the start of a slot that may be used after it.
/// The start moves a little while the wall clock is adjusted, and a slot that
/// has been used must not seem to be a later one.
static constexpr milliseconds SlotTolerance{20};
/// Age from which a target that joined and is still unused gets a request
/// regardless of its cost. The delay gives the target time to settle.
static constexpr milliseconds FirstUseDelay{1500};
/// Cost to other requests of processing at a target that is probably not warm
/// for the object, as a multiple of the processing time when all slots are
/// busy. The cost scales with the load because warming with free slots delays
/// no other request.
static constexpr double WarmingCostFactor = 1;
/// Probability from which a target counts as warm for an object.
static constexpr double WarmThreshold = 0.5;
/// Shortest retry delay that is given to a refused caller.
static constexpr milliseconds MinRetryAfter{50};
/// Mean interval at which the entries that share a target return to it after a
/// pause, and the longest time for which an entry waits for the others.
static constexpr milliseconds ReturnInterval{20};
static constexpr milliseconds MaxReturnDelay{2000};
/// Fraction of the rest of a pause over which refused callers return after it.
static constexpr double CallerReturnSpread = 0.25;

/// Returns a hash that differs between the incarnations of a target: one that
/// has started again is warm for no object.
static std::uint64_t incarnationSeed(const target_state &State) {
  return XXH3_64bits_withSeed(&State.Target.StartedAtMs,
                              sizeof(State.Target.StartedAtMs), State.Seed);
}

struct placer::candidate {
  target_state *State;
  double SortKey;
  bool Warm = false;
  double Load = 0;
  nanoseconds ProcessingTime{0};
  nanoseconds Wait{0};
  nanoseconds CompletionTime{0};
  /// CompletionTime plus the cost to other requests.
  nanoseconds Cost{0};
};

/// The best candidates of the groups, in the order in which the groups are
/// used.
struct placer::best_candidates {
  const candidate *Healthy = nullptr;
  const candidate *Leaving = nullptr;
  const candidate *Ejected = nullptr;
  bool isEmpty() const {
    return Healthy == nullptr && Leaving == nullptr && Ejected == nullptr;
  }
  /// Earliest time at which a cold candidate that was left out may be used.
  base::boot_time NextColdSend = base::boot_time::max();
};

std::uint64_t hashObject(const std::string &RouteName, std::string_view Key) {
  return XXH3_64bits_withSeed(Key.data(), Key.size(),
                              XXH3_64bits(RouteName.data(), RouteName.size()));
}

placer::placer(target_registry &Registry, base::region_name OwnRegion)
    : Registry(Registry), OwnRegion(std::move(OwnRegion)), Moves(Registry) {}
placer::~placer() = default;

void placer::setRateDivision(rate_division Next) {
  // The origin follows the wall clock, which slots allow for.
  if (!(Next.Own == Division.Own) || Next.Others != Division.Others ||
      Next.RegionsWithEntries != Division.RegionsWithEntries ||
      Next.UsesOtherRegions != Division.UsesOtherRegions)
    ++DivisionVersion;
  Division = std::move(Next);
}

void placer::setDemand(const base::service_name &Service,
                       std::map<base::region_name, double> DemandByRegion) {
  Demand[Service] = std::move(DemandByRegion);
}

double placer::demand(const base::service_name &Service,
                      const base::region_name &Region) const {
  const auto ByRegion = Demand.find(Service);
  if (ByRegion == Demand.end())
    return 0;
  const auto Found = ByRegion->second.find(Region);
  return Found == ByRegion->second.end() ? 0 : Found->second;
}

nanoseconds placer::roundTrip(const base::region_name &Region) const {
  const auto Found = RoundTrips.find(Region);
  if (Found != RoundTrips.end())
    return Found->second;
  return Region == OwnRegion ? milliseconds(1) : AssumedRoundTrip;
}

void placer::recordRoundTrip(const base::target_id &Id, nanoseconds Time) {
  const target_state *State = Registry.find(Id);
  if (State == nullptr || Time <= nanoseconds(0))
    return;
  const auto [It, IsNew] = RoundTrips.emplace(State->Region, Time);
  if (!IsNew)
    It->second += std::chrono::duration_cast<nanoseconds>(RoundTripWeight *
                                                          (Time - It->second));
}

static bool isAllowed(const placement_query &Query,
                      const target_state &Target) {
  return routing::isRegionAllowed(*Query.Route, Query.Team, Target.Region);
}

region_loads placer::regionLoads(const placement_query &Query,
                                 base::boot_time Now) const {
  region_loads Loads;
  for (const target_state *State : Registry.targetsOf(Query.Service->Name)) {
    if (!isAllowed(Query, *State))
      continue;
    region_load &Load = Loads[State->Region];
    // The slots of slow targets count in proportion to their speed, those of
    // ejected and leaving targets not at all.
    if (Registry.acceptsRequests(*State, Now) && State->EjectedUntil <= Now &&
        !State->UsableUntil)
      Load.Slots += State->Target.Slots / std::max(1.0, State->LatencyRatio);
  }
  const auto DemandOfService = Demand.find(Query.Service->Name);
  for (auto &[Region, Load] : Loads)
    if (DemandOfService == Demand.end())
      Load.Demand = 1;
    else if (DemandOfService->second.count(Region) != 0)
      Load.Demand = DemandOfService->second.at(Region);
  return Loads;
}

/// Returns the shares of the requests of a route that have the same allowed
/// regions.
placer::region_distribution &
placer::distributionOf(const placement_query &Query) {
  const auto Regions = routing::allowedRegions(*Query.Route, Query.Team);
  auto &ByRegions = Distributions[Query.Route->Name];
  const auto [Found, IsNew] =
      ByRegions.try_emplace(Regions.value_or(std::vector<base::region_name>()));
  if (IsNew && ByRegions.size() > MaxDistributionsPerRoute)
    ByRegions.erase(std::min_element(
        ByRegions.begin(), ByRegions.end(),
        [New = Found](const auto &Left, const auto &Right) {
          return Left.first != New->first &&
                 (Right.first == New->first ||
                  Left.second.NextUpdateAt < Right.second.NextUpdateAt);
        }));
  return Found->second;
}

base::region_name placer::homeRegion(const placement_query &Query,
                                     base::boot_time Now) {
  region_distribution &Distribution = distributionOf(Query);
  rate_limited_shares &Shares = Distribution.Shares;
  if (Now >= Distribution.NextUpdateAt) {
    Distribution.NextUpdateAt = Now + SharesUpdatePeriod;
    Shares.approach(
        distributeDemand(regionLoads(Query, Now), OwnRegion, SpilloverFraction),
        MaxShiftPerSecond, Now);
  }
  // The object hash is hashed again, so that the choice of the region is
  // independent of the ranking of targets.
  return Shares.regionOf(OwnRegion,
                         XXH3_64bits(&Query.ObjectHash, sizeof(std::uint64_t)));
}

/// Returns a number from 0 to 1 that differs between entries, so that they do
/// not all send to a target at the same time.
double placer::entryPhase(const target_state &State) const {
  return std::ldexp(
      static_cast<double>(XXH3_64bits_withSeed(&State.Seed, sizeof(State.Seed),
                                               Division.Own.Seed) >>
                          11U),
      -53);
}

void placer::recordPause(const routing::service &Service,
                         const target_incarnation &Target,
                         base::boot_time Until) {
  const target_state *State = Registry.find(Target.Id);
  if (State == nullptr)
    return;
  // An entry without a share counts as one of many.
  const double Share = std::max(partOfColdRate(*State, Service), 1e-3);
  const std::chrono::duration<double, std::milli> Spread =
      ReturnInterval * (1 / std::min(1.0, Share) - 1);
  const auto Delay = std::min<std::chrono::duration<double, std::milli>>(
      Spread, MaxReturnDelay);
  Registry.recordPause(Target, Until + std::chrono::duration_cast<nanoseconds>(
                                           Delay * entryPhase(*State)));
}

nanoseconds placer::timeUntilTarget(const placement_query &Query,
                                    base::boot_time Now) const {
  nanoseconds Shortest = nanoseconds::max();
  for (const target_state *State : Registry.targetsOf(Query.Service->Name)) {
    const auto From = std::max(Now, State->PausedUntil);
    if (isAllowed(Query, *State) && Registry.acceptsRequests(*State, From))
      Shortest = std::min<nanoseconds>(Shortest, From - Now);
  }
  return Shortest == nanoseconds::max() ? nanoseconds(0) : Shortest;
}

/// Returns the rate of sends of all entries together to a cold target.
static double coldRateOf(const routing::service &Service) {
  return Service.ColdRequestsPerSecond > 0 ? Service.ColdRequestsPerSecond
                                           : UnstatedColdRate;
}

/// Returns the time before which the slots of this entry that have started
/// count as used.
static base::boot_time usedUntil(const target_state &State,
                                 const slot_sequence &Slots) {
  return State.LastSendAt +
         std::min<nanoseconds>(SlotTolerance, Slots.interval() / 4);
}

/// Returns the first slot of this entry that has not ended and is not used, if
/// one is found.
target_slot placer::findSlot(const target_state &State,
                             const routing::service &Service,
                             const slot_sequence &Slots,
                             base::boot_time Now) const {
  const slot_target Target{State.Region, incarnationSeed(State)};
  send_slot Slot =
      Slots.firstFrom(std::max({Slots.earliestAt(Now).Start, State.RestsUntil,
                                usedUntil(State, Slots)}));
  for (int Ahead = 0; Ahead < MaxSlotsAhead; ++Ahead) {
    if (ownsSlot(Division, OwnRegion, Service.Name, Target, Slot.Index))
      return {Slot.Start, Slot.End, true, Slots.interval(), DivisionVersion};
    Slot = Slots.at(Slot.Index + 1);
  }
  return {Slot.Start, Slot.Start, false, Slots.interval(), DivisionVersion};
}

/// Returns the time from which this entry may send to a target at a rate that
/// all entries divide: the current time or an earlier one if it may do so now,
/// boot_time::max() if no slot of it is in sight.
base::boot_time placer::nextSendAt(target_state &State,
                                   const routing::service &Service, double Rate,
                                   base::boot_time Now) const {
  const slot_sequence Slots(Division.SlotOrigin, Rate);
  const target_slot &Known = State.NextSlot;
  if (Known.DivisionVersion != DivisionVersion ||
      Known.Interval != Slots.interval() || Known.End <= Now ||
      Known.Start < usedUntil(State, Slots) || Known.Start < State.RestsUntil)
    State.NextSlot = findSlot(State, Service, Slots, Now);
  return State.NextSlot.Found ? State.NextSlot.Start : base::boot_time::max();
}

double placer::partOfColdRate(const target_state &State,
                              const routing::service &Service) const {
  if (State.Region == OwnRegion)
    return Division.ownPart(Service.Name);
  if (!Division.UsesOtherRegions ||
      Division.RegionsWithEntries.count(State.Region) != 0)
    return 0;
  return Division.ownPart(Service.Name) /
         static_cast<double>(
             std::max<std::size_t>(1, Division.RegionsWithEntries.size()));
}

/// Returns whether it is this entry's turn to use a target for the first time.
/// A candidate that is cold has a slot already.
bool placer::mayUseFirst(target_state &State, const routing::service &Service,
                         base::boot_time Now) const {
  return target_registry::isCold(State, Now) ||
         nextSendAt(State, Service, FirstUsesPerSecond, Now) <= Now;
}

/// Finds a target that joined and has not been used yet. It gets one idempotent
/// request, so that its speed is measured; the entries take turns.
const placer::candidate *
placer::unusedTarget(const std::vector<candidate> &Candidates,
                     const placement_query &Query, base::boot_time Now) const {
  if (Query.Route->Repeatability != routing::repeatability::Idempotent ||
      !Query.TriedTargets.empty())
    return nullptr;
  for (const candidate &Candidate : Candidates) {
    const target_state &State = *Candidate.State;
    const auto Age = Now - State.AddedAt;
    // The completion time is 0 if the candidate was skipped because it is cold
    // and this entry has no slot now.
    if (State.Joined && !State.WasUsed && State.Region == OwnRegion &&
        Age > FirstUseDelay && State.EjectedUntil <= Now &&
        !State.UsableUntil && Candidate.CompletionTime != nanoseconds(0) &&
        mayUseFirst(*Candidate.State, *Query.Service, Now))
      return &Candidate;
  }
  return nullptr;
}

std::vector<placer::candidate>
placer::candidatesFor(const placement_query &Query,
                      const base::region_name *Region, bool Leaving,
                      base::boot_time Now) const {
  std::vector<candidate> Candidates;
  for (target_state *State : Registry.targetsOf(Query.Service->Name)) {
    if (Region != nullptr && State->Region != *Region)
      continue;
    if (!Registry.acceptsRequests(*State, Now) ||
        State->UsableUntil.has_value() != Leaving ||
        !isAllowed(Query, *State) ||
        std::find(Query.TriedTargets.begin(), Query.TriedTargets.end(),
                  State->Target.Id) != Query.TriedTargets.end())
      continue;
    Candidates.push_back(
        {State, rendezvousKey(Query.ObjectHash, State->Seed,
                              target_registry::placementWeight(*State, Now))});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate &Left, const candidate &Right) {
              return Left.SortKey < Right.SortKey;
            });
  return Candidates;
}

void placer::score(candidate &Candidate, std::size_t Rank,
                   const placement_query &Query,
                   const processing_time_estimate &Estimate,
                   base::boot_time Now) const {
  const target_state &State = *Candidate.State;
  Candidate.Warm =
      ProcessingTimes.isWarm(Query.ObjectHash, incarnationSeed(State), Now);
  double WarmProbability = OtherRankWarmProbability;
  if (Candidate.Warm)
    WarmProbability = 1;
  else if (Rank == 0)
    WarmProbability = FirstRankWarmProbability;
  else if (Rank == 1)
    WarmProbability = SecondRankWarmProbability;
  Candidate.Load = Registry.expectedLoad(State, Now);
  const double Slowness =
      State.LatencyRatio * target_registry::expectedSlowdown(State, Now);
  const nanoseconds BaseTime = Estimate.expected(WarmProbability);
  Candidate.ProcessingTime =
      std::chrono::duration_cast<nanoseconds>(BaseTime * Slowness);
  const double Slots = std::max(1U, State.Target.Slots);
  const double QueuedPerSlot =
      std::max(0.0, Candidate.Load + 1 - Slots) / Slots;
  Candidate.Wait = std::chrono::duration_cast<nanoseconds>(
      Estimate.expected(FirstRankWarmProbability) * Slowness * QueuedPerSlot);
  Candidate.CompletionTime =
      Candidate.ProcessingTime + Candidate.Wait + roundTrip(State.Region);
  Candidate.Cost = Candidate.CompletionTime;
  if (WarmProbability < WarmThreshold)
    Candidate.Cost += std::chrono::duration_cast<nanoseconds>(
        Candidate.ProcessingTime *
        (WarmingCostFactor * Candidate.Load / Slots));
}

bool placer::hasCapacity(const candidate &Best, const placement_query &Query,
                         base::boot_time Now) {
  if (Best.Load >= MaxLoadPerSlot * Best.State->Target.Slots)
    return false;
  // Without samples the processing time is an assumption, which must not cause
  // a refusal.
  if (!ProcessingTimes.hasSamples(*Query.Route, Query.Service->Name, Now))
    return Now + Best.Wait <= Query.Deadline;
  if (Now + Best.CompletionTime > Query.Deadline)
    return false;
  return Admission.admits(Query.Service->Name,
                          {Best.Wait, Best.CompletionTime - Best.Wait,
                           Query.Route->LatencyObjective,
                           Query.ObjectiveDeadline},
                          Now);
}

/// Returns the candidates of a region, or of all regions if it has none, and
/// after them the leaving targets of all regions.
/// \param Region null for all regions
std::vector<placer::candidate>
placer::allCandidates(const placement_query &Query,
                      const base::region_name *Region,
                      base::boot_time Now) const {
  std::vector<candidate> Candidates = candidatesFor(Query, Region, false, Now);
  if (Candidates.empty() && Region != nullptr)
    Candidates = candidatesFor(Query, nullptr, false, Now);
  const auto Leaving = candidatesFor(Query, nullptr, true, Now);
  Candidates.insert(Candidates.end(), Leaving.begin(), Leaving.end());
  return Candidates;
}

placer::best_candidates placer::findBest(std::vector<candidate> &Candidates,
                                         const placement_query &Query,
                                         base::boot_time Now) {
  const auto Estimate =
      ProcessingTimes.estimate(*Query.Route, Query.Service->Name);
  best_candidates Best;
  for (std::size_t Rank = 0; Rank < Candidates.size(); ++Rank) {
    candidate &Candidate = Candidates[Rank];
    target_state &State = *Candidate.State;
    if (target_registry::isCold(State, Now)) {
      const base::boot_time NextSendAt =
          nextSendAt(State, *Query.Service, coldRateOf(*Query.Service), Now);
      if (NextSendAt > Now) {
        Best.NextColdSend = std::min(
            {Best.NextColdSend, NextSendAt, target_registry::coldEnd(State)});
        continue;
      }
    }
    score(Candidate, Rank, Query, Estimate, Now);
    const bool Ejected = State.EjectedUntil > Now || State.ProbeInFlight;
    const candidate *&BestOfGroup = Ejected             ? Best.Ejected
                                    : State.UsableUntil ? Best.Leaving
                                                        : Best.Healthy;
    if (BestOfGroup == nullptr || Candidate.Cost < BestOfGroup->Cost)
      BestOfGroup = &Candidate;
  }
  return Best;
}

no_target placer::explainNoCandidate(const placement_query &Query,
                                     base::boot_time Now) const {
  const nanoseconds Pause = timeUntilTarget(Query, Now);
  if (Pause > nanoseconds(0)) {
    const double Phase =
        std::ldexp(static_cast<double>(Query.ObjectHash >> 11U), -53);
    const auto Spread = std::chrono::duration_cast<nanoseconds>(
        Pause * Phase * CallerReturnSpread);
    // One more millisecond, because the delay is rounded for the caller.
    return {
        no_target_reason::Paused,
        std::max<nanoseconds>(Pause + Spread + milliseconds(1), MinRetryAfter)};
  }
  return {no_target_reason::NoTarget, MinRetryAfter};
}

placement_result placer::choose(const placement_query &Query,
                                base::boot_time Now) {
  const base::region_name HomeRegion = homeRegion(Query, Now);
  std::vector<candidate> Candidates = allCandidates(Query, &HomeRegion, Now);
  if (Candidates.empty())
    return explainNoCandidate(Query, Now);
  best_candidates Groups = findBest(Candidates, Query, Now);
  if (Groups.isEmpty()) {
    // All targets of the home region are cold, and none has a slot for this
    // entry now.
    Candidates = allCandidates(Query, nullptr, Now);
    Groups = findBest(Candidates, Query, Now);
  }
  const candidate *Best = Groups.Healthy;
  if (Best == nullptr)
    Best = Groups.Leaving != nullptr ? Groups.Leaving : Groups.Ejected;
  if (Best == nullptr)
    return no_target{
        no_target_reason::ColdLimit,
        std::max<nanoseconds>(Groups.NextColdSend - Now, MinColdRetryAfter)};
  if (const candidate *UnusedTarget = unusedTarget(Candidates, Query, Now))
    Best = UnusedTarget;
  if (!hasCapacity(*Best, Query, Now)) {
    const candidate *Leaving = Groups.Leaving;
    if (Leaving == nullptr || Leaving == Best ||
        !hasCapacity(*Leaving, Query, Now))
      return no_target{no_target_reason::NoRoom,
                       std::max<nanoseconds>(Best->Wait / 2, MinRetryAfter)};
    Best = Leaving;
  }
  if (Query.TriedTargets.empty())
    Moves.record(Query.ObjectHash, *Best->State, Now);
  return chosen_target{Best->State->Target.Id,
                       Best->State->Target.Address,
                       Best->Warm,
                       Best->ProcessingTime,
                       Best->Wait,
                       Best->Load,
                       Best->State->Target.StartedAtMs};
}

void placer::recordAnswer(const placement_query &Query,
                          const chosen_target &Chosen, nanoseconds Latency,
                          base::boot_time Now) {
  const target_state *State = Registry.find(Chosen.Id);
  if (State == nullptr)
    return;
  ProcessingTimes.recordAnswer(*Query.Route, Query.Service->Name, Now);
  const nanoseconds MeasuredTime =
      std::max<nanoseconds>(Latency - roundTrip(State->Region), nanoseconds(1));
  if (Chosen.ExpectedWait == nanoseconds(0) &&
      !target_registry::isCold(*State, Now)) {
    // A slowdown that the target reports itself is no lasting property of it.
    Registry.recordLatencyRatio(
        Chosen.Id,
        ProcessingTimes.ratioToExpected(*Query.Route, Query.Service->Name,
                                        Chosen.Warm, MeasuredTime) /
            target_registry::expectedSlowdown(*State, Now));
    ProcessingTimes.recordSample(*Query.Route, Query.Service->Name, Chosen.Warm,
                                 MeasuredTime);
  }
  ProcessingTimes.recordHandled(Query.ObjectHash, incarnationSeed(*State), Now);
}

} // namespace skylarkdyke::placement
