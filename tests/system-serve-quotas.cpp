#include "skylarkdyke/base/clock.hpp"
#include "support/platform_stand_in.hpp"
#include "support/raw_client.hpp"
#include "support/served_entry.hpp"
#include "support/wait_until.hpp"

#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::raw_client;
using test_support::served_entry;

namespace {

/// Requests that the bound allows in a window of 5 s at two requests per
/// second: 2 x 5 x 1.1 + 20.
constexpr std::size_t MaxInWindow = 31;
/// Tokens that the pools have once they have been running for 4 s.
constexpr std::size_t MinServed = 5;

struct served_request {
  base::boot_time SentAt;
  base::boot_time EndedAt;
};

std::string routesWithQuota() {
  auto Document = nlohmann::json::parse(test_support::servedRoutes(2));
  Document["tenants"] = nlohmann::json::parse(
      R"({"columns":["name","api_keys","rate_per_s"],"rows":[["acme",["k"],2],
["free",["f"],null]]})");
  return Document.dump();
}

std::string askWithKey(const base::endpoint &Front, const std::string &Key,
                       int Id) {
  const raw_client Client(Front);
  Client.send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: "
              "Bearer " +
              Key + "\r\nSkylarkdyke-Request-Id: q" + std::to_string(Id) +
              "\r\nSkylarkdyke-Request-Deadline: 2000\r\n\r\n");
  std::string Response;
  test_support::waitUntil(
      [&] {
        Response += Client.receive();
        return Response.find("\r\n\r\n") != std::string::npos ||
               Client.isClosed();
      },
      3s);
  return Response;
}

} // namespace

TEST_GROUP(system_serve_quotas){};

// Guards against two entries that each let a team use its whole quota, against
// refusals of a team within it, and against a refused request that has run.
TEST(system_serve_quotas, TwoEntriesTogetherStayWithinAQuota) {
  test_support::platform_stand_in Platform;
  Platform.put("op/config", routesWithQuota());
  Platform.addTarget("o1", "orders", "z", 1ms);
  served_entry First(Platform.storeAddress());
  served_entry Second(Platform.storeAddress(), 4s, First.mesh());
  CHECK_TRUE(First.start());
  CHECK_TRUE(Second.start());
  // Until the pools know all entries and have their first tokens.
  std::this_thread::sleep_for(4s);
  std::vector<served_request> Served;
  std::size_t Refused = 0;
  for (int Id = 0; Id < 200; ++Id) {
    const auto &Entry = Id % 2 == 0 ? First : Second;
    const auto SentAt = base::boot_clock::now();
    const std::string Response = askWithKey(Entry.front(), "k", Id);
    const std::string Status = test_support::statusOf(Response);
    if (Status == "200") {
      Served.push_back({SentAt, base::boot_clock::now()});
      continue;
    }
    STRCMP_EQUAL("429", Status.c_str());
    CHECK_TRUE(Response.find("Retry-After: ") != std::string::npos);
    ++Refused;
  }
  CHECK_TRUE(Refused > 0);
  CHECK_TRUE(Served.size() >= MinServed);
  for (std::size_t I = 0; I + MaxInWindow < Served.size(); ++I)
    CHECK_TRUE(Served[I + MaxInWindow].EndedAt - Served[I].SentAt > 5s);
  LONGS_EQUAL(Served.size(), Platform.runs().size());
  STRCMP_EQUAL(
      "200",
      test_support::statusOf(askWithKey(First.front(), "f", 1000)).c_str());
}
