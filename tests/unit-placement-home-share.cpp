#include "skylarkdyke/placement/home_share.hpp"

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

TEST_GROUP(placement_home_share){};

// Guards against a region with few targets that keeps its whole load.
TEST(placement_home_share, APoorRegionGivesItsSurplus) {
  const placement::region_balances Balances = {
      {North, {10, 24}}, {South, {10, 8}}, {West, {10, 16}}};
  const auto Shares = placement::divideDemand(Balances, South, 1);
  DOUBLES_EQUAL(0.5, Shares.at(South), 1e-9);
  DOUBLES_EQUAL(0.5, Shares.at(North), 1e-9);
  LONGS_EQUAL(0, Shares.count(West));
  const auto Rich = placement::divideDemand(Balances, North, 1);
  DOUBLES_EQUAL(1, Rich.at(North), 1e-9);
}

// Guards against shares that do not add up, or go to regions without targets.
TEST(placement_home_share, SharesAddUpToOne) {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>> &Given,
                     unsigned Giving) {
    placement::region_balances Balances;
    double Slots = 0;
    for (const auto &[Demand, Room] : Given) {
      const base::region_name Name("r" + std::to_string(Balances.size()));
      Balances[Name] = {static_cast<double>(Demand % 100),
                        static_cast<double>(Room % 20)};
      Slots += Room % 20;
    }
    const auto Shares = placement::divideDemand(
        Balances, base::region_name("r0"), (Giving % 11) / 10.0);
    double Sum = 0;
    for (const auto &[Region, Share] : Shares) {
      RC_ASSERT(Share >= -1e-9);
      RC_ASSERT(Share < 1e-9 || Balances.at(Region).Slots > 0);
      Sum += Share;
    }
    const bool HasSlots = Slots > 0;
    RC_ASSERT(HasSlots != Shares.empty());
    RC_ASSERT(!HasSlots || std::abs(Sum - 1) < 1e-9);
  }));
}

// Guards against more requests that change regions within a moment than the
// operators allow.
TEST(placement_home_share, SharesMoveAtABoundedRate) {
  placement::gradual_shares Shares;
  Shares.approach({{North, 1}}, 0.03, Start);
  auto Now = Start;
  int Moved = 0;
  for (int Step = 0; Step < 8; ++Step) {
    Now += 250ms;
    Shares.approach({{South, 1}}, 0.03, Now);
  }
  for (std::uint64_t Object = 0; Object < 10000; ++Object)
    Moved += Shares.regionOf(North, hashOf(Object)) == South ? 1 : 0;
  CHECK(Moved > 400);
  CHECK(Moved < 800);
}

// Guards against objects that lose their warm target although only a few
// objects need to move.
TEST(placement_home_share, AGrowingShareMovesNoObjectBack) {
  placement::gradual_shares Before;
  placement::gradual_shares After;
  Before.approach({{North, 0.7}, {South, 0.3}}, 1, Start);
  After.approach({{North, 0.6}, {South, 0.4}}, 1, Start);
  for (std::uint64_t Object = 0; Object < 10000; ++Object)
    if (Before.regionOf(North, hashOf(Object)) == South)
      CHECK(After.regionOf(North, hashOf(Object)) == South);
}
