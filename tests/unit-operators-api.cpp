#include "operators/detail/problem.hpp"
#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/http/client.hpp"
#include "support/fake_admin_entry.hpp"
#include "support/free_port.hpp"
#include "support/sample_config.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
// Behind the others: it replaces new by a macro.

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using nlohmann::json;
using test_support::contains;

TEST_GROUP(operators_api) {
  test_support::fake_port Port;

  static std::string changed(std::uint64_t Cap) {
    config::document Document = test_support::sampleConfig();
    Document.Regions[0].CapPerSecond = Cap;
    return config::encode(Document);
  }

  http::response put(const std::string &Body, const std::string &Tag) const {
    return Port.ask("PUT", "/admin/v1/config", Body, {{"If-Match", Tag}});
  }

  static void expectProblem(int Status, int Code, const http::response &Got) {
    CHECK_EQUAL(Status, Got.Status);
    STRCMP_EQUAL("application/problem+json",
                 Got.Headers.at("Content-Type").c_str());
    CHECK_EQUAL(Code, json::parse(Got.Body)["code"].get<int>());
  }
};

// Guards against any resource that answers without authentication.
TEST(operators_api, AnswersNothingWithoutAuthentication) {
  Port.User = Port.Token = "";
  for (const char *Path :
       {"/", "/console", "/console/caps", "/admin/v1/config",
        "/admin/v1/status", "/admin/v1/seats", "/metrics", "/other"}) {
    const http::response Got = Port.ask("GET", Path);
    expectProblem(401, 600, Got);
    CHECK_TRUE(contains(Got.Headers.at("WWW-Authenticate"), "Basic"));
  }
  Port.User = "ana";
  for (int I = 0; I < 4; ++I)
    expectProblem(401, 600, Port.ask("GET", "/metrics"));
  expectProblem(429, 601, Port.ask("GET", "/metrics"));
  operators::admin_service Closed(Port.Entry.functions(), {});
  expectProblem(403, 602, Closed.handle({}));
}

// Guards against a change that overwrites one that its operator did not see.
TEST(operators_api, NeedsTheVersionThatWasEdited) {
  STRCMP_EQUAL("\"7\"",
               Port.ask("GET", "/admin/v1/config").Headers.at("ETag").c_str());
  expectProblem(428, 610, Port.ask("PUT", "/admin/v1/config", changed(5)));
  for (const char *Tag : {"7", "*", "W/\"7\"", "\"\"", "\"", "", "\"x\""})
    expectProblem(400, 611, put(changed(5), Tag));
  CHECK_EQUAL(0u, Port.Entry.Submissions);
  const http::response Got = put(changed(5), "\"7\"");
  CHECK_EQUAL(200, Got.Status);
  STRCMP_EQUAL("\"8\"", Got.Headers.at("ETag").c_str());
  CHECK_EQUAL(1, json::parse(Got.Body)["in_force"].get<int>());
  CHECK_EQUAL(5u, Port.Entry.Document->Regions[0].CapPerSecond);
}

// Guards against the loser of two submissions not learning what came first.
TEST(operators_api, TellsFieldsAndNameOnAConflict) {
  put(changed(5), "\"7\"");
  Port.User = "bo";
  Port.Token = "other";
  const http::response Got = put(changed(6), "\"7\"");
  expectProblem(412, 612, Got);
  const json Body = json::parse(Got.Body);
  STRCMP_EQUAL("ana", Body["by"].get<std::string>().c_str());
  STRCMP_EQUAL("/regions/north/cap_per_second",
               Body["changes"][0]["place"].get<std::string>().c_str());
  CHECK_EQUAL(5u, Port.Entry.Document->Regions[0].CapPerSecond);
}

// Guards against findings that come one at a time or without a place.
TEST(operators_api, ListsAllFindingsWithPlaces) {
  config::document Document = test_support::sampleConfig();
  Document.Regions[0].CapPerSecond = 0;
  Document.EntrySeats = 3;
  const http::response Got = put(config::encode(Document), "\"7\"");
  expectProblem(422, 613, Got);
  CHECK_EQUAL(2u, json::parse(Got.Body)["findings"].size());
  expectProblem(422, 613, put("{", "\"7\""));
  expectProblem(
      422, 613,
      Port.ask("POST", "/admin/v1/config/preview", config::encode(Document)));
  CHECK_EQUAL(0u, Port.Entry.Submissions);
}

// Guards against an unknown result that reads like an accepted or a refused
// one, and against an outage that does.
TEST(operators_api, ReportsUnknownAndUnavailableAsSuch) {
  Port.Entry.Result = store::unknown_submission{"s-9", "lost"};
  const http::response Unknown = put(changed(5), "\"7\"");
  CHECK_EQUAL(202, Unknown.Status);
  STRCMP_EQUAL("unknown",
               json::parse(Unknown.Body)["result"].get<std::string>().c_str());
  CHECK_TRUE(contains(Unknown.Body, "s-9"));
  Port.Entry.Result = store::unavailable{"refused"};
  expectProblem(503, 614, put(changed(5), "\"7\""));
  // A version that this entry does not have yet cannot be checked.
  Port.Entry.Result.reset();
  expectProblem(503, 614, put(changed(5), "\"8\""));
}

// Guards against a first document that cannot be submitted by the API.
TEST(operators_api, CreatesTheFirstDocument) {
  Port.Entry.Document = nullptr;
  expectProblem(404, 608, Port.ask("GET", "/admin/v1/config"));
  CHECK_EQUAL(200, Port.ask("PUT", "/admin/v1/config", changed(5),
                            {{"If-None-Match", "*"}})
                       .Status);
  CHECK_EQUAL(1u, Port.Entry.Document->Version);
}

// Guards against a page of another site that uses an operator's credentials:
// browsers send these types without asking.
TEST(operators_api, RefusesContentTypesOfForms) {
  for (const char *Type : {"text/plain", "application/x-www-form-urlencoded"})
    expectProblem(
        415, 605,
        Port.ask("POST", "/admin/v1/drains", "{}", {{"Content-Type", Type}}));
  expectProblem(405, 604, Port.ask("GET", "/admin/v1/drains"));
  expectProblem(404, 603, Port.ask("GET", "/admin/v2"));
}

// Guards against a drain that moves traffic before all entries have it.
TEST(operators_api, StartsADrainAfterItIsInForceEverywhere) {
  const std::string Body =
      R"({"scope":"domain","name":"north-a","action":"leave"})";
  CHECK_EQUAL(200, Port.ask("POST", "/admin/v1/drains", Body).Status);
  CHECK_EQUAL(1u, Port.Entry.Document->Drains.size());
  CHECK_TRUE(Port.Entry.Document->Drains[0].Start ==
             Port.Entry.Now + std::chrono::seconds(5));
  expectProblem(
      412, 612,
      Port.ask("POST", "/admin/v1/drains", Body, {{"If-Match", "\"7\""}}));
}

// Guards against a drain request whose fault is reported at a place that its
// sender does not know, and against deep nesting, which exhausts the stack.
TEST(operators_api, RefusesAMalformedDrain) {
  const http::response Got =
      Port.ask("POST", "/admin/v1/drains", R"({"scope":"zone","name":"x"})");
  expectProblem(422, 613, Got);
  CHECK_TRUE(contains(Got.Body, "\"/scope\""));
  CHECK_TRUE(contains(Got.Body, "\"/action\""));
  expectProblem(422, 613,
                Port.ask("POST", "/admin/v1/drains",
                         "{\"scope\":" + std::string(1000000, '[') +
                             std::string(1000000, ']') + "}"));
}

// Guards against a preview that leaves out what changes.
TEST(operators_api, PreviewsWithoutSubmitting) {
  const http::response Got =
      Port.ask("POST", "/admin/v1/config/preview", changed(50));
  const json Body = json::parse(Got.Body);
  CHECK_EQUAL(200, Got.Status);
  CHECK_EQUAL(1u, Body["changes"].size());
  CHECK_EQUAL(1u, Body["regions"][0]["overloads"].size());
  CHECK_EQUAL(0u, Port.Entry.Submissions);
}

TEST(operators_api, ReleasesBlockedRequests) {
  Port.Entry.Blocked = {{0xab, base::service_name("stock-view"), "GET /x", 2,
                         base::toBootTime(Port.Entry.Now)}};
  CHECK_TRUE(
      contains(Port.ask("GET", "/admin/v1/poisoned").Body, "00000000000000ab"));
  const std::string Path = "/admin/v1/poisoned/";
  CHECK_EQUAL(200, Port.ask("POST", Path + "00000000000000ab/release").Status);
  expectProblem(404, 620, Port.ask("POST", Path + "ac/release"));
  expectProblem(404, 620, Port.ask("POST", Path + "x/release"));
}

// Guards against a seat that is taken from an instance that the operator did
// not mean.
TEST(operators_api, FreesASeatOfTheNamedHolderOnly) {
  const std::string Path = "/admin/v1/seats/3/destroyed";
  const std::string Body = R"({"incarnation":"ab"})";
  expectProblem(400, 606, Port.ask("POST", Path, "{}"));
  Port.Entry.SeatResult = store::refused{};
  expectProblem(409, 621, Port.ask("POST", Path, Body));
  Port.Entry.SeatResult = store::unavailable{"down"};
  expectProblem(503, 614, Port.ask("POST", Path, Body));
  Port.Entry.SeatResult = store::unknown_effect{"lost"};
  CHECK_EQUAL(202, Port.ask("POST", Path, Body).Status);
  Port.Entry.SeatResult = store::written{};
  CHECK_EQUAL(200, Port.ask("POST", Path, Body).Status);
}

TEST(operators_api, ServesMetrics) {
  const std::string Text = Port.ask("GET", "/metrics").Body;
  CHECK_TRUE(contains(Text, "entry_metric 1\n"));
  CHECK_TRUE(contains(Text, "skylarkdyke_operator_denied_total 0\n"));
}

// Guards against form fields, credentials or large documents that the HTTP
// server does not hand on as the service expects them.
TEST(operators_api, TakesAFormWithTheLargestDocumentOverHttp) {
  const base::endpoint Address{"127.0.0.1", test_support::freePort()};
  http::server Server(Address, operators::adminServerLimits(),
                      [this](const http::server_request &Request) {
                        return Port.Service->handle(Request);
                      });
  CHECK_TRUE(Server.start());
  http::request Request;
  Request.Method = "POST";
  Request.Target = "/console/document";
  Request.Headers = {
      {"Authorization", "Basic " + base::encodeBase64("ana:secret")},
      {"Content-Type", "application/x-www-form-urlencoded"}};
  Request.Body =
      "version=7&csrf=" +
      test_support::hiddenFields(Port.open("/console/document"))["csrf"] +
      "&text=%7B%22%2F%22:1";
  for (std::size_t I = 16; I < config::MaxDocumentBytes; ++I)
    Request.Body += "%20";
  const auto Got = http::fetch(
      Address, Request,
      {base::boot_clock::now() + std::chrono::seconds(10), 10000000});
  CHECK_TRUE(Got.has_value());
  CHECK_EQUAL(422, Got.value().Status);
  CHECK_TRUE(contains(Got.value().Body, "not valid JSON"));
  CHECK_TRUE(contains(Got.value().Body, "{&quot;/&quot;:1    "));
}

// Guards against an error or event that its page does not explain.
TEST(operators_api, DocumentsEveryNumber) {
  const auto Read = [](const std::string &Name) {
    std::ifstream File(std::string(SKYLARKDYKE_SOURCE_DIR) + "/docs/" + Name);
    std::ostringstream Text;
    Text << File.rdbuf();
    return Text.str();
  };
  const std::string Errors = Read("errors.md");
  for (const int Code : {600, 601, 602, 603, 604, 605, 606, 607, 608, 610, 611,
                         612, 613, 614, 620, 621, 622, 623}) {
    const auto Known = static_cast<operators::problem_code>(Code);
    const std::string Row = "| " + std::to_string(Code) + " | " +
                            std::to_string(operators::statusOf(Known)) + " | " +
                            operators::titleOf(Known) + " |";
    CHECK_TEXT(contains(Errors, Row), Row.c_str());
  }
}
