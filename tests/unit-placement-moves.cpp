#include "skylarkdyke/placement/placer.hpp"
#include "skylarkdyke/placement/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <rapidcheck.h>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::region_name North("north");
static const base::domain_name NorthA("north-a");
static const base::service_name Stock("stock");
static const base::boot_time Start(1h);

static std::uint64_t hashOf(std::uint64_t Object) {
  return XXH3_64bits(&Object, sizeof(Object));
}

static routing::target makeTarget(unsigned Number, unsigned Slots) {
  routing::target Target;
  Target.Id = base::target_id("t" + std::to_string(Number));
  Target.Service = Stock;
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = NorthA;
  Target.Slots = Slots;
  return Target;
}

/// Returns the target that is the first choice for an object.
static std::string firstChoice(const placement::target_registry &Registry,
                               std::uint64_t Object, base::boot_time Now) {
  double LeastKey = std::numeric_limits<double>::infinity();
  std::string First;
  for (const auto *State : Registry.targetsOf(Stock)) {
    if (!Registry.acceptsRequests(*State, Now))
      continue;
    const double Key = placement::rendezvousKey(
        hashOf(Object), State->Seed,
        placement::target_registry::placementWeight(*State, Now));
    if (Key < LeastKey) {
      LeastKey = Key;
      First = State->Target.Id.str();
    }
  }
  return First;
}

static std::vector<std::string>
firstChoices(const placement::target_registry &Registry, unsigned Objects,
             base::boot_time Now) {
  std::vector<std::string> Choices;
  for (unsigned Object = 0; Object < Objects; ++Object)
    Choices.push_back(firstChoice(Registry, Object, Now));
  return Choices;
}

TEST_GROUP(placement_moves) {
  placement::target_registry Registry{{{NorthA, North}}};
};

// Guards against objects that move although their target has not changed: when
// targets of any sizes leave, only their objects move; when one joins, objects
// move to it only, never back, and it gets a part that follows its size.
TEST(placement_moves, OnlyObjectsOfChangedTargetsMove) {
  CHECK(rc::check([] {
    placement::target_registry Registry{{{NorthA, North}}};
    const auto Sizes = *rc::gen::container<std::vector<unsigned>>(
        *rc::gen::inRange(2, 13), rc::gen::inRange(1U, 10U));
    unsigned Slots = 0;
    for (unsigned I = 0; I < Sizes.size(); ++I) {
      Registry.upsert(makeTarget(I, Sizes[I]), Start);
      Slots += Sizes[I];
    }
    const unsigned Objects = 400;
    auto Now = Start + 60s;
    auto Before = firstChoices(Registry, Objects, Now);
    const auto Removed =
        makeTarget(*rc::gen::inRange<unsigned>(0, Sizes.size()), 1);
    Registry.remove(Removed.Id, Now);
    auto After = firstChoices(Registry, Objects, Now);
    for (unsigned Object = 0; Object < Objects; ++Object)
      RC_ASSERT(After[Object] == Before[Object] ||
                Before[Object] == Removed.Id.str());
    const unsigned Size = *rc::gen::inRange(1U, 10U);
    Registry.upsert(makeTarget(100, Size), Now);
    const auto Settled = Now + 60s;
    unsigned MovedBefore = 0;
    for (; Now <= Settled; Now += 500ms) {
      Before = After;
      After = firstChoices(Registry, Objects, Now);
      unsigned Moved = 0;
      for (unsigned Object = 0; Object < Objects; ++Object) {
        RC_ASSERT(After[Object] == Before[Object] || After[Object] == "t100");
        Moved += After[Object] == "t100" ? 1 : 0;
      }
      RC_ASSERT(Moved >= MovedBefore);
      MovedBefore = Moved;
    }
    const double Part =
        static_cast<double>(Size) /
        (Slots - Sizes[std::stoul(Removed.Id.str().substr(1))] + Size);
    const double Deviation = std::sqrt(Objects * Part * (1 - Part));
    RC_ASSERT(std::abs(MovedBefore - Objects * Part) < 5 * Deviation);
  }));
}

// Guards against a target that joins and makes all of its objects cold at the
// same time.
TEST(placement_moves, ATargetThatJoinsTakesOverEvenly) {
  for (unsigned I = 0; I < 3; ++I)
    Registry.upsert(makeTarget(I, 4), Start);
  const auto JoinedAt = Start + 60s;
  auto Joined = makeTarget(3, 4);
  Joined.RemainingColdTime = 3000ms;
  Registry.upsert(Joined, JoinedAt);
  const auto ObjectsAt = [&](base::boot_time Now) {
    const auto Choices = firstChoices(Registry, 2000, Now);
    return std::count(Choices.begin(), Choices.end(), "t3");
  };
  CHECK(ObjectsAt(JoinedAt + 3s) < 20);
  const auto End = ObjectsAt(JoinedAt + 10s);
  CHECK(End > 420);
  auto Before = ObjectsAt(JoinedAt + 3s);
  for (auto Now = JoinedAt + 4s; Now <= JoinedAt + 9s; Now += 1s) {
    const auto Next = ObjectsAt(Now);
    CHECK(Next - Before < End / 3);
    Before = Next;
  }
}

// Guards against moves that operators cannot tell apart.
TEST(placement_moves, MovesAreCountedByCause) {
  placement::move_counter Counter(Registry);
  const auto Record = [&](unsigned Number, base::boot_time Now) {
    Counter.record(1, *Registry.find(makeTarget(Number, 1).Id), Now);
  };
  for (unsigned I = 0; I < 3; ++I)
    Registry.upsert(makeTarget(I, 4), Start);
  Record(0, Start);
  Record(0, Start);
  Record(1, Start);
  LONGS_EQUAL(1, Counter.count(placement::move_cause::Load));
  Registry.remove(makeTarget(1, 4).Id, Start);
  Record(2, Start);
  LONGS_EQUAL(1, Counter.count(placement::move_cause::TargetGone));
  Registry.upsert(makeTarget(3, 4), Start + 20s);
  Record(3, Start + 30s);
  LONGS_EQUAL(1, Counter.count(placement::move_cause::TargetJoined));
}
