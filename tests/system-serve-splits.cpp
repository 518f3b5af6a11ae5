#include "support/platform_stand_in.hpp"
#include "support/served_entry.hpp"
#include "support/wait_until.hpp"

#include <memory>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::served_entry;
using test_support::statusOf;
using test_support::waitUntil;

/// Configuration with the route /split/ to the services old and new, and a
/// route to the service old whose path tells the version.
static std::string splitRoutes(int Version, const std::string &OldWeight,
                               const std::string &NewWeight) {
  const std::string Number = std::to_string(Version);
  return R"({"version":"r)" + Number +
         R"(","routes":{"columns":["name","host","path_prefix","kind",
"timeout_s","target_latency_s","priority","service","traffic_split",
"max_attempts"],"rows":[["split","h.example","/split/","unsafe",3,1,1,null,
[{"service":"old","weight":)" +
         OldWeight + R"(},{"service":"new","weight":)" + NewWeight +
         R"(}],1],["version","h.example","/r)" + Number +
         R"(/","safe",3,1,1,"old",null,2]]},"services":{"columns":["name",
"health_path","max_connections","cold_start_s","cold_per_s"],
"rows":[["old","/healthz",300,1,10],["new","/healthz",300,1,10]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,
"header_timeout_s":20,"idle_timeout_s":20}})";
}

/// Entries of `serve` at which the weights of a route change.
TEST_GROUP(system_serve_splits) {
  test_support::platform_stand_in Platform;
  std::vector<std::unique_ptr<served_entry>> Entries;
  int RequestCount = 0;

  void setup() override {
    Platform.put("op/config", splitRoutes(1, "50", "50"));
    for (const char *Service : {"old", "new"})
      for (const char *Number : {"1", "2"})
        Platform.addTarget(std::string(Service) + Number, Service, "z", 0ms);
  }

  void startEntries(int Count) {
    for (int I = 0; I < Count; ++I) {
      Entries.push_back(
          std::make_unique<served_entry>(Platform.storeAddress()));
      CHECK_TRUE(Entries.back()->start());
    }
  }

  std::string ask(const served_entry &Entry, const std::string &Method,
                  const std::string &Path) {
    const std::string Id = "request" + std::to_string(++RequestCount);
    return statusOf(test_support::askServed(Entry.front(), Method, Path, Id));
  }

  /// Publishes a version, and waits until it is in force at all entries.
  void changeWeights(int Version, const std::string &Old,
                     const std::string &New) {
    Platform.put("op/config", splitRoutes(Version, Old, New));
    const std::string Path = "/r" + std::to_string(Version) + "/";
    for (const auto &Entry : Entries)
      CHECK_TRUE(
          waitUntil([&] { return ask(*Entry, "GET", Path) == "200"; }, 5s));
  }

  void sendOrders(int Count) {
    for (int I = 0; I < Count; ++I)
      for (const auto &Entry : Entries)
        STRCMP_EQUAL("200", ask(*Entry, "POST", "/split/order").c_str());
  }

  int runsAtNew() const {
    return Platform.runsAt("new1") + Platform.runsAt("new2");
  }
};

// Guards against shares that depend on the scale of earlier weights
// (docs/incidents/weights-of-another-scale.md): a service whose weight was set
// to 0 must get nothing. The numbers before are odd and even, because the
// sequence of 50 and 50 stands differently after them.
TEST(system_serve_splits, AServiceWithoutAWeightGetsNothing) {
  startEntries(2);
  int Version = 1;
  for (const int OrdersBefore : {7, 4, 1}) {
    changeWeights(++Version, "50", "50");
    sendOrders(OrdersBefore);
    const int RunsBefore = runsAtNew();
    changeWeights(++Version, "1", "0");
    sendOrders(60);
    LONGS_EQUAL(RunsBefore, runsAtNew());
  }
}

// Guards against a service that gets all requests while versions that change
// only the scale of the weights come in quick succession.
TEST(system_serve_splits, ChangesOfTheScaleKeepTheShares) {
  startEntries(1);
  int Version = 1;
  for (int I = 0; I < 6; ++I) {
    for (const char *Weight : {"1", "50"}) {
      changeWeights(++Version, Weight, Weight);
      sendOrders(1);
    }
  }
  LONGS_EQUAL(6, runsAtNew());
}
