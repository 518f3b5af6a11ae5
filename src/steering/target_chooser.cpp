#include "skylarkdyke/steering/target_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace skylarkdyke::steering {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Four error answers in a row eject a target that had none (1 - 0.8^4 > 0.5).
static constexpr double ErrorStep = 0.2;
// Two failed attempts in a row eject it (1 - 0.6^2 > 0.5): they cost the caller
// a timeout or a retry.
static constexpr double FailureStep = 0.4;
static constexpr double EjectionErrorRate = 0.5;
// Error rate after an ejection: two error answers or one failure eject again.
static constexpr double ReturnErrorRate = 0.3;
static constexpr seconds FirstEjection{1};
static constexpr seconds LongestEjection{30};
static constexpr unsigned MaxEjectionDoublings = 5;
// Without an ejection for this long the next one is short again.
static constexpr seconds EjectionMemory{60};
static constexpr seconds SlowStart{10};
static constexpr double SlowStartFloor = 0.1;
static constexpr milliseconds FirstShedPause{20};
static constexpr milliseconds LongestShedPause{1000};
static constexpr unsigned MaxShedDoublings = 6;
// A success of our own within this time outweighs an unhealthy probe.
static constexpr seconds OwnSuccessAge{1};
// An older probe says nothing: probing may have stopped.
static constexpr seconds ProbeAge{5};
static constexpr double LatencyStep = 0.1;
// An unused target's latency estimate halves in this time, so that a target
// that was slow once is tried again.
static constexpr seconds LatencyHalfLife{10};

namespace {

/// Instant that has passed on every reading of the boot clock.
constexpr base::boot_time Never = base::boot_time::min();

struct target_state {
  config::target Target;
  double Weight = 0;
  bool Configured = false;
  /// Position among the configured targets, from 0 to below 1. It spreads the
  /// rounding of fractional slots.
  double Phase = 0;
  /// Choices that a target of a weight below one has earned. See earn().
  double Credit = 0;
  /// Number of the latest choice of this target.
  std::uint64_t LastChoice = 0;
  unsigned InUse = 0;

  double ErrorRate = 0;
  bool ErrorsAreAnswers = false;
  unsigned Ejections = 0;
  base::boot_time EjectedUntil = Never;
  base::boot_time SlowStartFrom = Never;
  unsigned ShedsInRow = 0;
  base::boot_time ShedUntil = Never;
  base::boot_time LastSuccess = Never;

  nanoseconds Latency{0};
  base::boot_time LatencyAt = Never;

  bool ProbedUnhealthy = false;
  unsigned ReportedInFlight = 0;
  base::boot_time ProbedAt = Never;

  bool ejected(base::boot_time Now) const { return Now < EjectedUntil; }

  bool mayWork(base::boot_time Now) const {
    return Configured && Weight > 0 && !ejected(Now) && Now >= ShedUntil;
  }

  bool reportedUnhealthy(base::boot_time Now) const {
    return ProbedUnhealthy && Now < ProbedAt + ProbeAge &&
           (LastSuccess == Never || Now >= LastSuccess + OwnSuccessAge);
  }

  double slowStartWeight(base::boot_time Now) const {
    if (SlowStartFrom == Never || Now >= SlowStartFrom + SlowStart)
      return 1;
    const std::chrono::duration<double> Since = Now - SlowStartFrom;
    const std::chrono::duration<double> Whole = SlowStart;
    return std::max(SlowStartFloor, Since / Whole);
  }

  /// The smaller of both, not their product: a returning domain's ramp and
  /// slow start do the same work.
  double effectiveWeight(base::boot_time Now) const {
    return std::min(Weight, slowStartWeight(Now));
  }

  /// Adds the target's part of one choice: its part of all slots, times its
  /// weight. A whole unit makes it a candidate. Unused credit is not kept, so
  /// that it cannot be chosen several times in a row later.
  /// \return whether the target is a candidate of this choice
  bool earn(double PartOfSlots, double EffectiveWeight) {
    if (EffectiveWeight >= 1) {
      Credit = Phase;
      return true;
    }
    const double Earned = PartOfSlots * EffectiveWeight;
    Credit = std::min(Credit + Earned, 1 + Earned);
    return Credit >= 1;
  }

  void choose(std::uint64_t Choice) {
    ++InUse;
    LastChoice = Choice;
    Credit = std::max(Credit - 1, -1.0);
  }

  unsigned limit(base::boot_time Now) const {
    if (Weight <= 0)
      return 0;
    const auto Ramped =
        static_cast<unsigned>(std::floor(Target.Slots * Weight + Phase));
    const auto Started = std::max(
        1U, static_cast<unsigned>(Target.Slots * slowStartWeight(Now)));
    return std::min({Target.Slots, Ramped, Started});
  }

  /// Logarithm to base 2 of the latency estimate in nanoseconds, rounded down.
  /// Smaller differences are noise; following them would send all traffic at
  /// rest to one target, and a drain of that target would move it at once.
  int latencyClass(base::boot_time Now) const {
    if (LatencyAt == Never || Latency <= nanoseconds(0))
      return 0;
    const std::chrono::duration<double> Age = Now - LatencyAt;
    const std::chrono::duration<double> HalfLife = LatencyHalfLife;
    const double Estimate =
        std::log2(static_cast<double>(Latency.count())) - Age / HalfLife;
    return static_cast<int>(std::max(0.0, Estimate));
  }

  void learnLatency(nanoseconds Sample, base::boot_time Now) {
    if (LatencyAt == Never)
      Latency = Sample;
    else
      Latency += std::chrono::duration_cast<nanoseconds>((Sample - Latency) *
                                                         LatencyStep);
    LatencyAt = Now;
  }

  void learnError(double Step, double Outcome) {
    ErrorRate += Step * (Outcome - ErrorRate);
  }

  void learnShed(base::boot_time Now) {
    const auto Pause =
        FirstShedPause * (1U << std::min(ShedsInRow, MaxShedDoublings));
    ++ShedsInRow;
    ShedUntil = Now + std::min<milliseconds>(Pause, LongestShedPause);
  }

  void eject(base::boot_time Now) {
    if (EjectedUntil == Never || Now >= EjectedUntil + EjectionMemory)
      Ejections = 0;
    const auto Length =
        FirstEjection * (1U << std::min(Ejections, MaxEjectionDoublings));
    ++Ejections;
    EjectedUntil = Now + std::min<seconds>(Length, LongestEjection);
    SlowStartFrom = EjectedUntil;
    ErrorRate = ReturnErrorRate;
  }
};

} // namespace

/// Rank of a target in one choice; the smallest is chosen.
struct choice_rank {
  bool NotCandidate;
  double PartInUse;
  int LatencyClass;
  unsigned ReportedInFlight;
  std::uint64_t LastChoice;

  friend bool operator<(const choice_rank &Left, const choice_rank &Right) {
    return Left.tied() < Right.tied();
  }

private:
  std::tuple<bool, double, int, unsigned, std::uint64_t> tied() const {
    return {NotCandidate, PartInUse, LatencyClass, ReportedInFlight,
            LastChoice};
  }
};

struct target_chooser::impl {
  std::map<base::target_id, target_state> States;
  std::uint64_t Choices = 0;
  bool ConfiguredBefore = false;

  double workingSlots(base::boot_time Now) const;

  void configureOne(weighted_target &&Wanted, double Phase,
                    base::boot_time Now);
  bool anyReportedHealthy(base::boot_time Now) const;
  void ejectIfBad(target_state &State, base::boot_time Now);
};

void target_chooser::impl::configureOne(weighted_target &&Wanted, double Phase,
                                        base::boot_time Now) {
  const auto [Position, IsNew] = States.try_emplace(Wanted.Target.Id);
  target_state &State = Position->second;
  if (IsNew)
    State.Credit = Phase;
  const bool HadWork = State.Configured && State.Weight > 0;
  // At the first configuration all targets are new to this entry, not cold.
  if (ConfiguredBefore && !HadWork && Wanted.Weight > 0)
    State.SlowStartFrom = std::max(Now, State.EjectedUntil);
  State.Target = std::move(Wanted.Target);
  State.Weight = std::clamp(Wanted.Weight, 0.0, 1.0);
  State.Phase = Phase;
  State.Configured = true;
}

double target_chooser::impl::workingSlots(base::boot_time Now) const {
  double Slots = 0;
  for (const auto &[Id, State] : States)
    Slots += State.mayWork(Now) ? State.Target.Slots : 0;
  return Slots;
}

bool target_chooser::impl::anyReportedHealthy(base::boot_time Now) const {
  return std::any_of(States.begin(), States.end(), [Now](const auto &Pair) {
    return Pair.second.mayWork(Now) && !Pair.second.reportedUnhealthy(Now);
  });
}

void target_chooser::impl::ejectIfBad(target_state &State,
                                      base::boot_time Now) {
  if (State.ErrorRate < EjectionErrorRate || State.ejected(Now))
    return;
  std::size_t Working = 0;
  std::size_t Ejected = 0;
  for (const auto &[Id, Other] : States) {
    if (!Other.Configured || Other.Weight <= 0)
      continue;
    ++Working;
    Ejected += Other.ejected(Now) ? 1 : 0;
  }
  // Error answers at most targets come from the requests or from a dependency
  // of the service; ejecting them all would stop the service.
  if (State.ErrorsAreAnswers && (Ejected + 1) * 2 > Working)
    return;
  State.eject(Now);
}

target_chooser::target_chooser() : Impl(std::make_unique<impl>()) {}
target_chooser::~target_chooser() = default;
target_chooser::target_chooser(target_chooser &&) noexcept = default;
target_chooser &target_chooser::operator=(target_chooser &&) noexcept = default;

void target_chooser::configure(std::vector<weighted_target> Targets,
                               base::boot_time Now) {
  std::sort(Targets.begin(), Targets.end(),
            [](const weighted_target &Left, const weighted_target &Right) {
              return Left.Target.Id < Right.Target.Id;
            });
  std::vector<base::target_id> Kept;
  Kept.reserve(Targets.size());
  const auto Count = static_cast<double>(Targets.size());
  for (weighted_target &Wanted : Targets) {
    const double Phase = (static_cast<double>(Kept.size()) + 0.5) / Count;
    Kept.push_back(Wanted.Target.Id);
    Impl->configureOne(std::move(Wanted), Phase, Now);
  }
  for (auto Position = Impl->States.begin(); Position != Impl->States.end();) {
    target_state &State = Position->second;
    if (!std::binary_search(Kept.begin(), Kept.end(), Position->first))
      State.Configured = false;
    // A target that is gone keeps its slots in use until they are released, in
    // case it is configured again before.
    if (!State.Configured && State.InUse == 0)
      Position = Impl->States.erase(Position);
    else
      ++Position;
  }
  Impl->ConfiguredBefore = Impl->ConfiguredBefore || !Kept.empty();
}

std::optional<config::target>
target_chooser::acquire(unsigned MaxPerTarget,
                        const std::vector<base::target_id> &Excluded,
                        base::boot_time Now) {
  const bool UseReports = Impl->anyReportedHealthy(Now);
  const double AllSlots = Impl->workingSlots(Now);
  target_state *Best = nullptr;
  choice_rank BestRank{};
  for (auto &[Id, State] : Impl->States) {
    if (!State.mayWork(Now) || (UseReports && State.reportedUnhealthy(Now)))
      continue;
    const bool Candidate =
        State.earn(State.Target.Slots / AllSlots, State.effectiveWeight(Now));
    // A candidate has at least one slot: otherwise a weight whose slots round
    // to none would end the ramp early.
    const unsigned Limit = std::max(State.limit(Now), Candidate ? 1U : 0U);
    if (State.InUse >= std::min(MaxPerTarget, Limit) ||
        std::find(Excluded.begin(), Excluded.end(), Id) != Excluded.end())
      continue;
    // The weight is not part of the rank: at rest no slot is in use, and a
    // target with few slots in use would receive more than its weight.
    const choice_rank Rank{
        !Candidate, static_cast<double>(State.InUse) / State.Target.Slots,
        State.latencyClass(Now), State.ReportedInFlight, State.LastChoice};
    if (!Best || Rank < BestRank) {
      Best = &State;
      BestRank = Rank;
    }
  }
  if (!Best)
    return std::nullopt;
  Best->choose(++Impl->Choices);
  return Best->Target;
}

void target_chooser::release(const base::target_id &Target,
                             attempt_result Result, nanoseconds Latency,
                             base::boot_time Now) {
  const auto Position = Impl->States.find(Target);
  if (Position == Impl->States.end())
    return;
  target_state &State = Position->second;
  if (State.InUse > 0)
    --State.InUse;
  if (!State.Configured) {
    if (State.InUse == 0)
      Impl->States.erase(Position);
    return;
  }
  switch (Result) {
  case attempt_result::Completed:
    State.learnError(ErrorStep, 0);
    State.learnLatency(Latency, Now);
    State.ShedsInRow = 0;
    State.LastSuccess = Now;
    break;
  case attempt_result::ErrorAnswer:
    // Its latency is not learned: fast errors must not attract work.
    State.learnError(ErrorStep, 1);
    State.ErrorsAreAnswers = true;
    break;
  case attempt_result::Failed:
    State.learnError(FailureStep, 1);
    State.ErrorsAreAnswers = false;
    break;
  case attempt_result::Shed:
    State.learnShed(Now);
    break;
  case attempt_result::Cancelled:
    break;
  }
  Impl->ejectIfBad(State, Now);
}

void target_chooser::report(const base::target_id &Target, bool Healthy,
                            unsigned ReportedInFlight, base::boot_time Now) {
  const auto Position = Impl->States.find(Target);
  if (Position == Impl->States.end())
    return;
  target_state &State = Position->second;
  if (Healthy && State.reportedUnhealthy(Now))
    State.SlowStartFrom = std::max(Now, State.EjectedUntil);
  State.ProbedUnhealthy = !Healthy;
  State.ReportedInFlight = ReportedInFlight;
  State.ProbedAt = Now;
}

unsigned target_chooser::usableSlots(base::boot_time Now) const {
  const bool UseReports = Impl->anyReportedHealthy(Now);
  unsigned Slots = 0;
  for (const auto &[Id, State] : Impl->States)
    if (State.mayWork(Now) && !(UseReports && State.reportedUnhealthy(Now)))
      Slots += State.limit(Now);
  return Slots;
}

unsigned target_chooser::slotsInUse() const {
  unsigned Slots = 0;
  for (const auto &[Id, State] : Impl->States)
    Slots += State.InUse;
  return Slots;
}

} // namespace skylarkdyke::steering
