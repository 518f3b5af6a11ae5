#include "skylarkdyke/steering/shift_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace skylarkdyke::steering {

using float_seconds = std::chrono::duration<double>;

/// Time constants of the exponentially weighted rates. The recent rate must
/// outlast the first seconds of a failover, in which callers may stop or
/// repeat requests.
static constexpr float_seconds RecentRateTime{10};
static constexpr float_seconds ShiftedRateTime{1};
/// A refusal shows that more traffic wants to fail over for the time of this
/// many requests, within these bounds. Longer would raise the allowance while
/// nothing fails over.
static constexpr double DemandRequests = 2;
static constexpr float_seconds ShortestDemand{0.05};
static constexpr float_seconds LongestDemand{1};
/// Time for which unused allowance is kept.
static constexpr float_seconds BurstTime{0.02};

static double percentToFraction(double Percent) {
  return std::max(0.0, Percent) / 100;
}

static base::boot_clock::duration demandTime(double RecentRate) {
  const float_seconds Time(RecentRate > 0 ? DemandRequests / RecentRate
                                          : LongestDemand.count());
  return std::chrono::duration_cast<base::boot_clock::duration>(
      std::clamp(Time, ShortestDemand, LongestDemand));
}

shift_limiter::shift_limiter(double CapPercentPerSecond)
    : CapPerSecond(percentToFraction(CapPercentPerSecond)) {}

void shift_limiter::setCap(double CapPercentPerSecond) {
  CapPerSecond = percentToFraction(CapPercentPerSecond);
}

void shift_limiter::advance(state &State, base::boot_time Now) const {
  if (State.UpdatedAt == base::boot_time::min()) {
    State.UpdatedAt = Now;
    State.RisesUntil = Now;
  }
  const float_seconds Passed = Now - State.UpdatedAt;
  if (Passed.count() <= 0)
    return;
  const double Rise = CapPerSecond * State.RecentRate;
  // Half of a second's rise is allowed from rest: with the rise during that
  // second, the first second admits the cap.
  const double Rest = State.ShiftedRate + Rise / 2;
  const float_seconds Rising = std::clamp<float_seconds>(
      State.RisesUntil - State.UpdatedAt, float_seconds(0), Passed);
  const double Before = std::max(State.AllowedRate, Rise / 2);
  double After = Before + Rise * Rising.count();
  if (Rising < Passed && After > Rest)
    After =
        Rest + (After - Rest) * std::exp(-(Passed - Rising) / ShiftedRateTime);
  State.AllowedRate = After;
  const double MaxTokens = std::max(1.0, After * BurstTime.count());
  State.Tokens =
      std::min(MaxTokens, State.Tokens + (Before + After) / 2 * Passed.count());
  State.RecentRate *= std::exp(-Passed / RecentRateTime);
  State.ShiftedRate *= std::exp(-Passed / ShiftedRateTime);
  State.UpdatedAt = Now;
}

void shift_limiter::countRequest(const base::service_name &Service,
                                 base::boot_time Now) {
  state &State = States[Service];
  advance(State, Now);
  State.RecentRate += 1 / RecentRateTime.count();
}

bool shift_limiter::tryShift(const base::service_name &Service,
                             base::boot_time Now) {
  state &State = States[Service];
  advance(State, Now);
  if (State.Tokens < 1) {
    State.RisesUntil = Now + demandTime(State.RecentRate);
    return false;
  }
  State.Tokens -= 1;
  State.ShiftedRate += 1 / ShiftedRateTime.count();
  return true;
}

double shift_limiter::allowedRate(const base::service_name &Service,
                                  base::boot_time Now) const {
  const auto Known = States.find(Service);
  if (Known == States.end())
    return 0;
  state State = Known->second;
  advance(State, Now);
  return State.AllowedRate;
}

} // namespace skylarkdyke::steering
