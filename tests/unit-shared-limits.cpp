#include "skylarkdyke/admission/retry_allowance.hpp"
#include "skylarkdyke/membership/relay_selection.hpp"
#include "skylarkdyke/poison/crash_register.hpp"
#include "skylarkdyke/quotas/token_client.hpp"
#include "skylarkdyke/quotas/token_pool.hpp"
#include "support/entry_fleet.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

static const base::boot_time Start(1h);
static const base::service_name Service("orders");
/// Sizes of fleets, in entries.
static constexpr std::array<unsigned, 3> FleetSizes = {12, 300, 1000};
/// Largest payload of a UDP datagram over IPv4.
static constexpr std::size_t MaxDatagramBytes = 65507;

static double inSeconds(milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Limits that apply to all entries together: what each entry takes for itself
/// must not add up to more, however many entries there are.
TEST_GROUP(shared_limits){};

// Guards against fractions of the allowance that are rounded up at each entry,
// when every request fails and few arrive at each entry.
TEST(shared_limits, SecondSendsStayWithinTheBoundInFleetsOfAnySize) {
  for (const unsigned Entries : FleetSizes)
    for (const double Slack : {5.0, 60.0, 630.0}) {
      const admission::retry_bound Bound{0.1, Slack, 10s};
      std::vector<admission::retry_allowance> Allowances(
          Entries, admission::retry_allowance(Bound));
      std::minstd_rand Random(Entries);
      unsigned Requests = 0;
      unsigned SecondSends = 0;
      for (auto Time = 0ms; Time < Bound.Window; Time += 5ms, ++Requests) {
        auto &Allowance = Allowances[Random() % Entries];
        Allowance.countRequest(Service, Start + Time);
        SecondSends += Allowance.tryRetry(Service, Entries, Start + Time);
      }
      CHECK_COMPARE(SecondSends, <=, Bound.Ratio * Requests + Slack);
    }
}

// Guards against parts of a quota, or fractions of tokens, that add up to more
// than the quota when the entries of a region delegate to several pools.
TEST(shared_limits, PoolsHandOutNoMoreThanTheQuotaInFleetsOfAnySize) {
  static constexpr unsigned Regions = 3;
  static constexpr std::size_t PoolsPerRegion = 4;
  static constexpr quotas::team_key Team = 7;
  static constexpr milliseconds AskPeriod = 2ms;
  const quotas::quota_bound Bound;
  for (const unsigned Entries : FleetSizes)
    for (const double Rate : {1.6, 60.0, 2000.0}) {
      const quotas::token_limit Limit = quotas::tokenLimitOf({Rate, 0}, Bound);
      const unsigned Holders = Entries / Regions;
      std::vector<quotas::token_pool> Pools(Regions * PoolsPerRegion);
      for (quotas::token_pool &Pool : Pools)
        Pool.setLimits({{Team, Limit}}, Start);
      std::uint32_t Sequence = 0;
      double Granted = 0;
      for (auto Time = 0ms; Time < 10s; Time += AskPeriod) {
        const auto Now = Start + Time;
        const auto Change = Time % 250ms == 0ms
                                ? quotas::delegation_change::Renew
                                : quotas::delegation_change::None;
        if (Change == quotas::delegation_change::Renew)
          for (quotas::token_pool &Pool : Pools)
            Pool.update({Holders, Regions}, Now);
        for (unsigned I = 0; I < Regions * Holders; ++I) {
          if (Change == quotas::delegation_change::None && I >= Pools.size())
            break;
          const base::endpoint From{"10.0.0.1",
                                    static_cast<std::uint16_t>(I + 1)};
          const auto Grant = Pools[I % Pools.size()].handle(
              {From, ++Sequence, Change, {{Team, Rate}}}, Now);
          for (const auto &[Key, Amount] : Grant->Granted)
            Granted += 10s - Time <= Bound.Window ? Amount : 0;
        }
      }
      CHECK_COMPARE(Granted, <=,
                    Rate * inSeconds(Bound.Window) * (1 + Bound.Overage) +
                        Bound.Slack);
      CHECK_COMPARE(Granted, >, Rate * inSeconds(Bound.Window) / 2);
    }
}

// Guards against entries that each tell callers beyond a quota to return at the
// rate of the whole quota: most would be denied again.
TEST(shared_limits, DeniedCallersReturnAtTheRateOfTheQuotaInFleetsOfAnySize) {
  static constexpr quotas::team_key Team = 7;
  static constexpr double Rate = 60;
  for (const unsigned Entries : FleetSizes) {
    std::vector<milliseconds> Delays;
    for (unsigned I = 0; I < Entries; ++I) {
      quotas::token_client Client(
          {"10.0.0.1", static_cast<std::uint16_t>(I + 1)}, 1);
      Client.setLimits({{Team, {Rate, 20, 5}}});
      Client.tick({{}, {}, true, {}, Entries}, Start);
      const auto Result = Client.acquire(Team, Start);
      Delays.push_back(std::chrono::duration_cast<milliseconds>(
          std::get<quotas::denial>(Result).RetryAfter));
    }
    for (const milliseconds Time : {250ms, 1000ms, 2000ms, 4000ms}) {
      const auto Returned =
          std::count_if(Delays.begin(), Delays.end(),
                        [Time](milliseconds Delay) { return Delay <= Time; });
      // The entries return at random: four standard deviations are added.
      const double Served = Rate * inSeconds(Time);
      CHECK_COMPARE(static_cast<double>(Returned), <=,
                    Served + 4 * std::sqrt(Served));
    }
  }
}

// Guards against callers that wait for the parts of entries to which their team
// sends nothing.
TEST(shared_limits, ATeamAtOneEntryIsNotToldToWaitForTheOthers) {
  static constexpr quotas::team_key Team = 7;
  static constexpr unsigned Rate = 60;
  const base::endpoint Pool{"10.0.0.2", 8649};
  quotas::token_client Client({"10.0.0.1", 8649}, 1);
  Client.setLimits({{Team, {Rate, 20, 5}}});
  Client.tick({{Pool}, {}, true, {}, 300}, Start);
  Client.takeOutgoing();
  Client.acquire(Team, Start);
  Client.handle(
      {Client.takeOutgoing().front().Request.Sequence, {{Team, Rate}}}, Start);
  CHECK(std::holds_alternative<quotas::token>(Client.resume(Team, Start)));
  for (unsigned Used = 1; Used < Rate; ++Used)
    CHECK(std::holds_alternative<quotas::token>(Client.acquire(Team, Start)));
  Client.acquire(Team, Start);
  Client.handle({Client.takeOutgoing().front().Request.Sequence, {}}, Start);
  const auto Denied = std::get<quotas::denial>(Client.resume(Team, Start));
  CHECK(Denied.RetryAfter <= 250ms);
}

/// Returns how often a request that ends targets is sent after a block of it
/// has ended, until all entries block it again. It arrives ten times a second,
/// each time at another entry.
static unsigned sendsAfterABlock(unsigned Entries, poison::block_rules Rules,
                                 std::uint64_t Seed) {
  /// Time until all entries know of a crash.
  static constexpr milliseconds DetectionTime = 1s;
  static constexpr std::uint64_t Fingerprint = 1;
  std::mt19937_64 Random(Seed);
  std::deque<poison::crash_register> Registers;
  for (unsigned I = 0; I < Entries; ++I) {
    Rules.EntrySeed = Random();
    Registers.emplace_back(16, Rules).block(
        {Fingerprint, Service, "GET /x", 3, Start + 1min}, Start);
  }
  unsigned Sends = 0;
  auto BlockedAgainAt = base::boot_time::max();
  for (auto Now = Start + 1min; Now < BlockedAgainAt; Now += 100ms) {
    if (Registers[Random() % Entries].isBlocked(Fingerprint, Now))
      continue;
    ++Sends;
    BlockedAgainAt =
        std::min<base::boot_time>(BlockedAgainAt, Now + DetectionTime);
  }
  return Sends;
}

// Guards against entries that all end a block at about the same time, so that a
// request that ends targets reaches one target from each of them.
TEST(shared_limits, AnEndedBlockLetsFewRequestsThroughInFleetsOfAnySize) {
  static constexpr unsigned Runs = 20;
  static constexpr unsigned MaxSends = 3;
  for (const unsigned Entries : FleetSizes) {
    unsigned Sends = 0;
    unsigned SendsAtOnce = 0;
    for (unsigned Seed = 1; Seed <= Runs; ++Seed) {
      Sends += sendsAfterABlock(Entries, {3, 1, 30s, 0}, Seed);
      SendsAtOnce += sendsAfterABlock(Entries, {3, 1, 0s, 0}, Seed);
    }
    CHECK_COMPARE(Sends, <=, MaxSends * Runs);
    CHECK_COMPARE(SendsAtOnce, >, MaxSends * Runs);
  }
}

// Guards against watches of the store, and pools of quotas, that grow with the
// entries instead of the failure domains.
TEST(shared_limits, TheNumberOfRelaysIsThatOfTheFailureDomains) {
  for (const unsigned Entries : FleetSizes) {
    std::vector<membership::entry_status> Statuses(Entries);
    std::vector<const membership::entry_status *> Region;
    for (unsigned I = 0; I < Entries; ++I) {
      Statuses[I].MeshAddress = {"10.0.0.1", static_cast<std::uint16_t>(I + 1)};
      Statuses[I].Domain = base::domain_name("d" + std::to_string(I % 3));
      Statuses[I].Ready = true;
      Region.push_back(&Statuses[I]);
    }
    LONGS_EQUAL(3, membership::selectRelays(Region).size());
  }
}

// Guards against a digest of all entries of a region that fits no datagram, so
// that the entries would not know each other.
TEST(shared_limits, ADigestFitsADatagram) {
  for (const unsigned Entries : FleetSizes) {
    const std::map<base::domain_name, base::region_name> RegionOf{
        {base::domain_name("waw-a"), base::region_name("waw")}};
    membership::entry_status Own;
    Own.Name = "entry-1000";
    Own.MeshAddress = {"127.100.100.1", 18649};
    Own.Domain = base::domain_name("waw-a");
    membership::member_table Table(Own.MeshAddress, base::region_name("waw"),
                                   RegionOf);
    for (unsigned I = 1; I < Entries / 3; ++I) {
      membership::entry_status Status = Own;
      Status.Incarnation = 0xffffffffffff0000 + I;
      Status.MeshAddress = {"127.100." + std::to_string(100 + I / 100) + "." +
                                std::to_string(100 + I % 100),
                            18649};
      Status.FrontAddress = {Status.MeshAddress.Address, 18641};
      Status.Capacity = 1000;
      Status.Ready = true;
      Status.NextHeartbeatIn = 1s;
      for (const char *Name : {"stock-view", "drop-confirm", "order-archive"})
        Status.Demand[Name] = 12.345;
      Table.recordHeartbeat(Status, Start);
    }
    Table.updateRelays(Own, Start);
    const std::string Digest =
        membership::encode(Table.makeLocalDigest(Own, Start));
    CHECK_COMPARE(Digest.size(), <=, MaxDatagramBytes);
  }
}
