#include "support/entry_fleet.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

using test_support::fleet;
using test_support::fleet_entry;
using test_support::RegionOf;

TEST_GROUP(membership_fleet){
    /// Checks that each entry knows the entries of its region that live, and no
    /// others.
    static void checkAllKnown(const fleet &Fleet){
        std::map<base::region_name, std::size_t> Living;
for (const fleet_entry &Entry : Fleet.Entries)
  Living[RegionOf.at(Entry.Own.Domain)] += Entry.Alive ? 1 : 0;
for (std::size_t I = 0; I < Fleet.Entries.size(); ++I)
  if (Fleet.Entries[I].Alive)
    LONGS_EQUAL(Living[RegionOf.at(Fleet.Entries[I].Own.Domain)],
                Fleet.liveLocalCount(I));
}

/// Returns the mean number of messages that an entry sends in a second.
static double messageRate(std::size_t Size) {
  fleet Fleet(Size, 0);
  Fleet.run(7s);
  for (fleet_entry &Entry : Fleet.Entries)
    Entry.Sent = 0;
  Fleet.run(4s);
  double Sent = 0;
  for (const fleet_entry &Entry : Fleet.Entries)
    Sent += static_cast<double>(Entry.Sent);
  return Sent / static_cast<double>(Size) / 4;
}
}
;

// Guards against entries that do not find each other when a whole fleet starts
// at the same time and knows three seeds only.
TEST(membership_fleet, AFleetThatStartsAtOnceIsKnownWithinSeconds) {
  for (const std::size_t Size : {9, 40, 150, 297}) {
    fleet Fleet(Size, 0);
    Fleet.run(6s);
    checkAllKnown(Fleet);
  }
}

// Guards against entries that never hear that a target leaves, and against
// messages about it that grow with the square of the fleet.
TEST(membership_fleet, ANoticeReachesEveryEntryOnce) {
  for (const std::size_t Size : {10, 70, 295}) {
    fleet Fleet(Size, 0);
    Fleet.run(8s);
    for (const std::size_t Origin : {std::size_t{0}, Size / 2, Size - 1}) {
      const auto [Informed, MessageCount] = Fleet.spreadNotice(Origin);
      LONGS_EQUAL(Size, Informed);
      CHECK(MessageCount < 5 * Size);
    }
  }
}

// Guards against dead entries that stay in the answers of the directory because
// relays report them to each other again and again, and against entries that
// are lost together with the relays.
TEST(membership_fleet, HalfOfTheFleetVanishesAndReturns) {
  fleet Fleet(180, 0.02);
  Fleet.run(8s);
  for (std::size_t I = 0; I < 180; I += 2)
    Fleet.Entries[I].Alive = false;
  Fleet.run(8s);
  for (std::size_t I = 1; I < 180; I += 2)
    LONGS_EQUAL(30, Fleet.liveLocalCount(I));
  for (std::size_t I = 0; I < 180; I += 2)
    Fleet.restart(I);
  Fleet.run(8s);
  checkAllKnown(Fleet);
}

// Guards against a fleet that is without relays because those of a region die
// at the same moment.
TEST(membership_fleet, OtherEntriesTakeOverFromDeadRelays) {
  fleet Fleet(180, 0);
  Fleet.run(8s);
  for (fleet_entry &Entry : Fleet.Entries)
    Entry.Alive = !Entry.Table->isRelay();
  Fleet.run(8s);
  checkAllKnown(Fleet);
}

// Guards against failure domains that nobody sends the changes of the store for
// longer than these may take, and against entries that all watch the store.
TEST(membership_fleet, RelaysThatVanishAreReplacedWithinTheBoundOfOperators) {
  for (const std::size_t Size : {18, 297}) {
    fleet Fleet(Size, 0);
    Fleet.run(8s);
    std::map<base::domain_name, std::size_t> Relays;
    for (fleet_entry &Entry : Fleet.Entries)
      Entry.Alive = !Entry.Table->isRelay();
    Fleet.run(2250ms);
    for (const fleet_entry &Entry : Fleet.Entries)
      Relays[Entry.Own.Domain] += Entry.Alive && Entry.Table->isRelay() ? 1 : 0;
    for (const auto &[Domain, Count] : Relays)
      CHECK_TEXT(Count >= 1 && Count <= 4,
                 (Domain.str() + " has " + std::to_string(Count)).c_str());
  }
}

// Guards against relays that change on a calm day.
TEST(membership_fleet, RelaysStayTheSameWhileAllIsWell) {
  for (const std::size_t Size : {18, 90}) {
    fleet Fleet(Size, 0);
    Fleet.run(8s);
    std::vector<bool> Before;
    for (const fleet_entry &Entry : Fleet.Entries)
      Before.push_back(Entry.Table->isRelay());
    for (int Step = 0; Step < 20; ++Step) {
      Fleet.run(250ms);
      for (std::size_t I = 0; I < Size; ++I)
        CHECK_EQUAL(Before[I], Fleet.Entries[I].Table->isRelay());
    }
  }
}

// Guards against shares of limits that add up to more than the limit, because
// entries do not know the demand or the number of the others.
TEST(membership_fleet, AllEntriesKnowTheTotalsOfEachRegion) {
  fleet Fleet(180, 0.02);
  Fleet.run(12s);
  for (const fleet_entry &Entry : Fleet.Entries)
    for (const char *Region : {"r", "q", "p"}) {
      const base::region_name Name(Region);
      LONGS_EQUAL(60, Entry.Table->entryCountOf(Name, Fleet.Now));
      DOUBLES_EQUAL(
          120,
          Entry.Table->demandOf(Name, Entry.Own.Demand, Fleet.Now).at("orders"),
          12);
    }
}

// Guards against a total that never falls because relays report it to each
// other.
TEST(membership_fleet, DemandThatEndsIsForgotten) {
  fleet Fleet(180, 0);
  Fleet.run(8s);
  for (fleet_entry &Entry : Fleet.Entries)
    Entry.Own.Demand["orders"] = 0;
  Fleet.run(6s);
  for (const fleet_entry &Entry : Fleet.Entries)
    for (const char *Region : {"r", "q", "p"})
      DOUBLES_EQUAL(0,
                    Entry.Table->demandOf(base::region_name(Region),
                                          Entry.Own.Demand,
                                          Fleet.Now)["orders"],
                    0);
}

// Guards against messages of the whole fleet that grow with the square of its
// size.
TEST(membership_fleet, MessagesOfAnEntryDoNotGrowWithTheFleet) {
  const double Small = messageRate(27);
  const double Large = messageRate(297);
  CHECK(Large < Small);
}
