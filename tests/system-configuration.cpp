#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <thread>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::cluster;
using test_support::waitUntil;

// The limit of the brief for a configuration to be in force everywhere.
static constexpr std::chrono::seconds InForceLimit{5};

TEST_GROUP(system_configuration){};

/// A document that differs in what callers can see: it has one more service
/// name without targets removed, so a lookup for it answers 404 at entries
/// where it is in force.
static config::document withoutService(const cluster &Cluster,
                                       const std::string &Service,
                                       std::uint64_t Version) {
  config::document Next = Cluster.Plan.Document;
  Next.Version = Version;
  Next.SubmissionId = "test-" + std::to_string(Version);
  Next.RecentSubmissions = {Next.SubmissionId};
  const base::service_name Name(Service);
  Next.Services.erase(
      std::remove_if(Next.Services.begin(), Next.Services.end(),
                     [&](const auto &Each) { return Each.Name == Name; }),
      Next.Services.end());
  Next.Targets.erase(
      std::remove_if(Next.Targets.begin(), Next.Targets.end(),
                     [&](const auto &Each) { return Each.Service == Name; }),
      Next.Targets.end());
  return Next;
}

static bool hasService(const cluster &Cluster, std::size_t Entry,
                       const std::string &Service) {
  return !Cluster.keyPrefix(Entry, Service).empty();
}

static bool inForceAt(const cluster &Cluster,
                      const std::vector<std::size_t> &Entries) {
  return std::none_of(Entries.begin(), Entries.end(), [&](std::size_t Entry) {
    return hasService(Cluster, Entry, "quote-desk");
  });
}

// Guards against a change that reaches some entries late or never.
TEST(system_configuration, AnAcceptedChangeIsInForceEverywhereWithinTheLimit) {
  cluster Cluster("mallas", 9);
  CHECK_TRUE(Cluster.start());
  CHECK_TRUE(Cluster.submit(withoutService(Cluster, "tarifas", 2)));
  CHECK_TRUE(waitUntil(
      [&] {
        for (std::size_t Entry = 0; Entry < 9; ++Entry)
          if (hasService(Cluster, Entry, "tarifas"))
            return false;
        return true;
      },
      InForceLimit));
}

// Guards against entries that depend on their own connection to the store.
TEST(system_configuration, AnEntryCutOffFromTheStoreGetsTheChangeFromAPeer) {
  cluster Cluster("rozpalka", 6);
  CHECK_TRUE(Cluster.start());
  // The store stands in mazowsze-a; entries of pomorze keep the peers of other
  // failure domains.
  nlohmann::json Cuts = nlohmann::json::array();
  for (const char *Domain : {"pomorze-a", "pomorze-b"}) {
    Cuts.push_back({{"from", Domain}, {"to", "mazowsze-a"}});
    Cuts.push_back({{"from", "mazowsze-a"}, {"to", Domain}});
  }
  Cluster.setFaults({{"cuts", Cuts}});
  std::this_thread::sleep_for(3s);
  CHECK_TRUE(Cluster.submit(withoutService(Cluster, "quote-desk", 2)));
  CHECK_TRUE(waitUntil(
      [&] {
        return inForceAt(Cluster, {0, 1, 2, 3, 4, 5});
      },
      InForceLimit));
}

// Guards against an entry that starts in an outage with nothing, or with less
// than its peers have.
TEST(system_configuration, AnEntryStartedInAnOutageGetsTheNewestVersion) {
  cluster Cluster("rozpalka", 4);
  CHECK_TRUE(Cluster.start());
  CHECK_TRUE(Cluster.submit(withoutService(Cluster, "quote-desk", 2)));
  CHECK_TRUE(waitUntil(
      [&] {
        return inForceAt(Cluster, {0, 1, 2, 3});
      },
      InForceLimit));
  Cluster.setStoreFaults({{"outage", "refuse"}});
  Cluster.killEntry(2);
  Cluster.startEntry(2);
  CHECK_TRUE(waitUntil([&] { return Cluster.isReady(2); }, 10s));
  CHECK_FALSE(hasService(Cluster, 2, "quote-desk"));
  CHECK_TRUE(hasService(Cluster, 2, "stock-view"));
}

// Guards against a stale answer of the store that puts an older version in
// force at a replaced entry.
TEST(system_configuration, AStaleReadDoesNotRevertAReplacedEntry) {
  cluster Cluster("rozpalka", 4);
  CHECK_TRUE(Cluster.start());
  CHECK_TRUE(Cluster.submit(withoutService(Cluster, "quote-desk", 2)));
  CHECK_TRUE(waitUntil(
      [&] {
        return inForceAt(Cluster, {0, 1, 2, 3});
      },
      InForceLimit));
  Cluster.setStoreFaults({{"stale_reads", 50}});
  Cluster.killEntry(3);
  Cluster.startEntry(3);
  CHECK_TRUE(waitUntil([&] { return Cluster.isReady(3); }, 10s));
  for (int Check = 0; Check < 20; ++Check) {
    CHECK_FALSE(hasService(Cluster, 3, "quote-desk"));
    std::this_thread::sleep_for(50ms);
  }
}

// Guards against an entry that is ready once its peer is connected, before the
// newer version of that peer has arrived: it would serve a stale read.
TEST(system_configuration, AnEntryIsNotReadyBeforeItHasTheVersionOfItsPeer) {
  cluster Cluster("rozpalka", 2);
  CHECK_TRUE(Cluster.start());
  CHECK_TRUE(Cluster.submit(withoutService(Cluster, "quote-desk", 2)));
  CHECK_TRUE(waitUntil(
      [&] {
        return inForceAt(Cluster, {0, 1});
      },
      InForceLimit));
  Cluster.setStoreFaults({{"stale_reads", 50}});
  Cluster.killEntry(1);
  // Between the greeting of the peer and its document is a round trip, far
  // longer than the period in which an entry checks whether it is ready.
  nlohmann::json Slow;
  for (const auto &Entry : Cluster.Plan.Entries)
    Slow[Entry.Name + "-peers"] = {{"extra_delay_us", 200000}};
  Cluster.setFaults({{"addresses", Slow}});
  Cluster.startEntry(1);
  CHECK_TRUE(waitUntil([&] { return Cluster.isReady(1); }, 10s));
  CHECK_FALSE(hasService(Cluster, 1, "quote-desk"));
}

// Guards against an entry that says it is ready without any configuration.
TEST(system_configuration, AloneInAnOutageAnEntryIsAliveButNotReady) {
  cluster Cluster("rozpalka", 1);
  CHECK_TRUE(Cluster.start());
  Cluster.setStoreFaults({{"outage", "refuse"}});
  Cluster.killEntry(0);
  Cluster.startEntry(0);
  http::request Live;
  Live.Target = "/live";
  const auto &Address = Cluster.Plan.Entries[0].CallerAddress;
  CHECK_TRUE(waitUntil(
      [&] { return Cluster.ask(Address, Live, 500ms).Status == 200; }, 5s));
  std::this_thread::sleep_for(3s);
  CHECK_FALSE(Cluster.isReady(0));
  STRCMP_EQUAL("not-run", Cluster.get(0, "stock-view", "/x").Outcome.c_str());
  Cluster.setStoreFaults({{"outage", "none"}});
  CHECK_TRUE(waitUntil([&] { return Cluster.isReady(0); }, 10s));
}
