#include "gateway/detail/directory_service.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using regions = std::vector<base::region_name>;

static const base::region_name East("east");
static const base::region_name North("north");
static const base::region_name South("south");

static routing::route makeRoute(const char *Prefix, regions Allowed) {
  routing::route Route;
  Route.Name = Prefix;
  Route.Host = "h.example";
  Route.PathPrefix = Prefix;
  Route.Services = {{base::service_name("s"), 1}};
  Route.AllowedRegions = std::move(Allowed);
  return Route;
}

TEST_GROUP(gateway_directory) {
  base::boot_time Now{1h};
  std::vector<routing::route> Routes;
  placement::target_registry TargetRegistry{{}};

  /// Returns whether a caller of a region without entries is sent to an entry
  /// in another region.
  bool namesEntryIn(const base::region_name &Region) {
    const base::domain_name Domain("d");
    gateway::gateway_settings Settings;
    Settings.RegionOf = {{Domain, Region}};
    gateway::caller_protocol Protocol;
    Protocol.FormatDirectoryResponse = [](const auto &, auto) { return ""; };
    gateway::detail::steering_state State(
        TargetRegistry,
        [this](const std::string &) -> gateway::configuration_result {
          routing::configuration Configuration;
          Configuration.Version = 1;
          Configuration.Routes = Routes;
          return Configuration;
        },
        2s, [this] { return Now; });
    State.apply(routing::configuration_published{"document"}, {0, 1});
    const placement::placer Placer(TargetRegistry, Region);
    const gateway::detail::demand_history History;
    const membership::member_table Members({"127.0.0.1", 1}, Region,
                                           Settings.RegionOf);
    gateway::detail::directory_service Directory(
        Settings, Protocol, State, TargetRegistry, Placer, History, Members,
        [&] {
          membership::entry_status Own;
          Own.Domain = Domain;
          Own.FrontAddress = {"127.0.0.1", 2};
          Own.Ready = true;
          return Own;
        });
    const gateway::directory_query Query{
        "h.example", base::region_name("empty"), base::domain_name("e")};
    return Directory.respond(Query, Now).result_int() == 200;
  }
};

// Guards against callers that are sent to a region which one of the routes of
// their host does not allow.
TEST(gateway_directory, RegionsOfAllRoutesOfTheHostHold) {
  Routes = {makeRoute("/a/b/c/", {}), makeRoute("/a/b/", {East, North}),
            makeRoute("/a/", {North, South})};
  CHECK(namesEntryIn(North));
  CHECK(!namesEntryIn(East));
  CHECK(!namesEntryIn(South));
}

// Guards against callers who are sent nowhere, or anywhere, because the routes
// of their host have no region in common.
TEST(gateway_directory, TheMostSpecificRouteHoldsWithoutACommonRegion) {
  Routes = {makeRoute("/a/", {South}), makeRoute("/a/b/", {East})};
  CHECK(namesEntryIn(East));
  CHECK(!namesEntryIn(South));
  Routes = {makeRoute("/a/", {})};
  CHECK(namesEntryIn(South));
}
