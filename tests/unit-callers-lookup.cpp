#include "skylarkdyke/callers/problem_code.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "support/fake_entry.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using callers::problem_code;
using nlohmann::json;

TEST_GROUP(callers_lookup) {
  test_support::fake_targets Targets;
  std::unique_ptr<test_support::fake_entry> Entry;

  void setup() override {
    Targets.Document->LookupTtl = 50ms;
    Targets.add("stock", "r1", {});
    Entry = std::make_unique<test_support::fake_entry>("e1", "r1",
                                                       Targets.Document);
  }

  http::response lookUp(std::map<std::string, std::string> Parameters) {
    http::server_request Request;
    Request.Path = "/v1/lookup";
    Request.Parameters = std::move(Parameters);
    Request.Client = {"127.0.0.1", 1};
    return Entry->Service->handle(Request);
  }
};

// Guards against returning the key prefix of another entry, which may be sealed
// without the answering entry's knowledge.
TEST(callers_lookup, OnlyTheAnsweringEntryHasAKeyPrefix) {
  test_support::fake_entry Other("e2", "r1", Targets.Document);
  Other.Self.Domain = base::domain_name("r1-b");
  Entry->meet({Other.Self});
  const json Answer = json::parse(lookUp({{"service", "stock"}}).Body);
  CHECK_EQUAL(2u, Answer["entries"].size());
  CHECK_TRUE(
      config::parseTime(Answer["expires_at"].get<std::string>()).has_value());
  for (const json &EntryAnswer : Answer["entries"]) {
    const bool IsSelf =
        EntryAnswer["address"] == base::toString(Entry->Self.CallerAddress);
    CHECK_EQUAL(IsSelf, EntryAnswer.contains("key_prefix"));
    if (!IsSelf)
      continue;
    const auto Key =
        once::parseKey(EntryAnswer["key_prefix"].get<std::string>() + ".k");
    CHECK_TRUE(Key->Prefix.Owner == Entry->Self.Incarnation);
    CHECK_TRUE(Key->Prefix.Witness == Other.Self.Incarnation);
  }
}

// Guards against answering lookups with missing or invalid parameters.
TEST(callers_lookup, RefusesInvalidParameters) {
  CHECK_EQUAL(400, lookUp({}).Status);
  CHECK_EQUAL(404, lookUp({{"service", "nothing"}}).Status);
  CHECK_EQUAL(400, lookUp({{"service", "stock"}, {"client", "here"}}).Status);
}

// Guards against stopping an entry while callers hold an unexpired lookup
// answer that names it.
TEST(callers_lookup, ALeavingEntryIsDrainedAfterItsLastAnswerExpired) {
  CHECK_FALSE(Entry->Service->drained());
  lookUp({{"service", "stock"}});
  Entry->Service->beginLeaving();
  CHECK_FALSE(Entry->Service->drained());
  const json Answer = json::parse(lookUp({{"service", "stock"}}).Body);
  CHECK_EQUAL(0u, Answer["entries"].size());
  CHECK_EQUAL(200, Entry->call("GET", "/s/stock/x").Status);
  std::this_thread::sleep_for(2100ms);
  CHECK_TRUE(Entry->Service->drained());
  // Callers that ignore the expiry must not keep the entry from draining.
  const http::response Late = Entry->call("GET", "/s/stock/x");
  CHECK_EQUAL(503, Late.Status);
  STRCMP_EQUAL("not-run",
               test_support::header(Late, "Request-Outcome").c_str());
}

// Guards against an error number that docs/errors.md does not explain.
TEST(callers_lookup, EveryProblemCodeIsDocumented) {
  std::ifstream File(std::string(SKYLARKDYKE_SOURCE_DIR) + "/docs/errors.md");
  std::ostringstream Text;
  Text << File.rdbuf();
  for (int Number = callers::number(problem_code::NoSuchResource);
       Number <= callers::number(problem_code::InternalError); ++Number) {
    const auto Code = static_cast<problem_code>(Number);
    const std::string Row = "| " + std::to_string(Number) + " | " +
                            std::to_string(callers::statusOf(Code)) + " | " +
                            callers::titleOf(Code) + " |";
    CHECK_TEXT(Text.str().find(Row) != std::string::npos, Row.c_str());
  }
}
