#include "gateway/detail/weighted_round_robin.hpp"

#include <cmath>
#include <rapidcheck.h>
#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using gateway::detail::weighted_round_robin;

/// By how much the share of a service may be off its weight's.
static constexpr double MaxShareOff = 0.1;

static routing::route routeWith(const std::vector<double> &Weights,
                                const std::string &Name = "r") {
  routing::route Route;
  Route.Name = Name;
  for (std::size_t I = 0; I < Weights.size(); ++I)
    Route.Services.push_back(
        {base::service_name(std::to_string(I)), Weights[I]});
  return Route;
}

TEST_GROUP(gateway_splits){};

// Guards against a service whose share depends on the scale of the weights: the
// sequence of a route must go on when only the scale changes.
TEST(gateway_splits, TheScaleOfWeightsChangesNothing) {
  const std::vector<std::vector<double>> Scales = {
      {50, 50}, {1, 1}, {0.5, 0.5}, {1e300, 1e300}};
  weighted_round_robin Selector;
  std::size_t RequestsToSecond = 0;
  for (std::size_t I = 0; I < 20; ++I)
    RequestsToSecond += Selector.next(routeWith(Scales[I % Scales.size()]));
  LONGS_EQUAL(10, RequestsToSecond);
}

// Guards against a part without a weight that gets requests because the sum of
// the weights is no number.
TEST(gateway_splits, VeryLargeWeightsKeepTheirProportions) {
  weighted_round_robin Selector;
  std::vector<std::size_t> Requests(3);
  for (int I = 0; I < 40; ++I)
    ++Requests[Selector.next(routeWith({0, 1.5e308, 1.5e308}))];
  LONGS_EQUAL(0, Requests[0]);
  LONGS_EQUAL(20, Requests[1]);
}

// Guards against entries that all begin with the same service: while each of
// them has one or two requests, its share of all requests would be far too
// large. The number of entries makes a failure by chance impossible in practice
// (ten standard deviations).
TEST(gateway_splits, ManyEntriesWithFewRequestsKeepTheShares) {
  static constexpr int Entries = 2500;
  const routing::route Route = routeWith({70, 30});
  for (const int RequestsEach : {1, 2, 3}) {
    std::size_t RequestsToSecond = 0;
    for (int Entry = 0; Entry < Entries; ++Entry) {
      weighted_round_robin Selector;
      for (int I = 0; I < RequestsEach; ++I)
        RequestsToSecond += Selector.next(Route);
    }
    DOUBLES_EQUAL(
        0.3, static_cast<double>(RequestsToSecond) / (Entries * RequestsEach),
        MaxShareOff);
  }
}

// Guards against routes that are forgotten between their requests, because
// there are more than an entry remembers: each request would go to the first
// service.
TEST(gateway_splits, MoreRoutesThanAreRememberedKeepTheShares) {
  static constexpr int Routes = 1100;
  static constexpr int Rounds = 5;
  weighted_round_robin Selector;
  std::size_t RequestsToSecond = 0;
  for (int Round = 0; Round < Rounds; ++Round)
    for (int I = 0; I < Routes; ++I)
      RequestsToSecond +=
          Selector.next(routeWith({50, 50}, "r" + std::to_string(I)));
  DOUBLES_EQUAL(0.5, static_cast<double>(RequestsToSecond) / (Routes * Rounds),
                MaxShareOff);
}

// Guards against shares that depend on what came before: after any changes of
// the weights and their scale, each service gets its share of the requests that
// follow, and none without a weight. The count may differ from the share by as
// many requests as there are services.
TEST(gateway_splits, SharesHoldAfterAnyChangeOfWeights) {
  CHECK(rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(2, 6);
    weighted_round_robin Selector;
    for (int Change = 0; Change < 6; ++Change) {
      auto Weights = *rc::gen::container<std::vector<double>>(
          Count, rc::gen::cast<double>(rc::gen::inRange(0, 101)));
      Weights[*rc::gen::inRange<std::size_t>(0, Count)] = 100;
      const double Scale = *rc::gen::element(1.0, 0.01, 1e-200, 1e200);
      double Sum = 0;
      for (double &Weight : Weights)
        Sum += Weight *= Scale;
      const int Requests = *rc::gen::inRange(1, 300);
      std::vector<int> Received(Count);
      for (int I = 0; I < Requests; ++I)
        ++Received[Selector.next(routeWith(Weights))];
      for (std::size_t I = 0; I < Count; ++I) {
        RC_ASSERT(Weights[I] > 0 || Received[I] == 0);
        RC_ASSERT(std::abs(Received[I] - Requests * Weights[I] / Sum) <=
                  static_cast<double>(Count));
      }
    }
  }));
}
