#ifndef SKYLARKDYKE_GATEWAY_DETAIL_WEIGHTED_ROUND_ROBIN_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_WEIGHTED_ROUND_ROBIN_HPP

#include "skylarkdyke/routing/route.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief Distributes the requests of a route over its services by smooth
/// weighted round-robin: each service gets its share of every sequence of
/// requests, not only on average. A route whose services or weights change
/// starts anew, so that its shares do not depend on earlier weights.
class weighted_round_robin {
public:
  /// \return index of the service that is furthest below its share
  std::size_t next(const routing::route &Route);

private:
  struct split {
    std::vector<routing::weighted_service> Services;
    /// By how much each service is below its share, in units of its weight.
    std::vector<double> Credit;
  };

  split &splitOf(const routing::route &Route);

  /// By the name of the route.
  std::unordered_map<std::string, split> Splits;
};

} // namespace skylarkdyke::gateway::detail

#endif
