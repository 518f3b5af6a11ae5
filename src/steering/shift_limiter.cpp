#include "skylarkdyke/steering/shift_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace skylarkdyke::steering {

using float_seconds = std::chrono::duration<double>;

/// Time constants of the exponentially weighted rates. The recent rate must
/// stay stable over the first seconds of a failover, in which callers may stop
/// sending requests or retry them.
static constexpr float_seconds RecentRateTimeConstant{10};
static constexpr float_seconds ShiftedRateTimeConstant{1};
/// A refused request counts as demand for the time in which this many requests
/// arrive, clamped to the bounds below. A longer time would raise the allowed
/// rate while no request fails over.
static constexpr double DemandRequests = 2;
static constexpr float_seconds MinDemandTime{0.05};
static constexpr float_seconds MaxDemandTime{1};
/// Time over which unused tokens accumulate.
static constexpr float_seconds BurstDuration{0.02};

static double percentToFraction(double Percent) {
  return std::max(0.0, Percent) / 100;
}

static base::boot_clock::duration demandTime(double RecentRate) {
  const float_seconds Time(RecentRate > 0 ? DemandRequests / RecentRate
                                          : MaxDemandTime.count());
  return std::chrono::duration_cast<base::boot_clock::duration>(
      std::clamp(Time, MinDemandTime, MaxDemandTime));
}

shift_limiter::shift_limiter(double CapPercentPerSecond)
    : CapPerSecond(percentToFraction(CapPercentPerSecond)) {}

void shift_limiter::setCap(double CapPercentPerSecond) {
  CapPerSecond = percentToFraction(CapPercentPerSecond);
}

void shift_limiter::advance(state &State, base::boot_time Now) const {
  if (State.UpdatedAt == base::boot_time::min()) {
    State.UpdatedAt = Now;
    State.IncreaseUntil = Now;
  }
  const float_seconds Elapsed = Now - State.UpdatedAt;
  if (Elapsed.count() <= 0)
    return;
  const double IncreasePerSecond = CapPerSecond * State.RecentRate;
  // The allowed rate starts at half of its increase per second. As it rises
  // during the first second, the requests allowed in that second add up to the
  // cap.
  const double Baseline = State.ShiftedRate + IncreasePerSecond / 2;
  const float_seconds IncreaseTime = std::clamp<float_seconds>(
      State.IncreaseUntil - State.UpdatedAt, float_seconds(0), Elapsed);
  const double OldRate = std::max(State.AllowedRate, IncreasePerSecond / 2);
  double NewRate = OldRate + IncreasePerSecond * IncreaseTime.count();
  if (IncreaseTime < Elapsed && NewRate > Baseline)
    NewRate = Baseline +
              (NewRate - Baseline) *
                  std::exp(-(Elapsed - IncreaseTime) / ShiftedRateTimeConstant);
  State.AllowedRate = NewRate;
  const double MaxTokens = std::max(1.0, NewRate * BurstDuration.count());
  State.Tokens = std::min(MaxTokens, State.Tokens + (OldRate + NewRate) / 2 *
                                                        Elapsed.count());
  State.RecentRate *= std::exp(-Elapsed / RecentRateTimeConstant);
  State.ShiftedRate *= std::exp(-Elapsed / ShiftedRateTimeConstant);
  State.UpdatedAt = Now;
}

void shift_limiter::countRequest(const base::service_name &Service,
                                 base::boot_time Now) {
  state &State = States[Service];
  advance(State, Now);
  State.RecentRate += 1 / RecentRateTimeConstant.count();
}

bool shift_limiter::tryShift(const base::service_name &Service,
                             base::boot_time Now) {
  state &State = States[Service];
  advance(State, Now);
  if (State.Tokens < 1) {
    State.IncreaseUntil = Now + demandTime(State.RecentRate);
    return false;
  }
  State.Tokens -= 1;
  State.ShiftedRate += 1 / ShiftedRateTimeConstant.count();
  return true;
}

double shift_limiter::allowedRate(const base::service_name &Service,
                                  base::boot_time Now) const {
  const auto Found = States.find(Service);
  if (Found == States.end())
    return 0;
  state State = Found->second;
  advance(State, Now);
  return State.AllowedRate;
}

} // namespace skylarkdyke::steering
