#include "support/entry_fleet.hpp"

#include <algorithm>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::fleet;
using test_support::fleet_entry;

namespace {

/// Sums over all running entries of a region that divide one limit.
struct share_sums {
  double OfDemand = 0;
  double OfDefault = 0;
};

share_sums sumsOf(const fleet &Fleet, const char *Region) {
  share_sums Sums;
  for (std::size_t I = 0; I < Fleet.Entries.size(); ++I) {
    if (!Fleet.Entries[I].Alive || Fleet.regionOf(I).str() != Region)
      continue;
    const auto &Holders = Fleet.Entries[I].Table->shareHolders();
    Sums.OfDemand += Holders.shareOf("orders");
    Sums.OfDefault += Holders.defaultShare();
  }
  return Sums;
}

/// Sum of the equal parts that all running entries of all regions use.
double equalPartsOf(const fleet &Fleet) {
  double Sum = 0;
  for (const fleet_entry &Entry : Fleet.Entries) {
    if (!Entry.Alive || !Entry.Table->shareHolders().hasEqualPart(Fleet.Now))
      continue;
    unsigned Count = 0;
    for (const char *Region : {"p", "q", "r"})
      Count += Entry.Table->holderCountOf(base::region_name(Region), Fleet.Now);
    Sum += 1.0 / Count;
  }
  return Sum;
}

/// Runs a fleet and keeps the greatest sums of all moments.
class observed_fleet : public fleet {
public:
  using fleet::fleet;

  void observe(std::chrono::milliseconds Duration) {
    for (const auto End = Now + Duration; Now < End;) {
      step();
      for (const char *Region : {"p", "q", "r"}) {
        const auto Sums = sumsOf(*this, Region);
        Greatest = std::max({Greatest, Sums.OfDemand, Sums.OfDefault});
      }
      GreatestOfEqual = std::max(GreatestOfEqual, equalPartsOf(*this));
    }
  }

  /// Cuts entries off from each other and from all others.
  void isolate(const std::vector<std::size_t> &Isolated) {
    for (const std::size_t Index : Isolated)
      for (std::size_t Other = 0; Other < Entries.size(); ++Other) {
        Cut.insert({Index, Other});
        Cut.insert({Other, Index});
      }
  }

  double Greatest = 0;
  double GreatestOfEqual = 0;
};

constexpr double Tolerance = 1e-9;

void checkSums(const observed_fleet &Fleet) {
  DOUBLES_EQUAL(0, std::max(0.0, Fleet.Greatest - 1), Tolerance);
  DOUBLES_EQUAL(0, std::max(0.0, Fleet.GreatestOfEqual - 1), Tolerance);
}

} // namespace

TEST_GROUP(membership_shares){};

// Guards against a limit that is exceeded because entries that cannot reach
// each other take the others for dead.
TEST(membership_shares, EntriesThatAreCutOffDoNotUseThePartsOfOthers) {
  for (const std::size_t Size : {10, 27, 90, 297}) {
    observed_fleet Fleet(Size, 0);
    Fleet.observe(15s);
    Fleet.isolate({0, 3, 6, 9});
    Fleet.observe(20s);
    Fleet.Cut.clear();
    Fleet.observe(10s);
    checkSums(Fleet);
    CHECK(sumsOf(Fleet, "p").OfDemand > 0.8);
  }
}

// Guards against cold targets that get no requests after all entries have
// restarted at once. Entries of large regions wait for the relays' sums.
TEST(membership_shares, SharesAreUsedSoonAfterAllRestart) {
  const std::map<std::size_t, std::chrono::milliseconds> UsedAfter{
      {10, 2s}, {27, 2s}, {90, 12s}, {297, 12s}};
  for (const auto &[Size, Time] : UsedAfter) {
    observed_fleet Fleet(Size, 0);
    Fleet.observe(15s);
    for (std::size_t I = 0; I < Size; ++I)
      Fleet.restart(I);
    Fleet.observe(Time);
    CHECK(sumsOf(Fleet, "p").OfDemand > 0.8);
    Fleet.observe(12s);
    CHECK(sumsOf(Fleet, "p").OfDemand > 0.8);
    checkSums(Fleet);
  }
}

// Guards against sums above the limit where only some of the entries have
// demand for a service, in large regions by way of the relays: the weight of
// the others must count for that service too.
TEST(membership_shares, EntriesWithoutDemandForAServiceDivideItsLimitToo) {
  for (const std::size_t Size : {10, 27, 90, 297, 1000}) {
    observed_fleet Fleet(Size, 0);
    for (std::size_t I = 0; I < Size; I += 3)
      Fleet.Entries[I].Own.Demand.clear();
    Fleet.observe(14s);
    DOUBLES_EQUAL(1, sumsOf(Fleet, "p").OfDemand, 0.01);
    checkSums(Fleet);
  }
}

// Guards against a part of the limit that stays unused although the entry that
// had it has announced its stop.
TEST(membership_shares, ThePartOfAnEntryThatLeavesIsUsedAgain) {
  observed_fleet Fleet(10, 0);
  Fleet.observe(15s);
  Fleet.Entries[1].Own.Leaving = true;
  Fleet.observe(2s);
  Fleet.Entries[1].Alive = false;
  Fleet.observe(2s);
  CHECK(sumsOf(Fleet, "p").OfDemand < 0.8);
  Fleet.observe(15s);
  DOUBLES_EQUAL(1, sumsOf(Fleet, "p").OfDemand, Tolerance);
  checkSums(Fleet);
}

// Guards against a part that is used by others while its entry is only cut off,
// and against a part that stays reserved for ever.
TEST(membership_shares, ThePartOfAnEntryThatDiedIsUsedAfterALongTime) {
  observed_fleet Fleet(10, 0);
  Fleet.observe(15s);
  Fleet.isolate({1});
  Fleet.observe(membership::SilentRetention - 10s);
  DOUBLES_EQUAL(0, Fleet.Entries[1].Table->shareHolders().shareOf("orders"), 0);
  CHECK(sumsOf(Fleet, "p").OfDemand < 0.8);
  Fleet.Entries[1].Alive = false;
  Fleet.observe(30s);
  DOUBLES_EQUAL(1, sumsOf(Fleet, "p").OfDemand, Tolerance);
  checkSums(Fleet);
}

// Guards against sums above the limit while entries are killed, return, stop,
// cannot reach each other in one or both directions, and datagrams are late.
TEST(membership_shares, SumsStayWithinTheLimitUnderRandomFaults) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::minstd_rand Random{Seed};
    const auto Pick = [&](std::size_t Count) { return Random() % Count; };
    const std::size_t Size = 6 + Pick(8);
    observed_fleet Fleet(Size, 0.02);
    Fleet.MaxDelay = 300ms;
    Fleet.observe(12s);
    for (unsigned Fault = 0; Fault < 60; ++Fault) {
      const std::size_t Entry = Pick(Size);
      switch (Pick(6)) {
      case 0:
        Fleet.Entries[Entry].Alive = false;
        break;
      case 1:
        if (!Fleet.Entries[Entry].Alive)
          Fleet.restart(Entry);
        break;
      case 2:
        Fleet.isolate({Entry});
        break;
      case 3:
        for (std::size_t Other = 0; Other < Size; Other += 2)
          Fleet.Cut.insert({Entry, Other});
        break;
      case 4:
        Fleet.Cut.clear();
        break;
      default:
        Fleet.Entries[Entry].Own.Demand["orders"] =
            static_cast<double>(Pick(20));
      }
      Fleet.observe(std::chrono::milliseconds(250 * (1 + Pick(8))));
    }
    checkSums(Fleet);
  }
}
