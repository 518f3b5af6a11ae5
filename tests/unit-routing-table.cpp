#include "skylarkdyke/routing/route_table.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;

static routing::route makeRoute(const char *Name, const char *Host,
                                const char *Prefix) {
  routing::route Route;
  Route.Name = Name;
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.Services.push_back({base::service_name("s"), 1});
  return Route;
}

TEST_GROUP(routing_table) {
  routing::route_table Table{[] {
    routing::configuration Configuration;
    Configuration.Version = 3;
    Configuration.Routes = {makeRoute("short", "a.example", "/x/"),
                            makeRoute("long", "a.example", "/x/y/"),
                            makeRoute("other", "b.example", "/x/")};
    Configuration.Services.push_back({base::service_name("s"), "/h", 1, {}, 0});
    return Configuration;
  }()};

  const char *matchedRouteName(const char *Host, const char *Target) {
    const routing::route *Route = Table.match(Host, Target);
    return Route == nullptr ? "" : Route->Name.c_str();
  }
};

// Guards against requests that get the route of a shorter prefix, or one that
// matches only the query.
TEST(routing_table, TheLongestPrefixWins) {
  STRCMP_EQUAL("long", matchedRouteName("a.example", "/x/y/1"));
  STRCMP_EQUAL("short", matchedRouteName("a.example", "/x/z"));
  STRCMP_EQUAL("short", matchedRouteName("a.example", "/x/?q=/x/y/"));
}

// Guards against routes of another host, and against prefixes that match in the
// middle of a path segment.
TEST(routing_table, HostAndWholeSegmentsMustMatch) {
  STRCMP_EQUAL("other", matchedRouteName("B.Example:8080", "/x/y/1"));
  STRCMP_EQUAL("", matchedRouteName("c.example", "/x/"));
  STRCMP_EQUAL("", matchedRouteName("a.example", "/xy"));
}

// Guards against look-ups that find a service which the configuration lacks.
TEST(routing_table, FindsServicesByName) {
  CHECK(Table.findService(base::service_name("s")) != nullptr);
  CHECK(Table.findService(base::service_name("t")) == nullptr);
}
