#include "gateway/detail/weighted_round_robin.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

/// Number of routes that are remembered; a route that was forgotten starts
/// anew.
static constexpr std::size_t MaxSplits = 1024;

static bool isSame(const routing::weighted_service &Left,
                   const routing::weighted_service &Right) {
  return Left.Service == Right.Service && Left.Weight == Right.Weight;
}

weighted_round_robin::split &
weighted_round_robin::splitOf(const routing::route &Route) {
  if (Splits.size() >= MaxSplits && Splits.count(Route.Name) == 0)
    Splits.clear();
  split &Split = Splits[Route.Name];
  if (!std::equal(Split.Services.begin(), Split.Services.end(),
                  Route.Services.begin(), Route.Services.end(), isSame))
    Split = {Route.Services, std::vector<double>(Route.Services.size(), 0)};
  return Split;
}

std::size_t weighted_round_robin::next(const routing::route &Route) {
  if (Route.Services.size() == 1)
    return 0;
  auto &Credit = splitOf(Route).Credit;
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
