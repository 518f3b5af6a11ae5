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

const processing_time_model::route_times *
processing_time_model::find(const routing::route &Route,
                            const base::service_name &Service) const {
  const auto Times = TimesByService.find(Service);
  if (Times == TimesByService.end())
    return nullptr;
  const auto Found = Times->second.find(Route.Name);
  return Found == Times->second.end() ? nullptr : &Found->second;
}

void processing_time_model::recordSample(const routing::route &Route,
                                         const base::service_name &Service,
                                         bool Warm,
                                         nanoseconds ProcessingTime) {
  route_times &Times = TimesByService[Service][Route.Name];
  auto &Average = Warm ? Times.Warm : Times.NotWarm;
  const std::chrono::duration<double> Sample = ProcessingTime;
  Average = Average.count() <= 0 ? Sample
                                 : Average + SampleWeight * (Sample - Average);
}

void processing_time_model::recordAnswer(const routing::route &Route,
                                         const base::service_name &Service,
                                         base::boot_time Now) {
  TimesByService[Service][Route.Name].AnsweredAt = Now;
}

bool processing_time_model::hasSamples(const routing::route &Route,
                                       const base::service_name &Service,
                                       base::boot_time Now) const {
  const route_times *Times = find(Route, Service);
  return Times != nullptr && Times->NotWarm + Times->Warm > nanoseconds(0) &&
         Now - Times->AnsweredAt < SampleRetention;
}

processing_time_estimate
processing_time_model::estimate(const routing::route &Route,
                                const base::service_name &Service) const {
  const std::chrono::duration<double> Objective = Route.LatencyObjective;
  const route_times *Times = find(Route, Service);
  route_times Known = Times == nullptr ? route_times() : *Times;
  if (Known.NotWarm.count() <= 0)
    Known.NotWarm =
        Known.Warm.count() > 0 ? Known.Warm / AssumedWarmRatio : Objective;
  if (Known.Warm.count() <= 0)
    Known.Warm =
        Route.Sticky ? Known.NotWarm * AssumedWarmRatio : Known.NotWarm;
  return {Known.Warm, Known.NotWarm};
}

} // namespace skylarkdyke::placement
