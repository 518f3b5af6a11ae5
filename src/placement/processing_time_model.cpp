#include "skylarkdyke/placement/processing_time_model.hpp"

namespace skylarkdyke::placement {

using std::chrono::nanoseconds;

/// Weight of the newest sample in the moving average of the processing time.
static constexpr double SampleWeight = 0.1;
/// Assumed ratio of the processing time at a warm target to that at another
/// one, until both have been measured.
static constexpr double AssumedWarmRatio = 0.3;
/// Time for which a target is assumed to stay warm for an object.
static constexpr std::chrono::seconds WarmDuration{30};

/// Time for which measured processing times count after the last answer. A
/// route whose requests are all refused because of them gets requests again.
static constexpr std::chrono::seconds SampleRetention{5};

static std::uint64_t pairKey(std::uint64_t ObjectHash,
                             std::uint64_t TargetSeed) {
  return ObjectHash ^ (TargetSeed * 0x9E3779B97F4A7C15U);
}

bool processing_time_model::isWarm(std::uint64_t ObjectHash,
                                   std::uint64_t TargetSeed,
                                   base::boot_time Now) const {
  const auto Found = LastHandledAt.find(pairKey(ObjectHash, TargetSeed));
  return Found != LastHandledAt.end() && Now - Found->second < WarmDuration;
}

void processing_time_model::recordHandled(std::uint64_t ObjectHash,
                                          std::uint64_t TargetSeed,
                                          base::boot_time Now) {
  if (LastHandledAt.size() >= MaxTrackedPairs)
    LastHandledAt.clear();
  LastHandledAt[pairKey(ObjectHash, TargetSeed)] = Now;
}

void processing_time_model::recordSample(const std::string &RouteName,
                                         bool Warm,
                                         nanoseconds ProcessingTime) {
  route_times &Route = TimesByRoute[RouteName];
  auto &Average = Warm ? Route.Warm : Route.NotWarm;
  const std::chrono::duration<double> Sample = ProcessingTime;
  Average = Average.count() <= 0 ? Sample
                                 : Average + SampleWeight * (Sample - Average);
}

void processing_time_model::recordAnswer(const std::string &RouteName,
                                         base::boot_time Now) {
  TimesByRoute[RouteName].AnsweredAt = Now;
}

bool processing_time_model::hasSamples(const std::string &RouteName,
                                       base::boot_time Now) const {
  const auto Found = TimesByRoute.find(RouteName);
  return Found != TimesByRoute.end() &&
         Found->second.NotWarm + Found->second.Warm > nanoseconds(0) &&
         Now - Found->second.AnsweredAt < SampleRetention;
}

processing_time_estimate
processing_time_model::estimate(const routing::route &Route) const {
  const auto Found = TimesByRoute.find(Route.Name);
  const std::chrono::duration<double> Objective = Route.LatencyObjective;
  std::chrono::duration<double> NotWarm = Found == TimesByRoute.end()
                                              ? std::chrono::duration<double>(0)
                                              : Found->second.NotWarm;
  std::chrono::duration<double> Warm = Found == TimesByRoute.end()
                                           ? std::chrono::duration<double>(0)
                                           : Found->second.Warm;
  if (NotWarm.count() <= 0)
    NotWarm = Warm.count() > 0 ? Warm / AssumedWarmRatio : Objective;
  if (Warm.count() <= 0)
    Warm = Route.Sticky ? NotWarm * AssumedWarmRatio : NotWarm;
  return {Warm, NotWarm};
}

} // namespace skylarkdyke::placement
