#include "skylarkdyke/placement/region_shares.hpp"

#include <cmath>
#include <rapidcheck.h>
#include <xxhash.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::region_name North("north");
static const base::region_name South("south");
static const base::region_name West("west");
static const base::boot_time Start(1h);

static std::uint64_t hashOf(std::uint64_t Object) {
  return XXH3_64bits(&Object, sizeof(Object));
}

TEST_GROUP(placement_region_shares){};

// Guards against a region that keeps all its demand although its share of the
// slots is smaller than its share of the demand.
TEST(placement_region_shares, OverloadedRegionSpillsOver) {
  const placement::region_loads Loads = {
      {North, {10, 24}}, {South, {10, 8}}, {West, {10, 16}}};
  const auto Shares = placement::distributeDemand(Loads, South, 1);
  DOUBLES_EQUAL(0.5, Shares.at(South), 1e-9);
  DOUBLES_EQUAL(0.5, Shares.at(North), 1e-9);
  LONGS_EQUAL(0, Shares.count(West));
  const auto NorthShares = placement::distributeDemand(Loads, North, 1);
  DOUBLES_EQUAL(1, NorthShares.at(North), 1e-9);
}

// Guards against shares that do not add up to 1 or that are assigned to regions
// without slots.
TEST(placement_region_shares, SharesAddUpToOne) {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>> &Inputs,
                     unsigned SpilloverFraction) {
    placement::region_loads Loads;
    double Slots = 0;
    for (const auto &[Demand, SlotCount] : Inputs) {
      const base::region_name Name("r" + std::to_string(Loads.size()));
      Loads[Name] = {static_cast<double>(Demand % 100),
                     static_cast<double>(SlotCount % 20)};
      Slots += SlotCount % 20;
    }
    const auto Shares = placement::distributeDemand(
        Loads, base::region_name("r0"), (SpilloverFraction % 11) / 10.0);
    double Sum = 0;
    for (const auto &[Region, Share] : Shares) {
      RC_ASSERT(Share >= -1e-9);
      RC_ASSERT(Share < 1e-9 || Loads.at(Region).Slots > 0);
      Sum += Share;
    }
    const bool HasSlots = Slots > 0;
    RC_ASSERT(HasSlots != Shares.empty());
    RC_ASSERT(!HasSlots || std::abs(Sum - 1) < 1e-9);
  }));
}

// Guards against shares that jump to a new goal: more requests change regions
// per second than the bound allows.
TEST(placement_region_shares, SharesChangeAtABoundedRate) {
  placement::rate_limited_shares Shares;
  Shares.approach({{North, 1}}, 0.03, Start);
  auto Now = Start;
  int MovedObjects = 0;
  for (int Step = 0; Step < 8; ++Step) {
    Now += 250ms;
    Shares.approach({{South, 1}}, 0.03, Now);
  }
  for (std::uint64_t Object = 0; Object < 10000; ++Object)
    MovedObjects += Shares.regionOf(North, hashOf(Object)) == South ? 1 : 0;
  CHECK(MovedObjects > 400);
  CHECK(MovedObjects < 800);
}

// Guards against moves between regions whose shares only gain: objects that
// leave a region are the only ones that move.
TEST(placement_region_shares, OnlyObjectsOfTheShrinkingRegionMove) {
  placement::rate_limited_shares Before;
  placement::rate_limited_shares After;
  Before.approach({{North, 0.2}, {South, 0.6}, {West, 0.2}}, 1, Start);
  After.approach({{North, 0.3}, {South, 0.4}, {West, 0.3}}, 1, Start);
  for (std::uint64_t Object = 0; Object < 10000; ++Object)
    if (!(Before.regionOf(South, hashOf(Object)) == South))
      CHECK(Before.regionOf(South, hashOf(Object)) ==
            After.regionOf(South, hashOf(Object)));
}

// Guards against needless moves: when a region's share grows, objects that are
// already there stay and keep their warm targets.
TEST(placement_region_shares, GrowingShareKeepsItsObjects) {
  placement::rate_limited_shares Before;
  placement::rate_limited_shares After;
  Before.approach({{North, 0.7}, {South, 0.3}}, 1, Start);
  After.approach({{North, 0.6}, {South, 0.4}}, 1, Start);
  for (std::uint64_t Object = 0; Object < 10000; ++Object)
    if (Before.regionOf(North, hashOf(Object)) == South)
      CHECK(After.regionOf(North, hashOf(Object)) == South);
}
