#include "gateway/detail/weighted_round_robin.hpp"
#include "platform/wire.hpp"
#include "skylarkdyke/routing/route_table.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using nlohmann::json;

static json validDocument() {
  return json::parse(R"({"version":"r7","routes":{"columns":["name","host",
"path_prefix","kind","timeout_s","target_latency_s","priority","service",
"max_attempts","sticky","allowed_regions","traffic_split"],"rows":[
["a","h.example","/a/","unsafe",2,0.8,1,"orders",2,true,["north"],null],
["b","h.example","/b/","safe",1.5,0.6,2,null,3,null,[],
[{"service":"orders","weight":90},{"service":"stock","weight":10}]]]},
"services":{"columns":["name","health_path","max_connections","cold_start_s",
"cold_per_s"],"rows":[["orders","/healthz",360,3.0,3.1],
["stock","/healthz",360,3.0,3.1]]},
"limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_s":3,
"idle_timeout_s":15}})");
}

static gateway::configuration_result decode(const json &Document) {
  return platform::decodeConfiguration(
      Document.dump(-1, ' ', false, json::error_handler_t::replace));
}

/// Returns the valid document with one value replaced.
static json withValue(const char *Pointer, const json &Value) {
  json Document = validDocument();
  Document[json::json_pointer(Pointer)] = Value;
  return Document;
}

TEST_GROUP(platform_configuration){};

// Guards against a valid version that is not in force because of a field that
// is not needed to serve its routes.
TEST(platform_configuration, FieldsOfAnotherTypeDoNotKeepAVersionOut) {
  for (const json &Document :
       {withValue("/routes/rows/0/9", "yes"), withValue("/routes/rows/0/0", 7),
        withValue("/routes/rows/0/4", "2 s"), withValue("/routes/rows/0/8", 0),
        withValue("/routes/rows/0/6", 1e300),
        withValue("/routes/rows/0/10", {7, "north"}),
        withValue("/services/rows/0/4", "fast"),
        withValue("/services/rows/1/2", -1), withValue("/limits", 7),
        withValue("/limits/max_body_bytes", "2 MB")}) {
    const auto Decoded = decode(Document);
    CHECK_TEXT(Decoded.has_value(), Document.dump().c_str());
    LONGS_EQUAL(2, Decoded.value().Routes.size());
    LONGS_EQUAL(1, Decoded.value().Routes[0].AllowedRegions.size());
    CHECK(Decoded.value().Routes[0].MaxAttempts > 0);
  }
}

// Guards against a document in force of which a route cannot be served, or is
// served where it must not be.
TEST(platform_configuration, WhatCannotBeServedIsRefusedWithItsVersion) {
  const std::vector<std::pair<json, const char *>> Documents = {
      {withValue("/routes/rows/0/7", "nobody"), "/routes/0"},
      {withValue("/routes/rows/0/10", {7}), "/routes/0/allowed_regions"},
      {withValue("/routes/rows/0/10", "north"), "/routes/0/allowed_regions"},
      {withValue("/routes/rows/1/2", "/a/"), "/routes/1/path_prefix"},
      {withValue("/routes/rows/1/2", "b/"), "/routes/1/path_prefix"},
      {withValue("/routes/rows/1/1", 7), "/routes/1/host"},
      {withValue("/routes/rows/1/11/0/weight", "90"),
       "/routes/1/traffic_split"},
      {withValue("/routes/rows/1/11/0/weight", -1), "/routes/1"},
      {withValue("/routes/rows/1/11", {{{"service", "orders"}, {"weight", 0}}}),
       "/routes/1"},
      {withValue("/routes/rows/1", 7), "/routes/1/host"},
      {withValue("/routes/columns", 7), "/routes"},
      {withValue("/services/rows/1/0", "orders"), "/services"}};
  for (const auto &[Document, Location] : Documents) {
    const auto Decoded = decode(Document);
    CHECK_TEXT(!Decoded, Document.dump().c_str());
    LONGS_EQUAL(7, Decoded.error().Version);
    STRCMP_EQUAL(Location, Decoded.error().Findings.at(0).Location.c_str());
  }
}

/// Returns the valid document with teams, and a public route.
static json documentWithTeams() {
  json Document = validDocument();
  Document["routes"]["columns"][0] = "public";
  Document["routes"]["rows"][0][0] = true;
  Document["tenants"] = json::parse(R"({"columns":["name","api_keys","priority",
"rate_per_s","burst","allowed_regions","colour"],"rows":[
["north-club",["k1","k2"],0,12.5,30,["north"],"red"],
["south-club",["k3"],null,0,null,null,null],["no-keys"]]})");
  return Document;
}

// Guards against teams of which a key, a limit or a region is lost.
TEST(platform_configuration, TeamsAreDecoded) {
  const auto Decoded = decode(documentWithTeams());
  CHECK(Decoded.has_value());
  CHECK(Decoded.value().Routes[0].Public && !Decoded.value().Routes[1].Public);
  const std::vector<routing::team> &Teams = Decoded.value().Teams.value();
  LONGS_EQUAL(3, Teams.size());
  STRCMP_EQUAL("north-club", Teams[0].Name.str().c_str());
  CHECK((Teams[0].Keys == std::vector<std::string>{"k1", "k2"}));
  LONGS_EQUAL(0, Teams[0].Priority.value());
  DOUBLES_EQUAL(12.5, Teams[0].Quota.value().Rate, 0);
  DOUBLES_EQUAL(30, Teams[0].Quota.value().Burst, 0);
  CHECK(Teams[0].AllowedRegions == std::vector{base::region_name("north")});
  CHECK(!Teams[1].Priority && !Teams[1].Quota &&
        Teams[1].AllowedRegions.empty());
  CHECK(Teams[2].Keys.empty());
  CHECK(!decode(validDocument()).value().Teams.has_value());
}

// Guards against a version in force whose teams are read in part: it would
// admit or limit other callers than its operators want.
TEST(platform_configuration, TeamsThatCannotBeReadRefuseTheVersion) {
  const std::vector<std::pair<const char *, json>> Changes = {
      {"/tenants", nullptr},          {"/tenants", json::array()},
      {"/tenants/columns", "name"},   {"/tenants/rows", json::object()},
      {"/tenants/rows/0", 7},         {"/tenants/rows/0/0", 7},
      {"/tenants/rows/0/0", nullptr}, {"/tenants/rows/0/0", "south-club"},
      {"/tenants/rows/0/1", "k1"},    {"/tenants/rows/0/1", {"k1", 2}},
      {"/tenants/rows/0/1", {"k3"}},  {"/tenants/rows/0/1", {""}},
      {"/tenants/rows/0/2", "high"},  {"/tenants/rows/0/3", "12.5"},
      {"/tenants/rows/0/3", -1},      {"/tenants/rows/0/4", true},
      {"/tenants/rows/0/5", "north"}};
  for (const auto &[Pointer, Value] : Changes) {
    json Document = documentWithTeams();
    Document[json::json_pointer(Pointer)] = Value;
    const auto Decoded = decode(Document);
    CHECK_TEXT(!Decoded, Document.dump().c_str());
    LONGS_EQUAL(7, Decoded.error().Version);
    STRCMP_CONTAINS("/tenants",
                    Decoded.error().Findings.at(0).Location.c_str());
  }
}

/// Returns a value of any type, the values of the valid document included.
static rc::Gen<json> anyValue() {
  return rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::arbitrary<double>()),
      [](const std::pair<int, double> &Choice) -> json {
        const std::vector<json> Values = {json(),
                                          "",
                                          "/a/",
                                          "orders",
                                          "r9",
                                          -1,
                                          0,
                                          1e300,
                                          json::array(),
                                          json(),
                                          {{"weight", 1}},
                                          true,
                                          Choice.second,
                                          {"north", 3}};
        return Values.at(static_cast<std::size_t>(Choice.first));
      });
}

/// Collects the positions of all values of a document.
static void collectPointers(const json &Value, const json::json_pointer &At,
                            std::vector<json::json_pointer> &Pointers) {
  Pointers.push_back(At);
  if (Value.is_object())
    for (const auto &[Name, Child] : Value.items())
      collectPointers(Child, At / Name, Pointers);
  if (Value.is_array())
    for (std::size_t I = 0; I < Value.size(); ++I)
      collectPointers(Value[I], At / I, Pointers);
}

static void checkServable(const routing::configuration &Configuration) {
  const routing::route_table Table(Configuration);
  gateway::detail::weighted_round_robin Selector;
  RC_ASSERT(Configuration.Version > 0U);
  for (const routing::team &Team :
       Configuration.Teams.value_or(std::vector<routing::team>()))
    for (const std::string &Key : Team.Keys)
      RC_ASSERT(Table.findTeam(Key)->Name == Team.Name);
  for (const routing::route &Route : Configuration.Routes) {
    const auto *Matched = Table.match(Route.Host, Route.PathPrefix + "x");
    RC_ASSERT(Matched != nullptr);
    RC_ASSERT(Matched->PathPrefix == Route.PathPrefix);
    RC_ASSERT(Route.MaxAttempts > 0U && Route.Timeout.count() > 0);
    for (int I = 0; I < 10; ++I) {
      const auto &Part = Route.Services.at(Selector.next(Route));
      RC_ASSERT(Part.Weight > 0);
      RC_ASSERT(Table.findService(Part.Service) != nullptr);
    }
  }
}

// Guards against any document that ends the process, is refused without a
// reason, or holds a route that cannot be matched and served.
TEST(platform_configuration, EachDocumentIsRefusedOrCanBeServed) {
  CHECK(rc::check([] {
    json Document =
        *rc::gen::arbitrary<bool>() ? validDocument() : documentWithTeams();
    const int Changes = *rc::gen::inRange(1, 4);
    for (int I = 0; I < Changes; ++I) {
      std::vector<json::json_pointer> Pointers;
      collectPointers(Document, json::json_pointer(), Pointers);
      Document[*rc::gen::elementOf(Pointers)] = *anyValue();
    }
    const auto Decoded = decode(Document);
    if (Decoded)
      return checkServable(Decoded.value());
    RC_ASSERT(!Decoded.error().Findings.empty());
    RC_ASSERT(!Decoded.error().Findings[0].Location.empty());
  }));
}
