#include "support/background_load.hpp"
#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::cluster;

TEST_GROUP(system_caps){};

static constexpr std::uint64_t LowCap = 100;
// A target records a request a little after its entry sent it. Requests that
// waited longer on the way can fall into one window with later ones, so the
// window judged here is shorter than the one of the cap by the spread of that
// delay.
static constexpr std::chrono::milliseconds JudgedWindow{950};

/// Largest number of requests that targets of a region began within the window.
static std::size_t peakOf(const cluster &Cluster, const std::string &Region) {
  std::map<std::string, std::string> RegionOfTarget;
  for (const auto &Target : Cluster.Plan.Targets)
    RegionOfTarget[base::toString(Target.Listen)] =
        Cluster.Plan.Proxy.Regions.at(Target.Domain);
  std::vector<base::wall_time> Starts;
  for (const auto &Run : Cluster.journal())
    if (RegionOfTarget.at(Run.Target) == Region)
      Starts.push_back(Run.Start);
  return test_support::largestWindow(Starts, JudgedWindow);
}

static void lowerCaps(cluster &Cluster) {
  for (config::region &Region : Cluster.Plan.Document.Regions)
    Region.CapPerSecond = LowCap;
}

static void checkPeaks(const cluster &Cluster) {
  for (const config::region &Region : Cluster.Plan.Document.Regions) {
    const std::size_t Peak = peakOf(Cluster, Region.Name.str());
    CHECK_TRUE_TEXT(Peak <= LowCap,
                    (Region.Name.str() + " had " + std::to_string(Peak) +
                     " requests in a window")
                        .c_str());
  }
}

static test_support::load_shape flood() {
  test_support::load_shape Shape;
  Shape.Services = {"stock-view", "order-archive", "quote-desk",
                    "drop-confirm"};
  // A request that finds no share waits for a loan, so it takes many callers to
  // ask for more than the caps.
  Shape.Threads = 96;
  Shape.Pause = 10ms;
  return Shape;
}

// Guards against entries that each keep to a limit but exceed it together.
TEST(system_caps, AllEntriesTogetherStayUnderTheRegionCaps) {
  cluster Cluster("rozpalka", 9);
  lowerCaps(Cluster);
  CHECK_TRUE(Cluster.start());
  test_support::background_load Load(Cluster, flood());
  std::this_thread::sleep_for(6s);
  const auto Told = Load.stop();
  checkPeaks(Cluster);
  // The load was above the caps, and the caps did not stop everything.
  const auto Completed =
      std::count_if(Told.begin(), Told.end(), [](const auto &Each) {
        return Each.Outcomes.back() == "completed";
      });
  CHECK_TRUE(Told.size() > std::size_t{6} * 3 * LowCap);
  CHECK_TRUE(Completed > 500);
}

// Guards against shares that are counted twice when entries die, freeze, come
// back or lose each other.
TEST(system_caps, RegionCapsHoldThroughKillsFreezesPartitionsAndAStoreOutage) {
  cluster Cluster("rozpalka", 9);
  lowerCaps(Cluster);
  CHECK_TRUE(Cluster.start());
  test_support::background_load Load(Cluster, flood());
  std::this_thread::sleep_for(1500ms);
  Cluster.setStoreFaults({{"outage", "refuse"}});
  Cluster.killEntry(1);
  Cluster.freezeEntry(5);
  std::this_thread::sleep_for(1500ms);
  Cluster.startEntry(1);
  Cluster.resumeEntry(5);
  Cluster.setFaults({{"cuts",
                      {{{"from", "pomorze"}, {"to", "mazowsze"}},
                       {{"from", "mazowsze"}, {"to", "pomorze"}}}}});
  std::this_thread::sleep_for(2s);
  Cluster.setFaults(nlohmann::json::object());
  Cluster.setStoreFaults({{"outage", "none"}});
  std::this_thread::sleep_for(2s);
  Load.stop();
  checkPeaks(Cluster);
}
