#include "skylarkdyke/steering/target_chooser.hpp"

#include <deque>
#include <map>
#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using steering::attempt_result;
using steering::target_chooser;
using steering::weighted_target;

static const base::boot_time Start(1h);

static weighted_target makeTarget(const std::string &Id, unsigned Slots = 4,
                                  double Weight = 1) {
  config::target Target;
  Target.Id = base::target_id(Id);
  Target.Slots = Slots;
  return {Target, Weight};
}

TEST_GROUP(steering_target_chooser) {
  target_chooser Chooser;

  std::string acquire(base::boot_time Now) {
    const auto Target = Chooser.acquire(100, {}, Now);
    return Target ? Target->Id.str() : "";
  }
  void release(const std::string &Id, attempt_result Result,
               base::boot_time Now, std::chrono::nanoseconds Latency = 1ms) {
    Chooser.release(base::target_id(Id), Result, Latency, Now);
  }
};

// Guards against requests that wait for a busy target while another has free
// slots.
TEST(steering_target_chooser, SelectsTheTargetWithTheLowestUtilization) {
  Chooser.configure({makeTarget("a", 2), makeTarget("b", 4)}, Start);
  std::map<std::string, int> Counts;
  for (int I = 0; I < 6; ++I)
    ++Counts[acquire(Start)];
  LONGS_EQUAL(2, Counts["a"]);
  LONGS_EQUAL(4, Counts["b"]);
  STRCMP_EQUAL("", acquire(Start).c_str());
}

// Guards against preferring a slower target when both are equally loaded.
TEST(steering_target_chooser, BreaksTiesByOwnLatency) {
  Chooser.configure({makeTarget("a"), makeTarget("b")}, Start);
  const std::string First = acquire(Start);
  const std::string Second = acquire(Start);
  CHECK(First != Second);
  release(First, attempt_result::Completed, Start, 9ms);
  release(Second, attempt_result::Completed, Start, 2ms);
  STRCMP_EQUAL(Second.c_str(), acquire(Start).c_str());
}

// Guards against a broken target that attracts requests: it reports itself idle
// and returns errors fast, so it always has free slots.
TEST(steering_target_chooser, BrokenTargetDoesNotAttractWork) {
  Chooser.configure({makeTarget("bad"), makeTarget("b"), makeTarget("c")},
                    Start);
  int SentToBroken = 0;
  for (int I = 0; I < 1000; ++I) {
    const auto Now = Start + I * 1ms;
    Chooser.reportProbe(base::target_id("bad"), true, 0, Now);
    const std::string Chosen = acquire(Now);
    SentToBroken += Chosen == "bad" ? 1 : 0;
    release(Chosen,
            Chosen == "bad" ? attempt_result::ErrorResponse
                            : attempt_result::Completed,
            Now, Chosen == "bad" ? 1us : 5ms);
  }
  CHECK(SentToBroken > 0);
  CHECK(SentToBroken <= 4);
}

// Guards against ejecting all targets of a service when the requests, not the
// targets, cause the errors.
TEST(steering_target_chooser, ErrorAnswersEjectAtMostHalfOfTheTargets) {
  Chooser.configure({makeTarget("a"), makeTarget("b"), makeTarget("c")}, Start);
  for (int I = 0; I < 100; ++I) {
    const std::string Chosen = acquire(Start);
    CHECK(!Chosen.empty());
    release(Chosen, attempt_result::ErrorResponse, Start);
  }
  LONGS_EQUAL(8, Chooser.usableSlots(Start));
}

// Guards against a cold target that receives its full share at once.
TEST(steering_target_chooser, ReturnsWithSlowStart) {
  Chooser.configure({makeTarget("a"), makeTarget("b")}, Start);
  for (int I = 0; I < 2; ++I)
    release("a", attempt_result::Failed, Start);
  LONGS_EQUAL(4, Chooser.usableSlots(Start));
  LONGS_EQUAL(5, Chooser.usableSlots(Start + 1s));
  LONGS_EQUAL(6, Chooser.usableSlots(Start + 6s));
  LONGS_EQUAL(8, Chooser.usableSlots(Start + 11s));
}

// Guards against a wrong health endpoint that takes a working target, or all
// targets, out of service.
TEST(steering_target_chooser, OwnObservationOverridesProbes) {
  Chooser.configure({makeTarget("a"), makeTarget("b")}, Start);
  release("a", attempt_result::Completed, Start);
  Chooser.reportProbe(base::target_id("a"), false, 0, Start);
  LONGS_EQUAL(8, Chooser.usableSlots(Start));
  LONGS_EQUAL(4, Chooser.usableSlots(Start + 2s));
  Chooser.reportProbe(base::target_id("b"), false, 0, Start + 2s);
  LONGS_EQUAL(8, Chooser.usableSlots(Start + 2s));
}

// Guards against a jump of the traffic at the start of a drain's ramp, and
// against a draining target that attracts requests because it has free slots.
TEST(steering_target_chooser, ShareFollowsTheWeightAtAnyLoad) {
  for (const unsigned InFlight : {1U, 3U, 5U}) {
    for (const double Weight : {0.95, 0.7, 0.3, 0.05}) {
      target_chooser Balancer;
      Balancer.configure({makeTarget("a", 4, Weight), makeTarget("b"),
                          makeTarget("c", 4, Weight), makeTarget("d")},
                         Start);
      std::deque<base::target_id> Running;
      double SentToDraining = 0;
      for (int I = 0; I < 4000; ++I) {
        Running.push_back(Balancer.acquire(100, {}, Start)->Id);
        const std::string Id = Running.back().str();
        SentToDraining += Id == "a" || Id == "c" ? 1 : 0;
        if (Running.size() < InFlight)
          continue;
        Balancer.release(Running.front(), attempt_result::Completed, 1ms,
                         Start);
        Running.pop_front();
      }
      DOUBLES_EQUAL(Weight / 2, SentToDraining / 4000, 0.01);
    }
  }
}

// Guards against more requests at a target than it has slots, and against new
// requests at targets with weight 0, in any order of calls.
TEST(steering_target_chooser, SlotsNeverExceedTheLimit) {
  CHECK(rc::check([] {
    target_chooser Balancer;
    std::map<std::string, weighted_target> Configured;
    std::map<std::string, unsigned> InUse;
    base::boot_time Now = Start;
    const auto Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      const int Action = *rc::gen::inRange(0, 8);
      const std::string Id(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
      if (Action == 0) {
        Configured.clear();
        std::vector<weighted_target> Targets;
        for (char Name = 'a'; Name < 'f'; ++Name)
          if (*rc::gen::inRange(0, 3) > 0)
            Targets.push_back(
                makeTarget(std::string(1, Name),
                           static_cast<unsigned>(*rc::gen::inRange(1, 5)),
                           *rc::gen::inRange(0, 5) / 4.0));
        for (const auto &Target : Targets)
          Configured[Target.Target.Id.str()] = Target;
        Balancer.configure(Targets, Now);
      } else if (Action <= 4) {
        const auto Max = static_cast<unsigned>(*rc::gen::inRange(1, 6));
        const auto Target = Balancer.acquire(Max, {base::target_id(Id)}, Now);
        if (!Target)
          continue;
        const std::string Chosen = Target->Id.str();
        RC_ASSERT(Chosen != Id);
        RC_ASSERT(Configured.count(Chosen) == 1);
        RC_ASSERT(Configured[Chosen].Weight > 0);
        RC_ASSERT(++InUse[Chosen] <=
                  std::min(Max, Configured[Chosen].Target.Slots));
      } else if (Action <= 6) {
        if (InUse[Id] == 0)
          continue;
        --InUse[Id];
        Balancer.release(base::target_id(Id),
                         static_cast<attempt_result>(*rc::gen::inRange(0, 5)),
                         1ms, Now);
      } else {
        Balancer.reportProbe(base::target_id(Id), *rc::gen::arbitrary<bool>(),
                             1, Now);
      }
      unsigned Total = 0;
      for (const auto &[Name, Count] : InUse)
        Total += Count;
      RC_ASSERT(Balancer.slotsInUse() == Total);
    }
  }));
}
