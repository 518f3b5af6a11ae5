#include "support/placer_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <string>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::fleet_knowledge;
using test_support::placer_fleet;

/// Largest number of requests that a cold target may get in one second: 1.5
/// times the rate that it tolerates, plus 5.
static constexpr double MaxInASecond = 1.5 * placer_fleet::ColdRate + 5;

static const std::vector<std::string> ColdTargets{"cold-1", "cold-2", "cold-3"};

TEST_GROUP(placement_cold_fleet){
    static void checkBound(const placer_fleet &Fleet){
        for (const std::string &Id
             : ColdTargets)
            CHECK(Fleet.mostInASecondWhileCold(Id) <= MaxInASecond);
}

/// Checks that the targets got at least half of what their rate allows.
static void checkUse(const placer_fleet &Fleet,
                     std::chrono::duration<double> Time) {
  for (const std::string &Id : ColdTargets)
    CHECK(Fleet.sentTo(Id) >= Time.count() * placer_fleet::ColdRate / 2);
}

static void addColdTargets(placer_fleet &Fleet,
                           std::chrono::milliseconds ColdTime) {
  for (const std::string &Id : ColdTargets)
    Fleet.addTarget(Id, ColdTime);
}

static void addWarmTargets(placer_fleet &Fleet, int Count) {
  for (int I = 0; I < Count; ++I)
    Fleet.addTarget("warm-" + std::to_string(I), 0ms);
}

static void removeWarmTargets(placer_fleet &Fleet, int Count) {
  for (int I = 0; I < Count; ++I)
    Fleet.removeTarget("warm-" + std::to_string(I));
}
}
;

// Guards against a cold target that is flooded by many entries of its region,
// each with few requests, and against cold targets that are not used.
TEST(placement_cold_fleet, ManyEntriesTogetherKeepTheRate) {
  for (const std::size_t Size : {1, 3, 10, 100, 300, 1000})
    for (unsigned Seed = 1; Seed <= 4; ++Seed) {
      placer_fleet Fleet(Size, 0, Seed);
      addColdTargets(Fleet, 4s);
      Fleet.run(4s, std::max(10.0, 40.0 / static_cast<double>(Size)));
      checkBound(Fleet);
      checkUse(Fleet, 4s);
      for (const auto RetryAfter : Fleet.Refusals)
        CHECK(RetryAfter > 0ms && RetryAfter <= 4s);
    }
}

// Guards against entries of other regions that send to a cold target beside
// those of its own.
TEST(placement_cold_fleet, EntriesOfOtherRegionsLeaveTheRateToThoseOfItsOwn) {
  for (const auto &[Local, Other] :
       {std::pair<std::size_t, std::size_t>{3, 9}, {100, 183}, {333, 667}})
    for (unsigned Seed = 1; Seed <= 4; ++Seed) {
      placer_fleet Fleet(Local, Other, Seed);
      addColdTargets(Fleet, 4s);
      Fleet.run(4s, 10);
      checkBound(Fleet);
      checkUse(Fleet, 4s);
    }
}

// Guards against a burst of entries that have just started, and know of no part
// of the rate that is theirs.
TEST(placement_cold_fleet, EntriesThatHaveJustStartedKeepTheRate) {
  for (const std::size_t Size : {10, 100, 300, 1000}) {
    placer_fleet Fleet(Size, Size, 1, fleet_knowledge::JustStarted);
    addColdTargets(Fleet, 4s);
    Fleet.run(4s, 10);
    checkBound(Fleet);
  }
}

// Guards against entries of all other regions that each send to the cold
// targets of a region without entries, and against such targets that are not
// used.
TEST(placement_cold_fleet, TheTargetsOfARegionWithoutEntriesKeepTheRate) {
  for (const std::size_t Size : {10, 283, 1000})
    for (unsigned Seed = 1; Seed <= 4; ++Seed) {
      placer_fleet Fleet(0, Size, Seed);
      addColdTargets(Fleet, 4s);
      Fleet.run(4s, 10);
      checkBound(Fleet);
      checkUse(Fleet, 4s);
    }
}

// Guards against sends that entries save up while they do not need a cold
// target, and that all come once the warm ones are gone.
TEST(placement_cold_fleet, UnusedSendsAreNotSavedUp) {
  for (const std::size_t Size : {10, 100, 300, 1000})
    for (unsigned Seed = 1; Seed <= 4; ++Seed) {
      placer_fleet Fleet(Size, 0, Seed);
      addWarmTargets(Fleet, 60);
      Fleet.run(11s, 0.1);
      addColdTargets(Fleet, 20s);
      Fleet.run(9s, 1);
      removeWarmTargets(Fleet, 60);
      Fleet.run(3s, 10);
      checkBound(Fleet);
      checkUse(Fleet, 3s);
    }
}

// Guards against entries that have no demand yet and use a default part of the
// rate beside those that divide the whole rate by demand.
TEST(placement_cold_fleet, PartsByDemandAndDefaultPartsDoNotAddUp) {
  for (const std::size_t Size : {10, 100, 300, 1000})
    for (unsigned Seed = 1; Seed <= 4; ++Seed) {
      placer_fleet Fleet(Size, 0, Seed, fleet_knowledge::DemandAtSome);
      addColdTargets(Fleet, 4s);
      Fleet.run(4s, 10);
      checkBound(Fleet);
      checkUse(Fleet, 4s);
    }
}

// Guards against a target that gets the first request of every entry at the
// same moment, because each wants to measure its speed.
TEST(placement_cold_fleet, FirstRequestsToATargetThatJoinsAreSpread) {
  for (const std::size_t Size : {10, 100, 300, 1000}) {
    placer_fleet Fleet(Size, 0, 1);
    addWarmTargets(Fleet, 200);
    Fleet.run(11s, 0.1);
    addColdTargets(Fleet, 0ms);
    Fleet.run(4s, 5);
    // Beside the first uses a target that joins has up to 3 in 203 of the
    // requests.
    const double Usual = 5 * static_cast<double>(Size) / 203;
    for (const std::string &Id : ColdTargets) {
      CHECK(Fleet.mostInASecond(Id) <=
            MaxInASecond + Usual + 4 * std::sqrt(Usual));
      CHECK(Fleet.sentTo(Id) >= 1);
    }
  }
}

// Guards against sends that go on at the cold rate right after those of the
// time before the news of a cold target, which differs between the entries.
TEST(placement_cold_fleet, SendsBeforeTheNewsOfAColdTargetCount) {
  for (const std::size_t Size : {10, 100, 300})
    for (unsigned Seed = 1; Seed <= 10; ++Seed) {
      placer_fleet Fleet(Size, 0, Seed);
      addWarmTargets(Fleet, 57);
      addColdTargets(Fleet, 0ms);
      // 6 requests a second for each target.
      const double Rate = 360 / static_cast<double>(Size);
      Fleet.run(2s, Rate);
      for (const std::string &Id : ColdTargets)
        Fleet.turnCold(Id, 3s, 300ms);
      Fleet.run(3s, Rate);
      checkBound(Fleet);
    }
}

// Guards against entries whose clocks differ, so that their slots overlap.
TEST(placement_cold_fleet, EntriesWithDifferentClocksKeepTheRate) {
  for (const std::size_t Size : {10, 100, 300})
    for (unsigned Seed = 1; Seed <= 10; ++Seed) {
      placer_fleet Fleet(Size, 0, Seed);
      Fleet.setClockSkew(std::chrono::milliseconds(200 * Seed));
      addColdTargets(Fleet, 10s);
      Fleet.run(10s, 10);
      checkBound(Fleet);
      checkUse(Fleet, 10s);
    }
}
