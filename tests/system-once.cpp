#include "support/background_load.hpp"
#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::cluster;
using test_support::waitUntil;

TEST_GROUP(system_once){};

static void checkNoViolation(const cluster &Cluster,
                             const std::vector<test_support::told> &Told) {
  const auto Violations = test_support::findViolations(Cluster, Told);
  for (const std::string &Line : Violations)
    UT_PRINT(Line.c_str());
  CHECK_EQUAL(0u, Violations.size());
}

// Guards against two entries that both run an order because each believes that
// it may.
TEST(system_once, TheSameKeyAtTwoEntriesAtTheSameMomentRunsOnce) {
  cluster Cluster("rozpalka", 4);
  CHECK_TRUE(Cluster.start());
  for (int Round = 0; Round < 20; ++Round) {
    const std::string Key =
        Cluster.keyPrefix(0, "drop-confirm") + ".r" + std::to_string(Round);
    std::vector<test_support::answer> Answers(4);
    std::vector<std::thread> Callers;
    for (std::size_t Entry = 0; Entry < 4; ++Entry)
      Callers.emplace_back([&, Entry] {
        Answers[Entry] = Cluster.post(Entry, "drop-confirm", "/order", Key);
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    for (const auto &Answer : Answers)
      STRCMP_EQUAL("completed", Answer.Status == 200 ? Answer.Outcome.c_str()
                                                     : Answer.Body.c_str());
  }
  const auto Runs = Cluster.runsByKey();
  CHECK_EQUAL(20u, Runs.size());
  for (const auto &[Key, Count] : Runs)
    CHECK_EQUAL(1u, Count);
}

// Guards against orders that run twice, or are told not-run though run, when
// their owner dies at any step between accept, intent, dispatch and answer.
TEST(system_once, OrdersStayAtMostOnceWhileEntriesAreKilled) {
  cluster Cluster("rozpalka", 6);
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"drop-confirm", "stock-view"};
  Shape.OrderShare = 0.9;
  Shape.Tries = 4;
  Shape.Threads = 16;
  test_support::background_load Load(Cluster, Shape);
  for (const std::size_t Entry : {0, 3, 1, 4}) {
    std::this_thread::sleep_for(700ms);
    Cluster.killEntry(Entry);
    std::this_thread::sleep_for(700ms);
    Cluster.startEntry(Entry);
  }
  std::this_thread::sleep_for(500ms);
  const auto Told = Load.stop();
  CHECK_TRUE(Told.size() > 500);
  checkNoViolation(Cluster, Told);
}

// Guards against a frozen owner that wakes after its incarnation was sealed and
// dispatches then.
TEST(system_once, OrdersStayAtMostOnceWhileEntriesAreFrozen) {
  cluster Cluster("rozpalka", 6);
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"drop-confirm"};
  Shape.OrderShare = 1;
  Shape.Tries = 4;
  Shape.Threads = 16;
  test_support::background_load Load(Cluster, Shape);
  for (const std::size_t Entry : {0, 4, 2}) {
    std::this_thread::sleep_for(300ms);
    Cluster.freezeEntry(Entry);
    std::this_thread::sleep_for(2500ms);
    Cluster.resumeEntry(Entry);
  }
  std::this_thread::sleep_for(500ms);
  checkNoViolation(Cluster, Load.stop());
}

// Guards against a second run after the answer of the first was lost on its
// way.
TEST(system_once, OrdersStayAtMostOnceWhileAnswersAreLost) {
  cluster Cluster("mallas", 6);
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"pedidos"};
  Shape.OrderShare = 1;
  Shape.Tries = 3;
  test_support::background_load Load(Cluster, Shape);
  nlohmann::json Lossy = nlohmann::json::object();
  for (int Target = 1; Target <= 6; ++Target)
    Lossy["pedidos-" + std::to_string(Target)] = {{"drop_answers", true}};
  std::this_thread::sleep_for(500ms);
  Cluster.setFaults({{"addresses", Lossy}});
  std::this_thread::sleep_for(3s);
  Cluster.setFaults(nlohmann::json::object());
  std::this_thread::sleep_for(500ms);
  checkNoViolation(Cluster, Load.stop());
}

// Guards against a rule that needs the store, or contact between regions, to
// stay safe.
TEST(system_once, OrdersStayAtMostOnceInAPartitionWithTheStoreDown) {
  cluster Cluster("rozpalka", 6);
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"drop-confirm"};
  Shape.OrderShare = 1;
  Shape.Tries = 4;
  test_support::background_load Load(Cluster, Shape);
  Cluster.setStoreFaults({{"outage", "hang"}});
  Cluster.setFaults({{"cuts",
                      {{{"from", "pomorze"}, {"to", "mazowsze"}},
                       {{"from", "mazowsze"}, {"to", "pomorze"}}}}});
  std::this_thread::sleep_for(4s);
  Cluster.setFaults(nlohmann::json::object());
  std::this_thread::sleep_for(1s);
  const auto Told = Load.stop();
  checkNoViolation(Cluster, Told);
  const auto Completed =
      std::count_if(Told.begin(), Told.end(), [](const auto &Each) {
        return !Each.Outcomes.empty() && Each.Outcomes.back() == "completed";
      });
  // Orders went on without the store.
  CHECK_TRUE(Completed > static_cast<long>(Told.size() / 2));
}
