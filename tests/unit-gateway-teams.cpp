#include "gateway/detail/caller_key.hpp"
#include "gateway/detail/team_labels.hpp"

#include <set>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using boost::beast::http::field;

static constexpr const char *TeamHeader = "Skylarkdyke-Tenant-Id";

static std::string keyOf(const std::string &Authorization) {
  net::http_request Request;
  Request.set(field::authorization, Authorization);
  return std::string(gateway::detail::callerKey(Request).value_or("none"));
}

TEST_GROUP(gateway_teams){};

// Guards against keys that are not read in a form that HTTP allows, and against
// other credentials that are taken for a key.
TEST(gateway_teams, ReadsTheKeyOfABearerHeader) {
  STRCMP_EQUAL("k-1", keyOf("Bearer k-1").c_str());
  STRCMP_EQUAL("k-1", keyOf("bEARER   k-1").c_str());
  for (const char *Other :
       {"", "Bearer", "Bearer ", "Bearerk-1", "Basic k-1", "k-1"})
    STRCMP_EQUAL("none", keyOf(Other).c_str());
  net::http_request Repeated;
  Repeated.insert(field::authorization, "Bearer k-1");
  Repeated.insert("AUTHORIZATION", "Bearer k-2");
  CHECK(gateway::detail::callerKey(Repeated).value().empty());
  CHECK(!gateway::detail::callerKey({}).has_value());
}

// Guards against targets that see the key of a caller, or a team that the
// caller has stated.
TEST(gateway_teams, TargetsSeeTheTeamInPlaceOfTheKey) {
  net::http_request Request;
  Request.insert("authorization", "Bearer k-1");
  Request.insert("Authorization", "Bearer k-2");
  Request.insert("skylarkdyke-tenant-ID", "other");
  Request.insert("SKYLARKDYKE-TENANT-ID", "another");
  Request.insert("X-Kept", "1");
  net::http_request Public = Request;
  routing::team Team;
  Team.Name = base::team_name("mine");
  gateway::detail::replaceCredentials(Request, TeamHeader, &Team);
  LONGS_EQUAL(1, Request.count(TeamHeader));
  CHECK(Request[TeamHeader] == "mine" && Request["X-Kept"] == "1");
  LONGS_EQUAL(0, Request.count(field::authorization));
  gateway::detail::replaceCredentials(Public, TeamHeader, nullptr);
  LONGS_EQUAL(0, Public.count(TeamHeader));
  LONGS_EQUAL(0, Public.count(field::authorization));
}

// Guards against metrics that grow without bound as teams come and go.
TEST(gateway_teams, LabelsOfMetricsAreBounded) {
  gateway::detail::team_labels Labels;
  std::set<std::string> Values;
  for (int I = 0; I < 10000; ++I)
    Values.insert(Labels.labelOf(base::team_name(std::to_string(I))));
  LONGS_EQUAL(gateway::detail::team_labels::MaxTeams + 1, Values.size());
  STRCMP_EQUAL("0", Labels.labelOf(base::team_name("0")).c_str());
  STRCMP_EQUAL("other", Labels.labelOf(base::team_name("9999")).c_str());
}
