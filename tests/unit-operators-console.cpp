#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/difference.hpp"
#include "skylarkdyke/operators/console.hpp"
#include "support/fake_admin_entry.hpp"
#include "support/sample_config.hpp"
// Behind the others: it replaces new by a macro.

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using test_support::contains;
using test_support::hiddenFields;

static const char *const Cap = "/regions/0/cap_per_second";
static const char *const Markup = "<script>\"'&";

TEST_GROUP(operators_console) {
  test_support::fake_port Port;

  http::response previewCap(const char *Value) const {
    return Port.fill("/console/caps", {{Cap, Value}});
  }

  static void expectPage(int Status, const char *Title,
                         const http::response &Got) {
    CHECK_EQUAL(Status, Got.Status);
    CHECK_TEXT(contains(Got.Body, std::string("<h1>") + Title + "</h1>"),
               Got.Body.c_str());
  }
};

// Guards against a page that a browser stores, frames or runs scripts in.
TEST(operators_console, SendsSecurityHeadersWithEveryPage) {
  for (const char *Path : {"/console", "/console/caps", "/console/none"}) {
    const http::response Got = Port.ask("GET", Path);
    STRCMP_EQUAL("no-store", Got.Headers.at("Cache-Control").c_str());
    CHECK_TRUE(contains(Got.Headers.at("Content-Security-Policy"),
                        "default-src 'none'; style-src 'sha256-"));
  }
}

// Guards against a form and the API that would submit different documents.
TEST(operators_console, SubmitsTheDocumentThatTheApiWould) {
  expectPage(200, "Accepted", Port.confirm(previewCap(" 500 ")));
  test_support::fake_port Api;
  config::document Document = test_support::sampleConfig();
  Document.Regions[0].CapPerSecond = 500;
  Api.ask("PUT", "/admin/v1/config", config::encode(Document),
          {{"If-Match", "\"7\""}});
  STRCMP_EQUAL(config::encode(*Api.Entry.Document).c_str(),
               config::encode(*Port.Entry.Document).c_str());
}

// Guards against a change that is submitted before its effect was shown, or
// that differs from what was shown.
TEST(operators_console, SubmitsNothingButThePreviewedChange) {
  const http::response Preview = previewCap("50");
  expectPage(200, "Preview", Preview);
  CHECK_TRUE(contains(Preview.Body, "This change would overload"));
  CHECK_TRUE(contains(Preview.Body, "/regions/north/cap_per_second"));
  const auto Fields = hiddenFields(Preview.Body);
  for (const char *Field : {"document", "version", "start", "seal"}) {
    auto Changed = Fields;
    Changed[Field] += "1";
    expectPage(409, "The change was not previewed",
               Port.post("/console/submit", Changed));
  }
  Port.User = "bo";
  Port.Token = "other";
  expectPage(403, "The form has expired", Port.post("/console/submit", Fields));
  CHECK_EQUAL(0u, Port.Entry.Submissions);
}

// Guards against another site's page that sends a form with the credentials
// that the operator's browser keeps.
TEST(operators_console, RefusesFormsWithoutTheOperatorsToken) {
  for (const char *Path :
       {"/console/caps", "/console/drain", "/console/document",
        "/console/submit", "/console/poisoned/release",
        "/console/seats/destroyed"})
    expectPage(403, "The form has expired",
               Port.post(Path, {{"version", "7"}, {"csrf", ""}}));
  CHECK_EQUAL(405, Port.ask("PUT", "/console/caps").Status);
}

// Guards against memory that a form can take.
TEST(operators_console, RefusesLargeForms) {
  const std::string Large(operators::MaxSmallFormBytes + 1, 'x');
  expectPage(413, "The request body is too large",
             Port.ask("POST", "/console/drain", Large));
}

// Guards against a finding that its operator must search the field for.
TEST(operators_console, ShowsFindingsBesideFields) {
  const http::response Got = Port.fill(
      "/console/caps", {{Cap, "many"}, {"/links/1/cap_bits_per_second", "0"}});
  expectPage(422, "Caps", Got);
  CHECK_TRUE(contains(Got.Body,
                      "name=\"/regions/0/cap_per_second\" value=\"many\">"
                      "<span class=\"finding\">must be a whole number"));
  const http::response Zero =
      Port.fill("/console/caps", {{"/links/1/cap_bits_per_second", "0"}});
  CHECK_TRUE(contains(Zero.Body,
                      "name=\"/links/1/cap_bits_per_second\" value=\"0\">"
                      "<span class=\"finding\">must be at least 1"));
  CHECK_FALSE(contains(Zero.Body, "Findings without a field"));
}

// Guards against findings that move to another row when rows are removed.
TEST(operators_console, KeepsFindingsInTheirRows) {
  const http::response Got =
      Port.fill("/console/targets", {{"remove/targets/0", "on"},
                                     {"/targets/2/slots", "0"},
                                     {"/targets/4/id", "new"},
                                     {"/targets/4/service", "none"}});
  CHECK_EQUAL(422, Got.Status);
  CHECK_TRUE(contains(Got.Body, "name=\"remove/targets/0\" checked"));
  CHECK_TRUE(contains(Got.Body, "name=\"/targets/4/address\" value=\"\"><span "
                                "class=\"finding\">"));
  const http::response Zero =
      Port.fill("/console/targets",
                {{"remove/targets/0", "on"}, {"/targets/2/slots", "0"}});
  CHECK_TRUE(contains(Zero.Body, "name=\"/targets/2/slots\" value=\"0\"><span "
                                 "class=\"finding\">must be at least 1"));
}

// Guards against added and removed rows that change others.
TEST(operators_console, AddsAndRemovesRows) {
  const http::response Preview =
      Port.fill("/console/targets", {{"remove/targets/0", "on"},
                                     {"/targets/4/id", "new"},
                                     {"/targets/4/service", "stock-view"},
                                     {"/targets/4/domain", "south-a"},
                                     {"/targets/4/address", "127.0.0.1:9100"},
                                     {"/targets/4/slots", "3"},
                                     {"/targets/4/max_connections", "9"}});
  expectPage(200, "Preview", Preview);
  CHECK_TRUE(contains(Preview.Body, "is removed"));
  Port.confirm(Preview);
  config::document Expected = test_support::sampleConfig();
  Expected.Targets.erase(Expected.Targets.begin());
  Expected.Targets.push_back({base::target_id("new"),
                              base::service_name("stock-view"),
                              base::domain_name("south-a"),
                              {"127.0.0.1", 9100},
                              3,
                              9});
  CHECK_TRUE(config::difference(Expected, *Port.Entry.Document).empty());
}

// Guards against values that become markup on any page.
TEST(operators_console, EscapesEveryValue) {
  config::document Document = test_support::sampleConfig();
  Document.Regions[0].Name = base::region_name(Markup);
  Document.Links[0].From = Document.Links[1].To = base::region_name(Markup);
  Document.Services[0].Name = base::service_name(Markup);
  Document.Targets[0].Id = base::target_id(Markup);
  Document.SubmittedBy = base::operator_name(Markup);
  Document.Drains = {{config::drain_scope::Region, Markup,
                      config::drain_action::Leave, Port.Entry.Now}};
  Port.Entry.Document = std::make_shared<config::document>(Document);
  Port.Entry.Members[0].Name = base::entry_name(Markup);
  Port.Entry.Members[0].Reachable = false;
  Port.Entry.CapStates = {
      {caps::region_cap{base::region_name(Markup)}, 1, 1, 1, 1}};
  Port.Entry.Blocked = {{1, base::service_name(Markup), Markup, 2,
                         base::toBootTime(Port.Entry.Now)}};
  Port.Entry.Seats = {
      {0,
       store::seat_record{
           store::seat_state::Held, {}, base::entry_name(Markup), 0, {}}},
      {1, store::unavailable{Markup}}};
  for (const char *Path :
       {"/console", "/console/headroom", "/console/drain", "/console/caps",
        "/console/shift", "/console/services", "/console/targets",
        "/console/links", "/console/document", "/console/poisoned",
        "/console/seats", "/console/in-force?version=8",
        "/console/submission?base=6&id=<script>"}) {
    const std::string Html = Port.open(Path);
    CHECK_FALSE_TEXT(contains(Html, "<script"), Path);
  }
  CHECK_TRUE(contains(Port.open("/console"), "&lt;script&gt;&quot;&#39;&amp;"));
  // What was entered comes back in repeated forms, and in results.
  const std::string Repeated =
      Port.fill("/console/caps", {{Cap, Markup}}).Body +
      Port.fill("/console/drain", {{"scope", Markup}, {"start", Markup}}).Body +
      Port.fill("/console/document", {{"text", Markup}}).Body;
  CHECK_FALSE(contains(Repeated, "<script"));
}

TEST(operators_console, EscapesResults) {
  const http::response Preview = previewCap("500");
  const store::submit_result Results[] = {
      store::refused_document{{{"/x", Markup}}},
      store::conflict{
          {{Markup, Markup, Markup}}, true, base::operator_name(Markup), 8},
      store::unknown_submission{Markup, Markup}, store::unavailable{Markup}};
  for (const store::submit_result &Result : Results) {
    Port.Entry.Result = Result;
    const http::response Got = Port.confirm(Preview);
    CHECK_FALSE(contains(Got.Body, "<script"));
    CHECK_TRUE(contains(Got.Body, "&lt;script"));
  }
}

// Guards against the loser of two forms not learning what came first, both
// before and after the preview.
TEST(operators_console, TellsFieldsAndNameOnAConflict) {
  const std::string Form = Port.open("/console/caps");
  const http::response Preview = previewCap("500");
  config::document Other = *Port.Entry.Document;
  Other.Version = 8;
  Other.SubmittedBy = base::operator_name("bo");
  Other.LookupTtl = std::chrono::milliseconds(4000);
  Port.Entry.Document = std::make_shared<config::document>(Other);
  for (const http::response &Got :
       {Port.confirm(Preview),
        Port.post("/console/caps", hiddenFields(Form))}) {
    expectPage(412, "Another change came first", Got);
    CHECK_TRUE(contains(Got.Body, "bo submitted version 8"));
    CHECK_TRUE(contains(Got.Body, "/lookup_ttl_ms"));
  }
  CHECK_EQUAL(8u, Port.Entry.Document->Version);
}

// Guards against an unknown result that reads like success or failure, now and
// while it is followed.
TEST(operators_console, ShowsAnUnknownResultAsUnknownUntilItIsDecided) {
  const http::response Preview = previewCap("500");
  Port.Entry.Result = store::unknown_submission{"ab-9", "lost"};
  const http::response Got = Port.confirm(Preview);
  expectPage(202, "Result not known yet", Got);
  for (const char *Word : {"Accepted", "Refused", "Not accepted"})
    CHECK_FALSE(contains(Got.Body, Word));
  const std::string Follow = "/console/submission?id=ab-9&base=7";
  CHECK_TRUE(contains(Got.Body, "id=ab-9&amp;base=7"));
  CHECK_TRUE(contains(Port.open(Follow), "Not known yet."));
  config::document Next = *Port.Entry.Document;
  Next.Version = 8;
  Next.SubmissionId = "ab-8";
  Port.Entry.Document = std::make_shared<config::document>(Next);
  CHECK_TRUE(contains(Port.open(Follow), "Not accepted."));
  Next.RecentSubmissions.emplace_back("ab-9");
  Port.Entry.Document = std::make_shared<config::document>(Next);
  CHECK_TRUE(contains(Port.open(Follow), "<b>Accepted."));
  Next.RecentSubmissions.clear();
  Next.Version = 24;
  Port.Entry.Document = std::make_shared<config::document>(Next);
  CHECK_TRUE(contains(Port.open(Follow), "Not known any more."));
}

// Guards against an outage that costs the operator the change, or that looks
// like a refusal.
TEST(operators_console, OffersTheChangeAgainDuringAStoreOutage) {
  const http::response Preview = previewCap("500");
  Port.Entry.Result = store::unavailable{"no answer"};
  const http::response Got = Port.confirm(Preview);
  expectPage(503, "Not submitted", Got);
  Port.Entry.Result.reset();
  expectPage(200, "Accepted", Port.confirm(Got));
  CHECK_EQUAL(500u, Port.Entry.Document->Regions[0].CapPerSecond);
}

// Guards against a refusal by the store that names no field.
TEST(operators_console, ShowsTheRefusedValues) {
  const http::response Preview = previewCap("500");
  Port.Entry.Result = store::refused_document{{{Cap, "too low"}}};
  const http::response Got = Port.confirm(Preview);
  expectPage(422, "Refused", Got);
  CHECK_TRUE(contains(Got.Body, "cap_per_second</td><td>500</td>"));
}

// Guards against an accepted change whose spread is not shown.
TEST(operators_console, ShowsWhichEntriesHaveAChangeInForce) {
  const http::response Got = Port.confirm(previewCap("500"));
  CHECK_TRUE(contains(Got.Body, "in force at 1 of 2 entries"));
  CHECK_TRUE(contains(Got.Body, "http-equiv=\"refresh\""));
  Port.Entry.Members[1].ConfigVersion = 8;
  const std::string Done = Port.open("/console/in-force?version=8");
  CHECK_TRUE(contains(Done, "in force at all entries"));
  CHECK_FALSE(contains(Done, "http-equiv"));
}

// Guards against a drain whose start lies in the past once its preview was
// read, which would move the traffic at once.
TEST(operators_console, StartsADrainAfterItsSubmission) {
  const http::response Preview = Port.fill(
      "/console/drain", {{"scope", "domain:north-a"}, {"action", "leave"}});
  expectPage(200, "Preview", Preview);
  CHECK_TRUE(contains(Preview.Body, "t-north-a"));
  CHECK_TRUE(contains(Preview.Body, "takes 10 s"));
  Port.Entry.Now += std::chrono::minutes(3);
  expectPage(200, "Accepted", Port.confirm(Preview));
  CHECK_TRUE(Port.Entry.Document->Drains.at(0).Start ==
             Port.Entry.Now + std::chrono::seconds(5));
  const http::response Bad =
      Port.fill("/console/drain", {{"scope", "domain:north-b"},
                                   {"action", "leave"},
                                   {"start", "2020-01-01T00:00:00Z"}});
  CHECK_TRUE(contains(Bad.Body, "would move the traffic"));
}

// Guards against a first document that cannot be submitted by a form.
TEST(operators_console, CreatesTheFirstDocument) {
  Port.Entry.Document = nullptr;
  expectPage(404, "No configuration is in force",
             Port.ask("GET", "/console/caps"));
  CHECK_TRUE(contains(Port.open("/console"), "No configuration"));
  const http::response Preview =
      Port.fill("/console/document",
                {{"text", config::encode(test_support::sampleConfig())}});
  expectPage(200, "Accepted", Port.confirm(Preview));
  CHECK_EQUAL(1u, Port.Entry.Document->Version);
}

// Guards against a seat that is freed by a slip.
TEST(operators_console, FreesASeatOnlyWithTheBoxTicked) {
  Port.Entry.Seats = {
      {4, store::seat_record{
              store::seat_state::Held, {9}, base::entry_name("e4"), 0, {}}}};
  const auto Fields = hiddenFields(Port.open("/console/seats"));
  CHECK_EQUAL(400, Port.post("/console/seats/destroyed", Fields).Status);
  auto Sure = Fields;
  Sure["sure"] = "yes";
  CHECK_TRUE(
      contains(Port.post("/console/seats/destroyed", Sure).Body, "Freed."));
  Port.Entry.SeatResult = store::unknown_effect{"lost"};
  const http::response Unknown = Port.post("/console/seats/destroyed", Sure);
  CHECK_EQUAL(202, Unknown.Status);
  CHECK_FALSE(contains(Unknown.Body, "Freed."));
}
