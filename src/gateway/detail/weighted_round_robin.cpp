#include "gateway/detail/weighted_round_robin.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace skylarkdyke::gateway::detail {

/// Number of routes that are remembered; a route that was forgotten starts
/// anew.
static constexpr std::size_t MaxSplits = 1024;

/// Number of positions of a sequence from which one is drawn. It is a multiple
/// of the period of weights in percent or in thousandths.
static constexpr std::size_t StartPositions = 1000;

static bool isSame(const routing::weighted_service &Left,
                   const routing::weighted_service &Right) {
  return Left.Service == Right.Service && Left.Weight == Right.Weight;
}

static bool hasSameName(const routing::weighted_service &Left,
                        const routing::weighted_service &Right) {
  return Left.Service == Right.Service;
}

using predicate = bool (*)(const routing::weighted_service &,
                           const routing::weighted_service &);

static bool areEqual(const std::vector<routing::weighted_service> &Left,
                     const std::vector<routing::weighted_service> &Right,
                     predicate Predicate) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    Predicate);
}

static double sumOf(const std::vector<double> &Weights) {
  return std::accumulate(Weights.begin(), Weights.end(), 0.0);
}

/// Returns the weights, scaled to at most 1 so that their sum is finite. The
/// factor is a power of 2, which keeps sums of whole weights exact.
static std::vector<double>
scaledWeights(const std::vector<routing::weighted_service> &Services) {
  double Greatest = 0;
  for (const auto &Service : Services)
    Greatest = std::max(Greatest, Service.Weight);
  int Exponent = 0;
  std::frexp(Greatest, &Exponent);
  std::vector<double> Weights;
  Weights.reserve(Services.size());
  for (const auto &Service : Services)
    Weights.push_back(std::ldexp(Service.Weight, -Exponent));
  return Weights;
}

static bool haveSameProportions(const std::vector<double> &Left,
                                const std::vector<double> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [LeftSum = sumOf(Left), RightSum = sumOf(Right)](
                        double LeftWeight, double RightWeight) {
                      return LeftWeight / LeftSum == RightWeight / RightSum;
                    });
}

weighted_round_robin::split &
weighted_round_robin::splitOf(const routing::route &Route) {
  if (Splits.size() >= MaxSplits && Splits.count(Route.Name) == 0)
    Splits.clear();
  split &Split = Splits[Route.Name];
  if (areEqual(Split.Services, Route.Services, isSame))
    return Split;
  std::vector<double> Weights = scaledWeights(Route.Services);
  const bool Continues =
      areEqual(Split.Services, Route.Services, hasSameName) &&
      haveSameProportions(Split.Weights, Weights);
  Split.Services = Route.Services;
  if (!Continues) {
    Split.Weights = std::move(Weights);
    startAnew(Split);
  }
  return Split;
}

void weighted_round_robin::startAnew(split &Split) {
  Split.Credit.assign(Split.Weights.size(), 0);
  std::uniform_int_distribution<std::size_t> Position(0, StartPositions - 1);
  for (std::size_t Steps = Position(Random); Steps > 0; --Steps)
    advance(Split);
}

std::size_t weighted_round_robin::advance(split &Split) {
  std::size_t Best = 0;
  for (std::size_t I = 0; I < Split.Credit.size(); ++I) {
    Split.Credit[I] += Split.Weights[I];
    if (Split.Credit[I] > Split.Credit[Best])
      Best = I;
  }
  Split.Credit[Best] -= sumOf(Split.Weights);
  return Best;
}

std::size_t weighted_round_robin::next(const routing::route &Route) {
  if (Route.Services.size() == 1)
    return 0;
  return advance(splitOf(Route));
}

} // namespace skylarkdyke::gateway::detail
