#include "skylarkdyke/steering/target_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace skylarkdyke::steering {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Smoothing factors of the exponentially weighted error rate. Four consecutive
// error responses eject a target without earlier errors (1 - 0.8^4 > 0.5).
static constexpr double ErrorSmoothing = 0.2;
// Two consecutive failed attempts eject a target (1 - 0.6^2 > 0.5). They weigh
// more than error responses because each costs the caller a timeout or a retry.
static constexpr double FailureSmoothing = 0.4;
static constexpr double EjectionThreshold = 0.5;
// Error rate that a target has after an ejection: two error responses or one
// failure eject it again.
static constexpr double PostEjectionErrorRate = 0.3;
static constexpr seconds BaseEjectionTime{1};
static constexpr seconds MaxEjectionTime{30};
static constexpr unsigned MaxEjectionDoublings = 5;
// When a target has not been ejected for this long, its next ejection has the
// base duration again.
static constexpr seconds EjectionCountReset{60};
static constexpr seconds SlowStartDuration{10};
static constexpr double SlowStartMinWeight = 0.1;
static constexpr milliseconds BaseShedBackoff{20};
static constexpr milliseconds MaxShedBackoff{1000};
static constexpr unsigned MaxShedDoublings = 6;
// A successful request from this entry within this time overrides an unhealthy
// probe result.
static constexpr seconds SuccessMaxAge{1};
// Older probe results are ignored, because probing may have stopped.
static constexpr seconds ProbeMaxAge{5};
static constexpr double LatencySmoothing = 0.1;
// The latency estimate of an unused target halves in this time, so that a
// target that was slow once is selected again.
static constexpr seconds LatencyHalfLife{10};

namespace {

/// Sentinel for an instant that is not set. It is earlier than every reading of
/// the boot clock.
constexpr base::boot_time Never = base::boot_time::min();

/// Load, health and weight of one target as this entry sees them.
struct target_state {
  config::target Target;
  double Weight = 0;
  bool Configured = false;
  /// Position among the configured targets, in [0, 1). It is added before
  /// fractional slots are rounded down, so that only some of the targets round
  /// up.
  double RoundingOffset = 0;
  /// Selection credit of a target whose weight is below 1, see accrueCredit().
  double Credit = 0;
  /// Sequence number of the latest selection of this target.
  std::uint64_t LastSelection = 0;
  unsigned InUse = 0;

  double ErrorRate = 0;
  bool LastErrorWasResponse = false;
  unsigned Ejections = 0;
  base::boot_time EjectedUntil = Never;
  base::boot_time SlowStartBegin = Never;
  unsigned ConsecutiveSheds = 0;
  base::boot_time ShedBackoffUntil = Never;
  base::boot_time LastSuccess = Never;

  nanoseconds Latency{0};
  base::boot_time LatencyUpdatedAt = Never;

  bool ProbedUnhealthy = false;
  unsigned ReportedInFlight = 0;
  base::boot_time ProbedAt = Never;

  bool isEjected(base::boot_time Now) const { return Now < EjectedUntil; }

  bool isEligible(base::boot_time Now) const {
    return Configured && Weight > 0 && !isEjected(Now) &&
           Now >= ShedBackoffUntil;
  }

  bool reportedUnhealthy(base::boot_time Now) const {
    return ProbedUnhealthy && Now < ProbedAt + ProbeMaxAge &&
           (LastSuccess == Never || Now >= LastSuccess + SuccessMaxAge);
  }

  double slowStartWeight(base::boot_time Now) const {
    if (SlowStartBegin == Never || Now >= SlowStartBegin + SlowStartDuration)
      return 1;
    const std::chrono::duration<double> Elapsed = Now - SlowStartBegin;
    const std::chrono::duration<double> Full = SlowStartDuration;
    return std::max(SlowStartMinWeight, Elapsed / Full);
  }

  /// The smaller of the drain weight and the slow start weight. Their product
  /// would limit a returning failure domain twice, because its ramp and slow
  /// start serve the same purpose.
  double effectiveWeight(base::boot_time Now) const {
    return std::min(Weight, slowStartWeight(Now));
  }

  /// Adds the target's credit for one selection: its fraction of all slots,
  /// multiplied by its weight. A credit of 1 makes it a candidate. The credit
  /// is capped, so that a target that was not selected for some time is not
  /// selected several times in a row later.
  /// \return whether the target is a candidate for this selection
  bool accrueCredit(double SlotFraction, double EffectiveWeight) {
    if (EffectiveWeight >= 1) {
      Credit = RoundingOffset;
      return true;
    }
    const double Increment = SlotFraction * EffectiveWeight;
    Credit = std::min(Credit + Increment, 1 + Increment);
    return Credit >= 1;
  }

  void recordSelection(std::uint64_t Selection) {
    ++InUse;
    LastSelection = Selection;
    Credit = std::max(Credit - 1, -1.0);
  }

  unsigned limit(base::boot_time Now) const {
    if (Weight <= 0)
      return 0;
    const auto WeightLimit = static_cast<unsigned>(
        std::floor(Target.Slots * Weight + RoundingOffset));
    const auto SlowStartLimit = std::max(
        1U, static_cast<unsigned>(Target.Slots * slowStartWeight(Now)));
    return std::min({Target.Slots, WeightLimit, SlowStartLimit});
  }

  /// Logarithm to base 2 of the latency estimate in nanoseconds, rounded down.
  /// Smaller differences are noise. If they counted, all traffic under low load
  /// would go to one target, and a drain of that target would move all of it at
  /// once.
  int latencyClass(base::boot_time Now) const {
    if (LatencyUpdatedAt == Never || Latency <= nanoseconds(0))
      return 0;
    const std::chrono::duration<double> Age = Now - LatencyUpdatedAt;
    const std::chrono::duration<double> HalfLife = LatencyHalfLife;
    const double Estimate =
        std::log2(static_cast<double>(Latency.count())) - Age / HalfLife;
    return static_cast<int>(std::max(0.0, Estimate));
  }

  void updateLatency(nanoseconds Sample, base::boot_time Now) {
    if (LatencyUpdatedAt == Never)
      Latency = Sample;
    else
      Latency += std::chrono::duration_cast<nanoseconds>((Sample - Latency) *
                                                         LatencySmoothing);
    LatencyUpdatedAt = Now;
  }

  void updateErrorRate(double Smoothing, double Outcome) {
    ErrorRate += Smoothing * (Outcome - ErrorRate);
  }

  void recordShed(base::boot_time Now) {
    const auto Backoff =
        BaseShedBackoff * (1U << std::min(ConsecutiveSheds, MaxShedDoublings));
    ++ConsecutiveSheds;
    ShedBackoffUntil = Now + std::min<milliseconds>(Backoff, MaxShedBackoff);
  }

  void eject(base::boot_time Now) {
    if (EjectedUntil == Never || Now >= EjectedUntil + EjectionCountReset)
      Ejections = 0;
    const auto Duration =
        BaseEjectionTime * (1U << std::min(Ejections, MaxEjectionDoublings));
    ++Ejections;
    EjectedUntil = Now + std::min<seconds>(Duration, MaxEjectionTime);
    SlowStartBegin = EjectedUntil;
    ErrorRate = PostEjectionErrorRate;
  }
};

} // namespace

/// Sort key of a target in one selection. The target with the smallest key is
/// selected.
struct selection_key {
  bool NotCandidate;
  double Utilization;
  int LatencyClass;
  unsigned ReportedInFlight;
  std::uint64_t LastSelection;

  friend bool operator<(const selection_key &Left, const selection_key &Right) {
    return Left.tied() < Right.tied();
  }

private:
  std::tuple<bool, double, int, unsigned, std::uint64_t> tied() const {
    return {NotCandidate, Utilization, LatencyClass, ReportedInFlight,
            LastSelection};
  }
};

struct target_chooser::impl {
  std::map<base::target_id, target_state> States;
  std::uint64_t Selections = 0;
  bool WasConfigured = false;

  double eligibleSlots(base::boot_time Now) const;

  void configureTarget(weighted_target &&NewTarget, double RoundingOffset,
                       base::boot_time Now);
  bool anyEligibleHealthy(base::boot_time Now) const;
  void ejectIfFailing(target_state &State, base::boot_time Now);
};

void target_chooser::impl::configureTarget(weighted_target &&NewTarget,
                                           double RoundingOffset,
                                           base::boot_time Now) {
  const auto [Position, IsNew] = States.try_emplace(NewTarget.Target.Id);
  target_state &State = Position->second;
  if (IsNew)
    State.Credit = RoundingOffset;
  const bool WasActive = State.Configured && State.Weight > 0;
  // No slow start at the first configuration: all targets are new to this
  // entry, but they are not cold.
  if (WasConfigured && !WasActive && NewTarget.Weight > 0)
    State.SlowStartBegin = std::max(Now, State.EjectedUntil);
  State.Target = std::move(NewTarget.Target);
  State.Weight = std::clamp(NewTarget.Weight, 0.0, 1.0);
  State.RoundingOffset = RoundingOffset;
  State.Configured = true;
}

double target_chooser::impl::eligibleSlots(base::boot_time Now) const {
  double Slots = 0;
  for (const auto &[Id, State] : States)
    Slots += State.isEligible(Now) ? State.Target.Slots : 0;
  return Slots;
}

bool target_chooser::impl::anyEligibleHealthy(base::boot_time Now) const {
  return std::any_of(States.begin(), States.end(), [Now](const auto &Pair) {
    return Pair.second.isEligible(Now) && !Pair.second.reportedUnhealthy(Now);
  });
}

void target_chooser::impl::ejectIfFailing(target_state &State,
                                          base::boot_time Now) {
  if (State.ErrorRate < EjectionThreshold || State.isEjected(Now))
    return;
  std::size_t Active = 0;
  std::size_t Ejected = 0;
  for (const auto &[Id, Other] : States) {
    if (!Other.Configured || Other.Weight <= 0)
      continue;
    ++Active;
    Ejected += Other.isEjected(Now) ? 1 : 0;
  }
  // Error responses from most targets are caused by the requests or by a
  // dependency of the service. Ejecting all targets would stop the service.
  if (State.LastErrorWasResponse && (Ejected + 1) * 2 > Active)
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
  std::vector<base::target_id> ConfiguredIds;
  ConfiguredIds.reserve(Targets.size());
  const auto Count = static_cast<double>(Targets.size());
  for (weighted_target &NewTarget : Targets) {
    const double RoundingOffset =
        (static_cast<double>(ConfiguredIds.size()) + 0.5) / Count;
    ConfiguredIds.push_back(NewTarget.Target.Id);
    Impl->configureTarget(std::move(NewTarget), RoundingOffset, Now);
  }
  for (auto Position = Impl->States.begin(); Position != Impl->States.end();) {
    target_state &State = Position->second;
    if (!std::binary_search(ConfiguredIds.begin(), ConfiguredIds.end(),
                            Position->first))
      State.Configured = false;
    // The state of a removed target stays until its slots are released, because
    // the target may be configured again before that.
    if (!State.Configured && State.InUse == 0)
      Position = Impl->States.erase(Position);
    else
      ++Position;
  }
  Impl->WasConfigured = Impl->WasConfigured || !ConfiguredIds.empty();
}

std::optional<config::target>
target_chooser::acquire(unsigned MaxPerTarget,
                        const std::vector<base::target_id> &Excluded,
                        base::boot_time Now) {
  const bool UseProbes = Impl->anyEligibleHealthy(Now);
  const double TotalSlots = Impl->eligibleSlots(Now);
  target_state *Best = nullptr;
  selection_key BestKey{};
  for (auto &[Id, State] : Impl->States) {
    if (!State.isEligible(Now) || (UseProbes && State.reportedUnhealthy(Now)))
      continue;
    const bool Candidate = State.accrueCredit(State.Target.Slots / TotalSlots,
                                              State.effectiveWeight(Now));
    // A candidate gets at least one slot. Otherwise a small weight would round
    // down to no slots and end the ramp early.
    const unsigned Limit = std::max(State.limit(Now), Candidate ? 1U : 0U);
    if (State.InUse >= std::min(MaxPerTarget, Limit) ||
        std::find(Excluded.begin(), Excluded.end(), Id) != Excluded.end())
      continue;
    // The weight is not part of the sort key. Under low load no slot is in use,
    // so scaling the utilization by the weight would have no effect, and a
    // target with few slots in use would receive more than its weight allows.
    const selection_key Key{
        !Candidate, static_cast<double>(State.InUse) / State.Target.Slots,
        State.latencyClass(Now), State.ReportedInFlight, State.LastSelection};
    if (!Best || Key < BestKey) {
      Best = &State;
      BestKey = Key;
    }
  }
  if (!Best)
    return std::nullopt;
  Best->recordSelection(++Impl->Selections);
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
    State.updateErrorRate(ErrorSmoothing, 0);
    State.updateLatency(Latency, Now);
    State.ConsecutiveSheds = 0;
    State.LastSuccess = Now;
    break;
  case attempt_result::ErrorResponse:
    // The latency estimate is not updated, so that fast errors do not attract
    // requests.
    State.updateErrorRate(ErrorSmoothing, 1);
    State.LastErrorWasResponse = true;
    break;
  case attempt_result::Failed:
    State.updateErrorRate(FailureSmoothing, 1);
    State.LastErrorWasResponse = false;
    break;
  case attempt_result::Shed:
    State.recordShed(Now);
    break;
  case attempt_result::Cancelled:
    break;
  }
  Impl->ejectIfFailing(State, Now);
}

void target_chooser::reportProbe(const base::target_id &Target, bool Healthy,
                                 unsigned ReportedInFlight,
                                 base::boot_time Now) {
  const auto Position = Impl->States.find(Target);
  if (Position == Impl->States.end())
    return;
  target_state &State = Position->second;
  if (Healthy && State.reportedUnhealthy(Now))
    State.SlowStartBegin = std::max(Now, State.EjectedUntil);
  State.ProbedUnhealthy = !Healthy;
  State.ReportedInFlight = ReportedInFlight;
  State.ProbedAt = Now;
}

unsigned target_chooser::usableSlots(base::boot_time Now) const {
  const bool UseProbes = Impl->anyEligibleHealthy(Now);
  unsigned Slots = 0;
  for (const auto &[Id, State] : Impl->States)
    if (State.isEligible(Now) && !(UseProbes && State.reportedUnhealthy(Now)))
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
