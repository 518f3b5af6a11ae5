#include "skylarkdyke/placement/work_model.hpp"

namespace skylarkdyke::placement {

/// Weight of the newest sample in the moving average of the work.
static constexpr double WorkWeight = 0.1;
/// Work at a warm target relative to another, before any was measured.
static constexpr double AssumedWarmGain = 0.3;
/// How long a target is taken to stay warm for an object.
static constexpr std::chrono::seconds WarmTime{30};

static std::uint64_t pairOf(std::uint64_t ObjectHash,
                            std::uint64_t TargetSeed) {
  return ObjectHash ^ (TargetSeed * 0x9E3779B97F4A7C15U);
}

bool work_model::isWarm(std::uint64_t ObjectHash, std::uint64_t TargetSeed,
                        base::boot_time Now) const {
  const auto Found = HandledAt.find(pairOf(ObjectHash, TargetSeed));
  return Found != HandledAt.end() && Now - Found->second < WarmTime;
}

void work_model::noteHandled(std::uint64_t ObjectHash, std::uint64_t TargetSeed,
                             base::boot_time Now) {
  if (HandledAt.size() >= MaxPairs)
    HandledAt.clear();
  HandledAt[pairOf(ObjectHash, TargetSeed)] = Now;
}

void work_model::learn(const std::string &RouteName, bool Warm,
                       std::chrono::nanoseconds Work) {
  route_work &Route = WorkOf[RouteName];
  auto &Mean = Warm ? Route.Warm : Route.Other;
  const std::chrono::duration<double> Sample = Work;
  Mean = Mean.count() <= 0 ? Sample : Mean + WorkWeight * (Sample - Mean);
}

std::chrono::nanoseconds work_model::expected(const routing::route &Route,
                                              double WarmChance) const {
  const auto Found = WorkOf.find(Route.Name);
  const std::chrono::duration<double> Objective = Route.LatencyObjective;
  std::chrono::duration<double> Other = Found == WorkOf.end()
                                            ? std::chrono::duration<double>(0)
                                            : Found->second.Other;
  std::chrono::duration<double> Warm = Found == WorkOf.end()
                                           ? std::chrono::duration<double>(0)
                                           : Found->second.Warm;
  if (Other.count() <= 0)
    Other = Warm.count() > 0 ? Warm / AssumedWarmGain : Objective;
  if (Warm.count() <= 0)
    Warm = Route.Sticky ? Other * AssumedWarmGain : Other;
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      WarmChance * Warm + (1 - WarmChance) * Other);
}

} // namespace skylarkdyke::placement
