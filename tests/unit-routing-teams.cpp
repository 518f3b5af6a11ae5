#include "skylarkdyke/routing/identification.hpp"
#include "skylarkdyke/routing/team_rules.hpp"
#include "skylarkdyke/routing/validation.hpp"

#include <limits>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using base::region_name;
using routing::key_fault;

static routing::team makeTeam(const char *Name, std::vector<std::string> Keys) {
  routing::team Team;
  Team.Name = base::team_name(Name);
  Team.Keys = std::move(Keys);
  return Team;
}

static routing::configuration
withTeams(std::optional<std::vector<routing::team>> Teams) {
  routing::configuration Configuration;
  Configuration.Version = 1;
  Configuration.Teams = std::move(Teams);
  return Configuration;
}

TEST_GROUP(routing_teams) {
  routing::route Route;
  routing::route_table Table{withTeams(
      std::vector{makeTeam("a", {"k1", "k2"}), makeTeam("b", {"k3"})})};

  /// Returns the name of the identified team; empty if it is none.
  std::string identify(std::optional<std::string_view> Key) const {
    const auto Identified = routing::identifyTeam(Table, Route, Key);
    CHECK(Identified.has_value());
    return Identified.value() == nullptr ? "" : Identified.value()->Name.str();
  }
  key_fault faultOf(std::optional<std::string_view> Key) const {
    const auto Identified = routing::identifyTeam(Table, Route, Key);
    CHECK(Identified.has_error());
    return Identified.error();
  }
};

// Guards against requests that are served without a valid key, or as another
// team.
TEST(routing_teams, AKeyIdentifiesTheTeamThatHoldsIt) {
  STRCMP_EQUAL("a", identify("k1").c_str());
  STRCMP_EQUAL("a", identify("k2").c_str());
  STRCMP_EQUAL("b", identify("k3").c_str());
  CHECK(faultOf(std::nullopt) == key_fault::Missing);
  for (const char *Key : {"", "k", "k4", "k11", "K1"})
    CHECK(faultOf(Key) == key_fault::Unknown);
}

// Guards against public routes that refuse callers without a key, and against
// teams that evade their quota, their regions or a revocation on them.
TEST(routing_teams, PublicRoutesNeedNoKeyButCheckOne) {
  Route.Public = true;
  STRCMP_EQUAL("", identify(std::nullopt).c_str());
  STRCMP_EQUAL("a", identify("k1").c_str());
  CHECK(faultOf("k4") == key_fault::Unknown);
}

// Guards against keys that are asked for although no teams are configured, and
// against an empty list of teams that admits everybody.
TEST(routing_teams, OnlyAListOfTeamsAsksForKeys) {
  const routing::route_table Without(withTeams(std::nullopt));
  CHECK(routing::identifyTeam(Without, Route, std::nullopt).value() == nullptr);
  CHECK(routing::identifyTeam(Without, Route, "k1").value() == nullptr);
  const routing::route_table Empty(withTeams(std::vector<routing::team>()));
  CHECK(routing::identifyTeam(Empty, Route, "k1").error() ==
        key_fault::Unknown);
}

// Guards against a look-up that confuses keys of the same hash, or needs a
// certain seed.
TEST(routing_teams, KeysAreFoundUnderAnySeed) {
  std::vector<routing::team> Teams;
  Teams.reserve(300);
  for (int I = 0; I < 300; ++I)
    Teams.push_back(
        makeTeam(std::to_string(I).c_str(),
                 {"key-" + std::to_string(I), "x" + std::to_string(I)}));
  for (const std::uint64_t Seed : {0ULL, 7ULL, ~0ULL}) {
    const routing::key_index Index(Teams, Seed);
    for (const routing::team &Team : Teams)
      for (const std::string &Key : Team.Keys)
        CHECK(Index.find(Key) == &Team);
    CHECK(Index.find("key-300") == nullptr);
  }
}

// Guards against a route whose priority hides that of the team.
TEST(routing_teams, ThePriorityOfTheTeamGoesFirst) {
  Route.Priority = 2;
  routing::team Team;
  LONGS_EQUAL(2, routing::priorityOf(Route, nullptr));
  LONGS_EQUAL(2, routing::priorityOf(Route, &Team));
  Team.Priority = 0;
  LONGS_EQUAL(0, routing::priorityOf(Route, &Team));
}

// Guards against requests in a region that only the route or only the team
// allows.
TEST(routing_teams, RegionsOfRouteAndTeamBothHold) {
  const region_name East("east");
  const region_name North("north");
  const region_name South("south");
  routing::team Team;
  CHECK(!routing::allowedRegions(Route, &Team).has_value());
  Team.AllowedRegions = {South, North};
  CHECK((routing::allowedRegions(Route, &Team) == std::vector{North, South}));
  CHECK(!routing::allowedRegions(Route, nullptr).has_value());
  Route.AllowedRegions = {East, North};
  CHECK((routing::allowedRegions(Route, &Team) == std::vector{North}));
  CHECK((routing::allowedRegions(Route, nullptr) == std::vector{East, North}));
  CHECK(!routing::isRegionAllowed(Route, &Team, South));
  Team.AllowedRegions = {South};
  CHECK(routing::allowedRegions(Route, &Team)->empty());
}

// Guards against a key of two teams, a name that adds a header of its own, and
// findings that show a key.
TEST(routing_teams, TeamsThatCannotBeUsedAreFound) {
  const auto Finds = [](const std::vector<routing::team> &Teams) {
    const auto Findings = routing::validateTeams(Teams, "/t");
    for (const base::finding &Finding : Findings)
      CHECK(Finding.Reason.find("secret") == std::string::npos);
    return Findings.empty() ? std::string() : Findings[0].Location;
  };
  const auto WithQuota = [](double Rate, double Burst) {
    routing::team Team = makeTeam("a", {});
    Team.Quota = routing::request_quota{Rate, Burst};
    return Team;
  };
  STRCMP_EQUAL("",
               Finds({makeTeam("a", {"x", "x"}), makeTeam("b", {})}).c_str());
  STRCMP_EQUAL(
      "/t/1",
      Finds({makeTeam("a", {"secret"}), makeTeam("b", {"secret"})}).c_str());
  STRCMP_EQUAL("/t/1", Finds({makeTeam("a", {}), makeTeam("a", {})}).c_str());
  for (const char *Name : {"", " a", "a\r\nHost: x"})
    STRCMP_EQUAL("/t/0", Finds({makeTeam(Name, {})}).c_str());
  for (const char *Key : {"", "secret ", "secret\n"})
    STRCMP_EQUAL("/t/0", Finds({makeTeam("a", {Key})}).c_str());
  STRCMP_EQUAL("", Finds({WithQuota(5, 0)}).c_str());
  STRCMP_EQUAL("/t/0", Finds({WithQuota(-1, 0)}).c_str());
  STRCMP_EQUAL("/t/0", Finds({WithQuota(1, -1)}).c_str());
  STRCMP_EQUAL(
      "/t/0",
      Finds({WithQuota(std::numeric_limits<double>::infinity(), 0)}).c_str());
}
