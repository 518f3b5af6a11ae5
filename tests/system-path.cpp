#include "skylarkdyke/config/codec.hpp"
#include "support/background_load.hpp"
#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;
using test_support::cluster;

TEST_GROUP(system_path){};

// Guards against any broken hop between caller, lookup, entry, target and back.
TEST(system_path, ARequestIsServedThroughTheLookup) {
  cluster Cluster("rozpalka", 3);
  CHECK_TRUE(Cluster.start());
  http::request Lookup;
  Lookup.Target = "/v1/lookup?service=stock-view&client=" +
                  Cluster.Plan.CallerSources.at("pomorze");
  json Root;
  // An entry names another region's entries once it has heard of them.
  const auto NamesTheRegion = [&] {
    const auto Answer =
        Cluster.ask(Cluster.Plan.Entries[0].CallerAddress, Lookup);
    CHECK_EQUAL(200, Answer.Status);
    Root = json::parse(Answer.Body);
    return Root.at("entries")[0].at("region") == "pomorze";
  };
  CHECK_TRUE(test_support::eventually(NamesTheRegion));
  CHECK_TRUE(config::parseTime(Root.at("expires_at").get<std::string>()) >
             std::chrono::system_clock::now());
  const auto Named = base::parseEndpoint(
      Root.at("entries")[0].at("address").get<std::string>());
  http::request Request;
  Request.Target = "/s/stock-view/item/7?colour=red";
  const auto Got = Cluster.ask(*Named, Request);
  CHECK_EQUAL(200, Got.Status);
  STRCMP_EQUAL("completed", Got.Outcome.c_str());
  STRCMP_EQUAL("/item/7?colour=red",
               json::parse(Got.Body).at("path").get<std::string>().c_str());
}

// Guards against an order that needs no lookup, which no incarnation would own.
TEST(system_path, AnOrderWithoutKeyIsRefusedAsNotRun) {
  cluster Cluster("rozpalka", 3);
  CHECK_TRUE(Cluster.start());
  http::request Request;
  Request.Method = "POST";
  Request.Target = "/s/drop-confirm/order/1";
  const auto Got = Cluster.ask(Cluster.Plan.Entries[0].CallerAddress, Request);
  CHECK_EQUAL(400, Got.Status);
  STRCMP_EQUAL("not-run", Got.Outcome.c_str());
  CHECK_TRUE(Cluster.journal().empty());
}

// Guards against a planned stop of an entry that cuts a request or its lookups'
// callers.
TEST(system_path, APlannedStopOfAnEntryCutsNothing) {
  cluster Cluster("rozpalka", 6);
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"stock-view", "drop-confirm"};
  Shape.OrderShare = 0.3;
  // Requests to the leaving entry end when its last lookup answer expires, so
  // the load that goes on through the stop asks the others; requests in flight
  // at the leaving one are slow ones.
  Shape.Entries = {0, 1, 2, 4, 5};
  Cluster.setBehaviour("quote-desk", {{"work_us", 800000}});
  test_support::background_load Load(Cluster, Shape);
  std::vector<test_support::answer> Slow(8);
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < Slow.size(); ++Index)
    Callers.emplace_back([&, Index] {
      Slow[Index] =
          Cluster.get(3, "quote-desk", "/slow/" + std::to_string(Index));
    });
  std::this_thread::sleep_for(200ms);
  const auto Exit = Cluster.stopEntry(3, 20s);
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK_TRUE(Exit.has_value());
  CHECK_EQUAL(0, *Exit);
  for (const auto &Answer : Slow)
    STRCMP_EQUAL("completed", Answer.Status == 200 ? Answer.Outcome.c_str()
                                                   : Answer.Body.c_str());
  const auto Told = Load.stop();
  for (const auto &Each : Told)
    STRCMP_EQUAL("completed",
                 Each.Outcomes.empty() ? "none" : Each.Outcomes.back().c_str());
  const auto Violations = test_support::findViolations(Cluster, Told);
  STRCMP_EQUAL("", Violations.empty() ? "" : Violations[0].c_str());
}

// Guards against targets that send bytes without an end: entries that run out
// of memory, requests of other services that fail, and reads that fail although
// other targets of their service are whole.
TEST(system_path, TargetsThatFloodHarmNoOtherRequest) {
  // What an entry uses at rest (15 MB), and a generous allowance for the load;
  // an unbounded buffer takes the 64 MiB of one flood for each connection.
  static constexpr std::size_t MaxMemory = std::size_t{64} << 20U;
  cluster Cluster("rozpalka", 3);
  CHECK_TRUE(Cluster.start());
  std::string Flooding;
  for (const auto &Target : Cluster.Plan.Targets)
    if (Target.Service == "stock-view" && Flooding.empty())
      Flooding = base::toString(Target.Listen);
  // Retries may be a tenth of the requests of a service.
  for (int Count = 0; Count < 100; ++Count)
    STRCMP_EQUAL("completed",
                 Cluster.get(0, "stock-view", "/w" + std::to_string(Count))
                     .Outcome.c_str());
  test_support::load_shape Shape;
  Shape.Services = {"drop-confirm"};
  Shape.OrderShare = 0.5;
  test_support::background_load Load(Cluster, Shape);
  for (const char *Form :
       {"status_line", "header_fields", "interim_answers", "body",
        "chunked_body", "chunk_size", "chunk_extension", "trailers"}) {
    Cluster.setBehaviour(
        "stock-view",
        {{"target", Flooding}, {"flood", Form}, {"floods_health", true}});
    const std::string Prefix = Cluster.keyPrefix(0, "stock-view");
    for (int Count = 0; Count < 24; ++Count) {
      const std::string Path = std::string("/") + Form + std::to_string(Count);
      STRCMP_EQUAL_TEXT("completed",
                        Cluster.get(0, "stock-view", Path).Outcome.c_str(),
                        Form);
      const auto Order = Cluster.post(
          0, "stock-view", Path, Prefix + "." + Form + std::to_string(Count));
      CHECK_TRUE_TEXT(Order.Outcome == "completed" ||
                          Order.Outcome == "unknown",
                      Order.Body.c_str());
    }
  }
  const auto Told = Load.stop();
  STRCMP_EQUAL("", test_support::firstNotCompleted(Told).c_str());
  const auto Violations = test_support::findViolations(Cluster, Told);
  STRCMP_EQUAL("", Violations.empty() ? "" : Violations[0].c_str());
  for (const auto &[Key, Runs] : Cluster.runsByKey())
    CHECK_EQUAL_TEXT(1u, Runs, Key.c_str());
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    const std::size_t Peak = Cluster.peakMemory(Entry);
    CHECK_TRUE(Peak > 0);
    CHECK_TRUE_TEXT(Peak < MaxMemory, std::to_string(Peak).c_str());
  }
}
