#include "support/background_load.hpp"
#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::cluster;

TEST_GROUP(system_poison){};

// Guards against a request that crashes one target after another while its
// caller sends it again at every entry.
TEST(system_poison, ARequestThatCrashesTargetsIsStoppedAfterTwoCrashes) {
  cluster Cluster("rozpalka", 6);
  CHECK_TRUE(Cluster.start());
  unsigned Blocked = 0;
  for (int Try = 0; Try < 12; ++Try) {
    const auto Answer = Cluster.get(Try % 6, "order-archive", "/poison/1");
    Blocked += Answer.Status == 422 ? 1 : 0;
    std::this_thread::sleep_for(300ms);
  }
  unsigned Crashes = 0;
  for (const auto &Run : Cluster.journal())
    Crashes += Run.Path == "/poison/1" ? 1 : 0;
  CHECK_TRUE(Blocked > 0);
  // Two crashes block it. Reports travel between entries while the caller tries
  // again, so a third one can be under way when the second is reported.
  CHECK_TRUE(Crashes <= 3);
  // Other requests of the same service are served.
  STRCMP_EQUAL("completed",
               Cluster.get(0, "order-archive", "/fine").Outcome.c_str());
}
