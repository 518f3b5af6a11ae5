#include "skylarkdyke/membership/member_table.hpp"

#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::endpoint OwnAddress{"10.0.0.1", 8649};
static const base::endpoint Peer{"10.0.0.2", 8649};
static const base::boot_time Start(1h);

static membership::entry_status
makeStatus(const std::string &Name, const char *Ip, const char *Domain = "z") {
  membership::entry_status Status;
  Status.Name = Name;
  Status.Incarnation = 7;
  Status.Domain = base::domain_name(Domain);
  Status.MeshAddress = {Ip, 8649};
  Status.FrontAddress = {Ip, 8641};
  Status.Ready = true;
  Status.Capacity = 100;
  Status.Demand["orders"] = 2.5;
  return Status;
}

TEST_GROUP(membership_table) {
  membership::member_table Table{
      OwnAddress,
      base::region_name("r"),
      {{base::domain_name("z"), base::region_name("r")},
       {base::domain_name("far"), base::region_name("q")}}};

  std::size_t dueCount(base::boot_time Now) {
    std::size_t Count = 0;
    for (const auto &[Period, Addresses] : Table.takeDueHeartbeats(Now))
      Count += Addresses.size();
    return Count;
  }
  /// Returns the number of heartbeats that one entry sends in 20 s to live
  /// entries.
  std::size_t countHeartbeats(int LocalCount, int RemoteCount) {
    auto Now = Start;
    std::size_t Sent = 0;
    for (int Step = 0; Step < 80; ++Step, Now += 250ms) {
      for (int I = 0; I < LocalCount + RemoteCount; ++I) {
        const std::string Ip = "10.0.1." + std::to_string(I);
        Table.recordHeartbeat(makeStatus("n" + std::to_string(I), Ip.c_str(),
                                         I < LocalCount ? "z" : "far"),
                              Now);
      }
      Sent += dueCount(Now);
    }
    return Sent;
  }
};

// Guards against fields of a heartbeat that are lost in encoding or decoding.
TEST(membership_table, StatusRoundTrips) {
  auto Status = makeStatus("n", "10.0.0.2");
  Status.ChangeRevision = 12345678901;
  Status.KnownAddresses = {Peer};
  const auto Decoded = membership::decodeStatus(membership::encode(Status));
  CHECK(Decoded.has_value());
  CHECK(Decoded->FrontAddress == Status.FrontAddress &&
        Decoded->KnownAddresses == Status.KnownAddresses);
  CHECK(Decoded->ChangeRevision == Status.ChangeRevision);
  DOUBLES_EQUAL(2.5, Decoded->Demand.at("orders"), 1e-9);
}

// Guards against foreign or truncated datagrams that terminate the process or
// are accepted.
TEST(membership_table, ForeignDatagramsAreIgnored) {
  CHECK(rc::check(
      [](const std::string &Bytes) { membership::decodeStatus(Bytes); }));
  std::string Truncated = membership::encode(makeStatus("n", "10.0.0.2"));
  while (!Truncated.empty()) {
    Truncated.pop_back();
    CHECK(!membership::decodeStatus(Truncated));
  }
}

// Guards against a datagram that declares an object of excessive size: the
// parser throws on it even with exceptions disabled.
TEST(membership_table, ExcessiveSizesAreIgnored) {
  CHECK(!membership::decodeStatus("\xBB\x61\x61\x61\x61\x61\x61\x61\x61"));
}

// Guards against dead entries that are still assigned to callers.
TEST(membership_table, SilentEntriesAreNotLive) {
  CHECK(Table.recordHeartbeat(makeStatus("n", "10.0.0.2"), Start));
  CHECK(!Table.recordHeartbeat(makeStatus("n", "10.0.0.2"), Start + 1s));
  LONGS_EQUAL(1, Table.liveMembers(Start + 2s).size());
  LONGS_EQUAL(0, Table
                     .liveMembers(Start + 1s +
                                  3 * membership::LocalHeartbeatPeriod + 201ms)
                     .size());
  CHECK(Table.recordHeartbeat(makeStatus("n", "10.0.0.2"), Start + 10s));
}

// Guards against an entry that contacts itself, and against heartbeats to dead
// entries that continue at the full rate or indefinitely.
TEST(membership_table, ContactsLiveEntriesOftenAndDeadOnesRarely) {
  Table.addAddress(OwnAddress, Start);
  Table.addAddress(Peer, Start);
  auto Now = Start;
  unsigned LiveHeartbeats = 0;
  for (int Step = 0; Step < 40; ++Step, Now += 250ms) {
    Table.recordHeartbeat(makeStatus("n", "10.0.0.2"), Now);
    LiveHeartbeats += static_cast<unsigned>(dueCount(Now));
  }
  LONGS_EQUAL(20, LiveHeartbeats);
  Now += 20s;
  unsigned DeadProbes = 0;
  for (int Step = 0; Step < 40; ++Step, Now += 250ms)
    DeadProbes += static_cast<unsigned>(dueCount(Now));
  CHECK(DeadProbes <= 6);
  LONGS_EQUAL(0, dueCount(Now + membership::DeadContactRetention));
}

// Guards against entries that are not discovered while the store is
// unavailable.
TEST(membership_table, DiscoversAddressesFromHeartbeats) {
  auto Status = makeStatus("n", "10.0.0.2");
  Status.KnownAddresses = {{"10.0.0.3", 8649}};
  Table.recordHeartbeat(Status, Start);
  LONGS_EQUAL(2, dueCount(Start));
}

// Guards against heartbeat traffic that grows with the square of the fleet, and
// against needless traffic between regions.
TEST(membership_table, HeartbeatRateFallsWithDistanceAndFleetSize) {
  const auto SmallFleetCount = countHeartbeats(3, 6);
  CHECK(SmallFleetCount < 20 * (3 * 2 + 6 * 1) * 1.1);
  const auto LargeFleetCount = countHeartbeats(24, 48);
  CHECK(LargeFleetCount < 8 * SmallFleetCount * 0.6);
}

// Guards against an entry that counts as dead between two heartbeats, and
// against dead entries that are assigned to callers for too long.
TEST(membership_table, LivenessTimeoutFollowsTheSendersPeriod) {
  auto Status = makeStatus("n", "10.0.0.2", "far");
  Status.NextHeartbeatIn = membership::MaxRemoteHeartbeatPeriod;
  Table.recordHeartbeat(Status, Start);
  LONGS_EQUAL(1, Table.liveMembers(Start + 4s).size());
  LONGS_EQUAL(0, Table.liveMembers(Start + 6s).size());
}

TEST_GROUP(membership_directory) {
  const std::map<base::domain_name, base::region_name> RegionOf = {
      {base::domain_name("z"), base::region_name("r")},
      {base::domain_name("far"), base::region_name("q")},
      {base::domain_name("home"), base::region_name("h")}};
  std::vector<membership::entry_status> Ready = {
      makeStatus("a", "10.0.0.2"), makeStatus("b", "10.0.0.3"),
      makeStatus("c", "10.0.0.4", "far"), makeStatus("d", "10.0.0.5", "home")};
  membership::entry_query Query{"h.example", base::region_name("r"), {}, 50};
};

// Guards against callers that are needlessly directed to another region, and
// against entries that give different answers for the same host.
TEST(membership_directory, SelectsTheSameEntriesOfTheCallersRegion) {
  const auto First = membership::entriesForCaller(Ready, RegionOf, Query, 9);
  LONGS_EQUAL(1, First.size());
  std::reverse(Ready.begin(), Ready.end());
  CHECK(membership::entriesForCaller(Ready, RegionOf, Query, 9) == First);
  Query.Rate = 150;
  LONGS_EQUAL(2,
              membership::entriesForCaller(Ready, RegionOf, Query, 9).size());
  LONGS_EQUAL(1,
              membership::entriesForCaller(Ready, RegionOf, Query, 1).size());
}

// Guards against one entry that gets the requests of all hosts.
TEST(membership_directory, SpreadsHostsOverEntries) {
  std::map<std::string, int> HostsByEntry;
  for (int I = 0; I < 100; ++I) {
    Query.Host = "h" + std::to_string(I);
    ++HostsByEntry[base::toString(
        membership::entriesForCaller(Ready, RegionOf, Query, 1).at(0))];
  }
  LONGS_EQUAL(2, HostsByEntry.size());
  for (const auto &[Entry, Count] : HostsByEntry)
    CHECK(Count > 30);
}

// Guards against an entry on a small instance that gets the requests of an
// entire region.
TEST(membership_directory, SelectsEntriesByCapacity) {
  Ready = {makeStatus("large", "10.0.0.2"), makeStatus("small", "10.0.0.3")};
  Ready[0].Capacity = 500;
  Ready[1].Capacity = 100;
  Query.Rate = 400;
  int LargeOnly = 0;
  for (int I = 0; I < 300; ++I) {
    Query.Host = "h" + std::to_string(I);
    const auto Entries =
        membership::entriesForCaller(Ready, RegionOf, Query, 9);
    double Capacity = 0;
    for (const auto &Entry : Entries)
      Capacity += Entry == Ready[0].FrontAddress ? 500 : 100;
    CHECK(Capacity > Query.Rate);
    LargeOnly += Entries.size() == 1 ? 1 : 0;
  }
  CHECK(LargeOnly > 200);
}

// Guards against requests that are directed to a region outside the allowed
// ones.
TEST(membership_directory, AllowedRegionsAreEnforcedWithoutALocalEntry) {
  Ready.erase(Ready.begin(), Ready.begin() + 2);
  Query.AllowedRegions = {base::region_name("h")};
  const auto Entries = membership::entriesForCaller(Ready, RegionOf, Query, 9);
  LONGS_EQUAL(1, Entries.size());
  STRCMP_EQUAL("10.0.0.5", Entries.at(0).Address.c_str());
}
