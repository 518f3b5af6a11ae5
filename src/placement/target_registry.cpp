#include "skylarkdyke/placement/target_registry.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace skylarkdyke::placement {

using std::chrono::milliseconds;

/// Weights of the newest sample in moving averages.
static constexpr double LatencyRatioWeight = 0.2;
static constexpr double FailureWeight = 0.25;
static constexpr double AverageLoadWeight = 0.1;
static constexpr double AverageSlowdownWeight = 0.02;
/// Age at which a load report and the average load have equal weight.
static constexpr std::chrono::duration<double> LoadHalfLife{0.6};
/// Time in which the average load loses half of its weight without a new
/// report. Otherwise a target that was full with the work of other entries
/// would count as full for good, because no request is sent to it.
static constexpr std::chrono::duration<double> AverageLoadHalfLife{10};
/// Age at which the reported slowdown of a target has lost half of its weight:
/// machines are slow for parts of a second.
static constexpr std::chrono::duration<double> SlowdownHalfLife{0.3};
/// Bounds of a reported slowdown, so that an odd one cannot exclude a target.
static constexpr double MinSlowdown = 0.1;
static constexpr double MaxSlowdown = 20;
/// Failure rate from which a target is ejected.
static constexpr double EjectionFailureRate = 0.4;
/// The first ejection lasts for the minimum time; the duration doubles with
/// each consecutive failure, up to the maximum.
static constexpr milliseconds MinEjectionTime{1000};
static constexpr milliseconds MaxEjectionTime{8000};
/// Targets that are added within this time after the first one belong to the
/// initial fill; later ones count as joined.
static constexpr milliseconds InitialFillTime{10000};
/// Time in which a target that joins takes over its objects. It is as long as
/// a few requests of ordinary length, so that the first requests for different
/// objects, which take longest, do not all come at once.
static constexpr std::chrono::duration<double> TakeOverTime{6};
/// Least fraction of its weight that a target has while it joins.
static constexpr double MinTakeOver = 0.01;
/// Bounds of a sample of the latency ratio, so that one outlier cannot exclude
/// a target.
static constexpr double MinLatencyRatio = 0.3;
static constexpr double MaxLatencyRatio = 20;

/// Difference up to which two reports name the same cold time.
static constexpr milliseconds ColdTimeTolerance{100};
/// The same for the times until which a target may be cold. It is longer than
/// messages between entries take: otherwise entries whose messages are late
/// would tell each other the same news without end.
static constexpr milliseconds MayBeColdTolerance{800};

/// Time in which a target gets nothing after it has become cold in use. Limits
/// of cold targets count a second, with the requests of the time before the
/// entries knew.
static constexpr milliseconds RestTime{1000};

/// Time after a rest in which a target that only may be cold does not rest.
static constexpr milliseconds MinTimeBetweenRests{10000};

static const std::vector<target_state *> EmptyTargets;

target_registry::target_registry(
    std::map<base::domain_name, base::region_name> RegionOf)
    : RegionOf(std::move(RegionOf)) {}

bool target_registry::upsert(const routing::target &Target,
                             base::boot_time Now) {
  const auto Region = RegionOf.find(Target.Domain);
  if (Region == RegionOf.end())
    return false;
  auto &State = States[Target.Id];
  const bool IsNew = !State;
  const bool IsNewIncarnation =
      IsNew || State->Target.StartedAtMs != Target.StartedAtMs ||
      !(State->Target.Address == Target.Address);
  // The index holds the state under the service of the previous record.
  const bool IsIndexed =
      State && !IsNewIncarnation && State->Target.Service == Target.Service;
  if (State && !IsIndexed)
    removeFromIndex(*State);
  if (IsNewIncarnation) {
    const unsigned InFlight = State ? State->InFlight : 0;
    State = std::make_unique<target_state>();
    State->InFlight = InFlight;
    State->AddedAt = Now;
    FirstAddedAt = FirstAddedAt.value_or(Now);
    State->Joined = Now - *FirstAddedAt > InitialFillTime;
    State->Seed = XXH3_64bits(Target.Id.str().data(), Target.Id.str().size());
  }
  State->Target = Target;
  State->Region = Region->second;
  State->RemovedAt.reset();
  updateUsableUntil(*State);
  if (Target.RemainingColdTime > milliseconds(0))
    markCold(*State, Now + Target.RemainingColdTime, Now);
  if (IsNew)
    State->RestsUntil = base::boot_time{};
  if (IsNewIncarnation)
    State->TakesOverAt = std::max(Now, State->ColdUntil);
  if (!IsIndexed)
    addToIndex(*State);
  return true;
}

void target_registry::updateUsableUntil(target_state &State) const {
  const leaving_notice *Notice = Leaving.find(incarnationOf(State.Target));
  if (Notice != nullptr)
    State.UsableUntil = Notice->UsableUntil;
}

target_state *
target_registry::findIncarnation(const target_incarnation &Target) {
  target_state *State = find(Target.Id);
  return State != nullptr && State->Target.StartedAtMs == Target.StartedAtMs &&
                 State->Target.Address == Target.Address
             ? State
             : nullptr;
}

bool target_registry::recordLeaving(const leaving_notice &Notice) {
  const bool IsNew = Leaving.record(Notice);
  if (target_state *State = findIncarnation(Notice.Target))
    updateUsableUntil(*State);
  return IsNew;
}

void target_registry::recordPause(const target_incarnation &Target,
                                  base::boot_time Until) {
  if (target_state *State = findIncarnation(Target))
    State->PausedUntil = std::max(State->PausedUntil, Until);
}

bool target_registry::recordCold(const target_incarnation &Target,
                                 base::boot_time Until, base::boot_time Now) {
  target_state *State = findIncarnation(Target);
  if (State == nullptr || Until <= State->ColdUntil + ColdTimeTolerance)
    return false;
  markCold(*State, Until, Now);
  return true;
}

bool target_registry::recordMayBeCold(const target_incarnation &Target,
                                      base::boot_time Until,
                                      base::boot_time Now) {
  target_state *State = findIncarnation(Target);
  if (State == nullptr)
    return false;
  const bool MayBeCold = State->MayBeColdUntil > Now;
  if (Until <= Now) {
    State->MayBeColdUntil = Now;
    return MayBeCold;
  }
  if (MayBeCold && Until <= State->MayBeColdUntil + MayBeColdTolerance)
    return false;
  // A target that is late again and again would rest most of the time.
  if (Now > State->RestsUntil + MinTimeBetweenRests)
    startRest(*State, Now);
  State->MayBeColdUntil = Until;
  return true;
}

void target_registry::markCold(target_state &State, base::boot_time Until,
                               base::boot_time Now) {
  startRest(State, Now);
  State.ColdUntil = Until;
}

/// Starts the rest of a target in use that becomes cold.
void target_registry::startRest(target_state &State, base::boot_time Now) {
  if (!isCold(State, Now))
    State.RestsUntil = Now + RestTime;
}

bool target_registry::remove(const base::target_id &Id, base::boot_time At) {
  const auto Found = States.find(Id);
  if (Found == States.end() || Found->second->RemovedAt)
    return false;
  Found->second->RemovedAt = At;
  return true;
}

std::size_t
target_registry::removeUnlisted(const std::set<base::target_id> &Listed,
                                base::boot_time At) {
  std::size_t Removed = 0;
  for (const auto &[Id, State] : States)
    if (Listed.count(Id) == 0 && remove(Id, At))
      ++Removed;
  return Removed;
}

void target_registry::postponeRemovals(base::boot_time Now,
                                       base::boot_time Until) {
  for (const auto &[Id, State] : States)
    if (State->RemovedAt && *State->RemovedAt > Now)
      State->RemovedAt = std::max(*State->RemovedAt, Until);
}

void target_registry::sweep(base::boot_time Now) {
  for (auto It = States.begin(); It != States.end();) {
    const target_state &State = *It->second;
    if (State.UsableUntil && !State.RemovedAt)
      Leaving.keep(incarnationOf(State.Target), Now);
    // A removed target is kept while it has requests of this entry in flight,
    // and while it pauses: its record may return.
    if (State.RemovedAt && *State.RemovedAt <= Now && State.InFlight == 0 &&
        State.PausedUntil <= Now) {
      removeFromIndex(State);
      It = States.erase(It);
    } else {
      ++It;
    }
  }
  Leaving.sweep(Now);
}

static bool precedes(const target_state *Left, const target_state *Right) {
  return Left->Target.Id < Right->Target.Id;
}

void target_registry::addToIndex(target_state &State) {
  auto &Targets = ByService[State.Target.Service];
  Targets.insert(
      std::lower_bound(Targets.begin(), Targets.end(), &State, precedes),
      &State);
}

void target_registry::removeFromIndex(const target_state &State) {
  auto &Targets = ByService[State.Target.Service];
  Targets.erase(std::remove(Targets.begin(), Targets.end(), &State),
                Targets.end());
}

void target_registry::startEvacuation(const base::domain_name &Domain) {
  Evacuated.insert(Domain);
}

void target_registry::endEvacuation(const base::domain_name &Domain,
                                    milliseconds ColdTime,
                                    base::boot_time Now) {
  if (Evacuated.erase(Domain) == 0)
    return;
  for (const auto &[Id, State] : States)
    if (State->Target.Domain == Domain) {
      markCold(*State, std::max(State->ColdUntil, Now + ColdTime), Now);
      // It got nothing during the evacuation.
      State->RestsUntil = base::boot_time{};
    }
}

target_state *target_registry::find(const base::target_id &Id) {
  const auto Found = States.find(Id);
  return Found == States.end() ? nullptr : Found->second.get();
}

const target_state *target_registry::find(const base::target_id &Id) const {
  const auto Found = States.find(Id);
  return Found == States.end() ? nullptr : Found->second.get();
}

void target_registry::forEach(
    const std::function<void(const target_state &)> &Visit) const {
  for (const auto &[Id, State] : States)
    Visit(*State);
}

const std::vector<target_state *> &
target_registry::targetsOf(const base::service_name &Service) const {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? EmptyTargets : Found->second;
}

void target_registry::beginSend(const base::target_id &Id,
                                base::boot_time Now) {
  target_state *State = find(Id);
  if (State == nullptr)
    return;
  ++State->InFlight;
  State->WasUsed = true;
  State->LastSendAt = Now;
  if (State->ConsecutiveFailures > 0)
    State->ProbeInFlight = true;
}

void target_registry::eject(target_state &State, base::boot_time Now) {
  const unsigned Doublings = std::min(State.ConsecutiveFailures, 4U);
  const milliseconds EjectionTime =
      std::min(MaxEjectionTime, MinEjectionTime * (1U << Doublings) / 2);
  State.EjectedUntil = Now + EjectionTime;
}

void target_registry::endSend(const base::target_id &Id, send_result Result,
                              milliseconds ColdTime, base::boot_time Now) {
  target_state *State = find(Id);
  if (State == nullptr)
    return;
  if (State->InFlight > 0)
    --State->InFlight;
  State->ProbeInFlight = false;
  const auto UpdateFailureRate = [State](double Sample) {
    State->FailureRate += FailureWeight * (Sample - State->FailureRate);
  };
  switch (Result) {
  case send_result::Answered:
    UpdateFailureRate(0);
    State->ConsecutiveFailures = 0;
    if (State->MayHaveRestarted) {
      State->MayHaveRestarted = false;
      // This entry has not reached it before.
      const base::boot_time RestsUntil = State->RestsUntil;
      markCold(*State, std::max(State->ColdUntil, Now + ColdTime), Now);
      State->RestsUntil = RestsUntil;
    }
    return;
  case send_result::Cancelled:
  case send_result::PauseRequested:
  case send_result::Withdrawn:
    return;
  case send_result::WrongTarget:
    State->WrongAddress = true;
    return;
  case send_result::Refused:
    UpdateFailureRate(0.5);
    return;
  case send_result::Unreachable:
    State->MayHaveRestarted = true;
    UpdateFailureRate(1);
    ++State->ConsecutiveFailures;
    return eject(*State, Now);
  case send_result::ErrorAnswer:
  case send_result::Broken:
  case send_result::TimedOut:
    UpdateFailureRate(1);
    if (State->FailureRate >= EjectionFailureRate) {
      ++State->ConsecutiveFailures;
      eject(*State, Now);
    }
    return;
  }
}

void target_registry::recordReportedLoad(const base::target_id &Id,
                                         const reported_load &Load,
                                         base::boot_time Now) {
  target_state *State = find(Id);
  if (State == nullptr)
    return;
  const double TotalLoad = Load.Running + Load.Waiting;
  State->OtherEntriesLoad = std::max(0.0, TotalLoad - State->InFlight);
  State->AverageOtherEntriesLoad +=
      AverageLoadWeight *
      (State->OtherEntriesLoad - State->AverageOtherEntriesLoad);
  State->LoadReportedAt = Now;
  if (Load.Slots > 0)
    State->Target.Slots = Load.Slots;
  if (!Load.Slowdown)
    return;
  const double Slowdown = std::clamp(*Load.Slowdown, MinSlowdown, MaxSlowdown);
  double &Average =
      AverageSlowdown.emplace(State->Target.Service, 1.0).first->second;
  Average += AverageSlowdownWeight * (Slowdown - Average);
  State->RelativeSlowdown = Slowdown / Average;
  State->SlowdownReportedAt = Now;
}

void target_registry::recordLatencyRatio(const base::target_id &Id,
                                         double Ratio) {
  target_state *State = find(Id);
  if (State == nullptr)
    return;
  const double Sample = std::clamp(Ratio, MinLatencyRatio, MaxLatencyRatio);
  State->LatencyRatio += LatencyRatioWeight * (Sample - State->LatencyRatio);
}

std::size_t target_registry::ejectedCount(base::boot_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(), [Now](const auto &Entry) {
        return Entry.second->EjectedUntil > Now;
      }));
}

std::size_t target_registry::leavingCount() const {
  return static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(), [](const auto &Entry) {
        return Entry.second->UsableUntil.has_value();
      }));
}

std::size_t target_registry::pausedCount(base::boot_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(), [Now](const auto &Entry) {
        return Entry.second->PausedUntil > Now;
      }));
}

std::size_t target_registry::coldCount(base::boot_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(), [Now](const auto &Entry) {
        return isCold(*Entry.second, Now);
      }));
}

bool target_registry::declinesRequests(const target_state &State,
                                       base::boot_time Now) {
  return (State.UsableUntil && *State.UsableUntil <= Now) ||
         State.PausedUntil > Now;
}

bool target_registry::acceptsRequests(const target_state &State,
                                      base::boot_time Now) const {
  return !State.Target.Draining && !State.WrongAddress &&
         !declinesRequests(State, Now) &&
         Evacuated.count(State.Target.Domain) == 0 &&
         (!State.RemovedAt || *State.RemovedAt > Now);
}

/// Returns the weight of an estimate, which halves with each half-life.
static double weightAtAge(std::chrono::duration<double> Age,
                          std::chrono::duration<double> HalfLife) {
  return std::exp2(-Age.count() / HalfLife.count());
}

double target_registry::placementWeight(const target_state &State,
                                        base::boot_time Now) {
  const double Slots = std::max(1U, State.Target.Slots);
  if (!State.Joined)
    return Slots;
  const std::chrono::duration<double> Elapsed = Now - State.TakesOverAt;
  return Slots * std::clamp(Elapsed / TakeOverTime, MinTakeOver, 1.0);
}

double target_registry::expectedSlowdown(const target_state &State,
                                         base::boot_time Now) {
  return 1 + (State.RelativeSlowdown - 1) *
                 weightAtAge(Now - State.SlowdownReportedAt, SlowdownHalfLife);
}

double target_registry::expectedLoad(const target_state &State,
                                     base::boot_time Now) const {
  const auto Age = Now - State.LoadReportedAt;
  const double ReportWeight = weightAtAge(Age, LoadHalfLife);
  return State.InFlight + ReportWeight * State.OtherEntriesLoad +
         (1 - ReportWeight) * weightAtAge(Age, AverageLoadHalfLife) *
             State.AverageOtherEntriesLoad;
}

} // namespace skylarkdyke::placement
