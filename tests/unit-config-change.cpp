#include "skylarkdyke/config/difference.hpp"
#include "skylarkdyke/config/preview.hpp"
#include "skylarkdyke/config/submission.hpp"
#include "support/sample_config.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;

TEST_GROUP(config_change) {
  const config::document Old = test_support::sampleConfig();
  config::document New = Old;
};

// Guards against a list of recent submissions that drops ids too early or grows
// without bound.
TEST(config_change, NextDocumentKeepsTheLastSubmissions) {
  for (int I = 0; I < 20; ++I)
    New = config::nextDocument(
        New, Old, {"n-" + std::to_string(I), base::operator_name("bo"), {}});
  CHECK_EQUAL(27u, New.Version);
  CHECK_EQUAL(16u, New.RecentSubmissions.size());
  CHECK_TRUE(config::hasSubmission(New, "n-4"));
  CHECK_FALSE(config::hasSubmission(New, "n-3"));
}

// Guards against a difference that identifies items by their index in a list,
// or reports items whose index alone changed.
TEST(config_change, DifferenceIdentifiesItemsByTheirKeys) {
  New.Version = 8;
  std::swap(New.Regions[0], New.Regions[1]);
  New.Regions[1].CapPerSecond = 900;
  New.Drains.push_back({config::drain_scope::Domain, "north-a", {}, {}});
  New.ClientBlocks.clear();
  const auto Changes = config::difference(Old, New);
  CHECK_EQUAL(3u, Changes.size());
  STRCMP_EQUAL("/client_blocks/10.1.0.0~116: region north -> (none)",
               config::toString(Changes[0]).c_str());
  STRCMP_EQUAL("/drains/domain:north-a: (none) -> action leave, start "
               "1970-01-01T00:00:00.000Z",
               config::toString(Changes[1]).c_str());
  STRCMP_EQUAL("/regions/north/cap_per_second: 1000 -> 900",
               config::toString(Changes[2]).c_str());
}

// Guards against a preview that does not show that a drain would overload a
// region or link.
TEST(config_change, PreviewShowsTheOverloadOfADrain) {
  const base::service_name Service("stock-view");
  New.Drains = {{config::drain_scope::Region, "north", {}, {}}};
  const auto Preview = config::preview(
      Old, New,
      {{Service, base::region_name("north"), 600, 5, 2000000, 100},
       {Service, base::region_name("south"), 600, 5, 0, 0}});
  CHECK_EQUAL(0u, Preview.Regions[0].SlotsAfter);
  DOUBLES_EQUAL(0.5, Preview.Regions[1].LoadShareBefore, 1e-9);
  DOUBLES_EQUAL(1, Preview.Regions[1].LoadShareAfter, 1e-9);
  CHECK_EQUAL(2u, Preview.Regions[1].Overloads.size());
  STRCMP_EQUAL("1200 requests/s would arrive, the cap is 1000",
               Preview.Regions[1].Overloads[0].c_str());
  STRCMP_EQUAL("stock-view would need 10 slots, 8 remain",
               Preview.Regions[1].Overloads[1].c_str());
  CHECK_TRUE(Preview.Links[0].IsOverloaded);
  CHECK_FALSE(Preview.Links[1].IsOverloaded);
  CHECK_EQUAL(2u, Preview.LeavingTargets.size());
  CHECK_EQUAL(10000, Preview.Drains[0].Ramp.count());
}

// Guards against a preview that shows a removed target as a drained one.
TEST(config_change, PreviewDistinguishesRemovalFromDrain) {
  New.Targets.erase(New.Targets.begin());
  New.Drains = {{config::drain_scope::Target, "t-north-b", {}, {}}};
  const auto Preview = config::preview(Old, New, {});
  CHECK_EQUAL(2u, Preview.LeavingTargets.size());
  CHECK_TRUE(Preview.LeavingTargets[0].IsRemoved);
  CHECK_FALSE(Preview.LeavingTargets[1].IsRemoved);
  CHECK_EQUAL(0, Preview.Drains[0].Ramp.count());
}
