#include "support/background_load.hpp"
#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::cluster;

TEST_GROUP(system_leaving){};

// "After a few seconds" of the brief, as the design page sets it.
static constexpr std::chrono::seconds LeaveLimit{5};

static config::document withDrain(const cluster &Cluster,
                                  config::drain_scope Scope,
                                  const std::string &Name) {
  config::document Next = Cluster.Plan.Document;
  Next.Version = 2;
  Next.SubmissionId = "drain";
  Next.RecentSubmissions = {"drain"};
  Next.Drains.push_back({Scope, Name, config::drain_action::Leave,
                         std::chrono::system_clock::now()});
  return Next;
}

static bool ranAfter(const cluster &Cluster, const std::string &Id,
                     base::wall_time Limit) {
  std::string Address;
  for (const auto &Target : Cluster.Plan.Targets)
    if (Target.Id == Id)
      Address = base::toString(Target.Listen);
  for (const auto &Run : Cluster.journal())
    if (Run.Target == Address && Run.Start > Limit)
      return true;
  return false;
}

// Guards against a leaving target that still gets work, also when the store
// fails right after the acceptance.
TEST(system_leaving, ALeavingTargetGetsNoNewWorkAfterTheLimit) {
  cluster Cluster("rozpalka", 9);
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"stock-view"};
  Shape.Threads = 24;
  test_support::background_load Load(Cluster, Shape);
  std::this_thread::sleep_for(1s);
  CHECK_TRUE(Cluster.submit(
      withDrain(Cluster, config::drain_scope::Target, "stock-view-1")));
  const auto Accepted = std::chrono::system_clock::now();
  std::this_thread::sleep_for(300ms);
  Cluster.setStoreFaults({{"outage", "refuse"}});
  std::this_thread::sleep_for(LeaveLimit + 2s);
  const auto Told = Load.stop();
  CHECK_FALSE(ranAfter(Cluster, "stock-view-1", Accepted + LeaveLimit));
  CHECK_TRUE(ranAfter(Cluster, "stock-view-2", Accepted + LeaveLimit));
  STRCMP_EQUAL("", test_support::firstNotCompleted(Told).c_str());
}

// Guards against a drain of a failure domain that moves faster than its cap or
// cuts requests.
TEST(system_leaving, ADomainDrainMovesAtTheShiftCapAndCutsNothing) {
  cluster Cluster("rozpalka", 6);
  Cluster.Plan.Document.ShiftCapPercentPerSecond = 25;
  CHECK_TRUE(Cluster.start());
  test_support::load_shape Shape;
  Shape.Services = {"stock-view", "drop-confirm"};
  Shape.OrderShare = 0.2;
  Shape.Threads = 24;
  test_support::background_load Load(Cluster, Shape);
  std::this_thread::sleep_for(1s);
  const auto Next =
      withDrain(Cluster, config::drain_scope::Domain, "mazowsze-a");
  CHECK_TRUE(Cluster.submit(Next));
  const auto Start = Next.Drains[0].Start;
  std::this_thread::sleep_for(4s + LeaveLimit + 1s);
  const auto Told = Load.stop();
  for (const auto &Target : Cluster.Plan.Targets)
    if (Target.Domain == "mazowsze-a")
      CHECK_FALSE(ranAfter(Cluster, Target.Id, Start + 4s + LeaveLimit));
  STRCMP_EQUAL("", test_support::firstNotCompleted(Told).c_str());
}
