#ifndef SKYLARKDYKE_PLACEMENT_PROCESSING_TIME_MODEL_HPP
#define SKYLARKDYKE_PLACEMENT_PROCESSING_TIME_MODEL_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/routing/route.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace skylarkdyke::placement {

/// \brief Expected processing times of one route.
struct processing_time_estimate {
  std::chrono::duration<double> Warm{0};
  std::chrono::duration<double> NotWarm{0};

  /// \param WarmProbability probability that the target is warm for the object
  std::chrono::nanoseconds expected(double WarmProbability) const {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        WarmProbability * Warm + (1 - WarmProbability) * NotWarm);
  }
};

/// \brief Estimates the processing time of each route's requests at warm and at
/// other targets of a service, and tracks which targets are warm for which
/// objects.
///
/// A route may be moved to another service, or be split over several; what was
/// measured at one of them says nothing about another one.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe. Memory
/// is bounded by MaxTrackedPairs and the number of pairs of route and service.
class processing_time_model {
public:
  /// Maximum number of tracked pairs of object and target.
  static constexpr std::size_t MaxTrackedPairs = 20000;

  /// \brief Whether a target has recently answered a request for an object.
  bool isWarm(std::uint64_t ObjectHash, std::uint64_t TargetSeed,
              base::boot_time Now) const;

  /// \brief Records that a target answered a request for an object.
  void recordHandled(std::uint64_t ObjectHash, std::uint64_t TargetSeed,
                     base::boot_time Now);

  /// \brief Adds a sample of the processing time of a route at a service.
  /// \param ProcessingTime measured time of a request that did not wait for a
  /// slot
  void recordSample(const routing::route &Route,
                    const base::service_name &Service, bool Warm,
                    std::chrono::nanoseconds ProcessingTime);

  /// \brief Records that a request of a route was answered at a service.
  void recordAnswer(const routing::route &Route,
                    const base::service_name &Service, base::boot_time Now);

  /// \brief Whether the processing time of a route at a service has been
  /// measured, and requests were answered there lately. Otherwise the measured
  /// time may be that of an earlier route of the same name.
  bool hasSamples(const routing::route &Route,
                  const base::service_name &Service, base::boot_time Now) const;

  /// \brief Expected processing times at a service; derived from the latency
  /// objective until there is a sample.
  processing_time_estimate estimate(const routing::route &Route,
                                    const base::service_name &Service) const;

  /// \return ratio of a measured processing time to the expected one
  /// \param Warm whether the target was known to be warm for the object
  double ratioToExpected(const routing::route &Route,
                         const base::service_name &Service, bool Warm,
                         std::chrono::nanoseconds ProcessingTime) const {
    const auto Expected = estimate(Route, Service).expected(Warm ? 1 : 0);
    return static_cast<double>(ProcessingTime.count()) /
           static_cast<double>(Expected.count() > 0 ? Expected.count() : 1);
  }

private:
  struct route_times {
    std::chrono::duration<double> Warm{0};
    std::chrono::duration<double> NotWarm{0};
    base::boot_time AnsweredAt{};
  };
  using times_by_route = std::unordered_map<std::string, route_times>;

  /// What is known of a route at a service; null if nothing is.
  const route_times *find(const routing::route &Route,
                          const base::service_name &Service) const;

  std::unordered_map<base::service_name, times_by_route> TimesByService;
  std::unordered_map<std::uint64_t, base::boot_time> LastHandledAt;
};

} // namespace skylarkdyke::placement

#endif
