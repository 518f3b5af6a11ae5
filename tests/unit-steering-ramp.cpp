#include "skylarkdyke/steering/ramp.hpp"

#include <cmath>
#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using config::drain_action;
using config::drain_scope;
using steering::ramp;

static const base::wall_time Start(1000h);

static config::document makeDocument(std::vector<config::drain> Drains) {
  config::document Document;
  Document.ShiftCapPercentPerSecond = 10;
  Document.Regions.push_back(
      {base::region_name("north"),
       100,
       {base::domain_name("n-a"), base::domain_name("n-b")}});
  Document.Drains = std::move(Drains);
  return Document;
}

static config::target makeTarget() {
  config::target Target;
  Target.Id = base::target_id("t-1");
  Target.Domain = base::domain_name("n-a");
  return Target;
}

TEST_GROUP(steering_ramp){};

// Guards against a target that receives new requests after its drain started.
TEST(steering_ramp, TargetDrainsImmediately) {
  const ramp Ramp(
      makeDocument({{drain_scope::Target, "t-1", drain_action::Leave, Start}}));
  DOUBLES_EQUAL(1, Ramp.weight(makeTarget(), Start - 1ms), 0);
  DOUBLES_EQUAL(0, Ramp.weight(makeTarget(), Start), 0);
  CHECK(Ramp.completeAt(drain_scope::Target, "t-1") == Start);
}

// Guards against an earlier drain that overrides a later one of the same scope,
// and against a jump to zero when a return starts before the leave is complete.
TEST(steering_ramp, LatestDrainStartsFromTheCurrentWeight) {
  const ramp Ramp(makeDocument(
      {{drain_scope::Domain, "n-a", drain_action::Return, Start + 4s},
       {drain_scope::Domain, "n-a", drain_action::Leave, Start}}));
  DOUBLES_EQUAL(0.7, Ramp.weight(makeTarget(), Start + 3s), 1e-9);
  DOUBLES_EQUAL(0.6, Ramp.weight(makeTarget(), Start + 4s), 1e-9);
  DOUBLES_EQUAL(0.8, Ramp.weight(makeTarget(), Start + 6s), 1e-9);
  DOUBLES_EQUAL(1, Ramp.weight(makeTarget(), Start + 1h), 0);
  const auto End = *Ramp.completeAt(drain_scope::Domain, "n-a");
  CHECK(std::abs((End - (Start + 8s)) / 1us) <= 1);
}

// Guards against a scope that stays drained, or jumps back to full weight, when
// its leave has been removed from the document.
TEST(steering_ramp, ReturnWithoutLeaveRisesFromZero) {
  const ramp Ramp(makeDocument(
      {{drain_scope::Region, "north", drain_action::Return, Start}}));
  DOUBLES_EQUAL(0, Ramp.weight(makeTarget(), Start - 1s), 0);
  DOUBLES_EQUAL(0.5, Ramp.weight(makeTarget(), Start + 5s), 1e-9);
}

// Guards against a weight that changes faster than the shift cap when drains
// overlap.
TEST(steering_ramp, NeverMovesFasterThanTheCap) {
  CHECK(rc::check([] {
    std::vector<config::drain> Drains;
    const int Count = *rc::gen::inRange(0, 12);
    Drains.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Drains.push_back(
          {*rc::gen::element(drain_scope::Domain, drain_scope::Region),
           *rc::gen::element<std::string>("n-a", "north"),
           *rc::gen::element(drain_action::Leave, drain_action::Return),
           Start + 100ms * *rc::gen::inRange(0, 400)});
    const ramp Ramp(makeDocument(Drains));
    double Previous = Ramp.weight(makeTarget(), Start - 1s);
    for (auto Now = Start; Now < Start + 60s; Now += 250ms) {
      const double Weight = Ramp.weight(makeTarget(), Now);
      RC_ASSERT(Weight >= 0);
      RC_ASSERT(Weight <= 1);
      RC_ASSERT(std::abs(Weight - Previous) <=
                (Now == Start ? 0.1 : 0.025) + 1e-9);
      Previous = Weight;
    }
  }));
}
