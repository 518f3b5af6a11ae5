#include "skylarkdyke/steering/failure_detector.hpp"

#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using steering::failure_detector;

static const base::boot_time Start(1h);

static std::vector<failure_detector> allDetectors() {
  return {steering::fixed_timeout(500ms),
          steering::heartbeat_counting(800ms, 3),
          steering::adaptive_timeout(200ms, 150ms, 10)};
}

TEST_GROUP(steering_failure_detector){};

// Guards against a detector that never suspects a silent process, or keeps
// suspecting it after its heartbeats resume.
TEST(steering_failure_detector, SuspectsSilenceAndRecovers) {
  for (failure_detector &Detector : allDetectors()) {
    CHECK(suspects(Detector, Start));
    base::boot_time Now = Start;
    std::uint64_t Sequence = 0;
    for (int I = 0; I < 20; ++I, Now += 200ms)
      heartbeat(Detector, ++Sequence, Now);
    CHECK(!suspects(Detector, Now));
    CHECK(suspects(Detector, Now + 1s));
    // The sender was paused and continues with the next sequence number.
    Now += 10s;
    for (int I = 0; I < 5; ++I, Now += 200ms)
      heartbeat(Detector, ++Sequence, Now);
    CHECK(!suspects(Detector, Now - 1ms));
  }
}

// Guards against an adaptive estimate that still uses delays from before a
// pause of the sender, so that all heartbeats after the pause look late.
TEST(steering_failure_detector, AdaptiveEstimateFollowsAPausedSender) {
  failure_detector Detector = steering::adaptive_timeout(200ms, 150ms, 100);
  base::boot_time Now = Start;
  for (std::uint64_t Sequence = 1; Sequence <= 200; ++Sequence) {
    Now += Sequence == 101 ? 500ms : 200ms;
    LONGS_EQUAL(Sequence == 1 || Sequence == 101,
                suspects(Detector, Now - 1ms));
    heartbeat(Detector, Sequence, Now);
  }
}

// Guards against counting old heartbeats that a restored connection delivers
// late, and against suspecting a process whose heartbeats vary within the
// margin.
TEST(steering_failure_detector, IgnoresRepeatedHeartbeatsAndToleratesJitter) {
  CHECK(rc::check([] {
    for (failure_detector &Detector : allDetectors()) {
      base::boot_time Arrival = Start;
      for (int I = 1; I <= 40; ++I) {
        const auto Next = Start + 200ms * I +
                          std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        // The counting detector needs three arrivals.
        RC_ASSERT(I <= 3 || !suspects(Detector, Next));
        Arrival = Next;
        heartbeat(Detector, static_cast<std::uint64_t>(I), Arrival);
      }
      for (int I = 1; I <= 40; ++I)
        heartbeat(Detector, static_cast<std::uint64_t>(I), Arrival + 900ms);
      RC_ASSERT(suspects(Detector, Arrival + 901ms));
    }
  }));
}
