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
/// requests, not only on average.
class weighted_round_robin {
public:
  /// \return index of the service that is furthest below its share
  std::size_t next(const routing::route &Route);

private:
  std::unordered_map<std::string, std::vector<double>> CreditByRoute;
};

} // namespace skylarkdyke::gateway::detail

#endif
