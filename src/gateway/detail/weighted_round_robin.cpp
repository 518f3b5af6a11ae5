#include "gateway/detail/weighted_round_robin.hpp"

namespace skylarkdyke::gateway::detail {

std::size_t weighted_round_robin::next(const routing::route &Route) {
  if (Route.Services.size() == 1)
    return 0;
  auto &Credit = CreditByRoute[Route.Name];
  if (Credit.size() != Route.Services.size())
    Credit.assign(Route.Services.size(), 0);
  double Total = 0;
  std::size_t Best = 0;
  for (std::size_t I = 0; I < Credit.size(); ++I) {
    Credit[I] += Route.Services[I].Weight;
    Total += Route.Services[I].Weight;
    if (Credit[I] > Credit[Best])
      Best = I;
  }
  Credit[Best] -= Total;
  return Best;
}

} // namespace skylarkdyke::gateway::detail
