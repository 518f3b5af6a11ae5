#ifndef SKYLARKDYKE_PLACEMENT_WORK_MODEL_HPP
#define SKYLARKDYKE_PLACEMENT_WORK_MODEL_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/routing/route.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace skylarkdyke::placement {

/// \brief Learns how long the requests of each route work at warm and at other
/// targets, and which targets are warm for which objects.
///
/// Pure; not thread-safe. Memory is bounded by MaxPairs.
class work_model {
public:
  /// Largest number of pairs of object and target that are remembered.
  static constexpr std::size_t MaxPairs = 20000;

  /// \brief Whether a target handled an object lately.
  bool isWarm(std::uint64_t ObjectHash, std::uint64_t TargetSeed,
              base::boot_time Now) const;

  /// \brief Counts an answer of a target for an object.
  void noteHandled(std::uint64_t ObjectHash, std::uint64_t TargetSeed,
                   base::boot_time Now);

  /// \brief Learns the work of one request that did not wait.
  void learn(const std::string &RouteName, bool Warm,
             std::chrono::nanoseconds Work);

  /// \brief Whether the work of a route was measured.
  bool isKnown(const std::string &RouteName) const {
    return WorkOf.count(RouteName) != 0;
  }

  /// \brief Expected work; the latency objective before any was measured.
  /// \param WarmChance probability that the target is warm for the object
  std::chrono::nanoseconds expected(const routing::route &Route,
                                    double WarmChance) const;

  /// \brief Measured work relative to the expected one.
  /// \param Warm whether the target was known to be warm for the object
  double ratioToExpected(const routing::route &Route, bool Warm,
                         std::chrono::nanoseconds Work) const {
    const auto Expected = expected(Route, Warm ? 1 : 0);
    return static_cast<double>(Work.count()) /
           static_cast<double>(Expected.count() > 0 ? Expected.count() : 1);
  }

private:
  struct route_work {
    std::chrono::duration<double> Warm{0};
    std::chrono::duration<double> Other{0};
  };
  std::unordered_map<std::string, route_work> WorkOf;
  std::unordered_map<std::uint64_t, base::boot_time> HandledAt;
};

} // namespace skylarkdyke::placement

#endif
