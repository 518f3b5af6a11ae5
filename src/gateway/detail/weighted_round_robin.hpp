#ifndef SKYLARKDYKE_GATEWAY_DETAIL_WEIGHTED_ROUND_ROBIN_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_WEIGHTED_ROUND_ROBIN_HPP

#include "skylarkdyke/routing/route.hpp"

#include <cstddef>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief Distributes the requests of a route over its services by smooth
/// weighted round-robin: each service gets its share of every sequence of
/// requests, not only on average.
///
/// Only the proportions of the weights count, not their scale. A route whose
/// proportions change starts anew, so that its shares do not depend on earlier
/// weights. It starts at a random position of its sequence: entries that all
/// began with the same service would send it more than its share while each of
/// them has few requests.
class weighted_round_robin {
public:
  /// \return index of the service that is furthest below its share; never one
  /// whose weight is 0
  std::size_t next(const routing::route &Route);

private:
  struct split {
    /// As the configuration has them.
    std::vector<routing::weighted_service> Services;
    /// In proportion to the weights of the services; their sum is finite.
    std::vector<double> Weights;
    /// By how much each service is below its share, in units of Weights.
    std::vector<double> Credit;
  };

  split &splitOf(const routing::route &Route);
  void startAnew(split &Split);
  static std::size_t advance(split &Split);

  /// By the name of the route.
  std::unordered_map<std::string, split> Splits;
  std::minstd_rand Random{std::random_device{}()};
};

} // namespace skylarkdyke::gateway::detail

#endif
