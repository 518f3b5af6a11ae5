#include "skylarkdyke/emulators/load_generator.hpp"
#include "skylarkdyke/emulators/target_group.hpp"
#include "skylarkdyke/http/client.hpp"
#include "support/fake_entry.hpp"
#include "support/free_port.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;
using once::outcome;

TEST_GROUP(emulators_load){static std::string journal(const json &Runs){
    return json{{"targets", {{{"target", "t"}, {"runs", Runs}}}}}.dump();
}

static json run(const char *Path, const char *Key, bool Finished) {
  return {{"path", Path}, {"key", Key}, {"finished", Finished}};
}

static emulators::load_record record(const char *Path, bool IsSafe,
                                     outcome Outcome) {
  emulators::load_record Record;
  Record.Path = Path;
  Record.IsSafe = IsSafe;
  Record.Outcome = Outcome;
  Record.Status = 200;
  return Record;
}
}
;

// Guards against a verification that overlooks one kind of failure.
TEST(emulators_load, FindsLostDoubledWrongAndFalselyRefusedRequests) {
  emulators::load_result Result;
  Result.Records = {record("/good", false, outcome::Completed),
                    record("/lost", true, outcome::Completed),
                    record("/doubled", false, outcome::Unknown),
                    record("/wrong", true, outcome::Completed),
                    record("/refused", false, outcome::NotRun)};
  Result.Records[3].IsWrong = true;
  Result.Records[4].NotRun = {"key-of-refused"};
  const auto Findings = emulators::verifyLoad(
      Result, {journal({run("/good", "k", true), run("/lost", "", false),
                        run("/doubled", "k1", false),
                        run("/wrong?attempt=0", "", true)}),
               journal({run("/doubled", "k2", true),
                        run("/refused", "key-of-refused", false)})});
  CHECK_TRUE(Findings.has_value());
  CHECK_TRUE(Findings->Lost == std::vector<std::string>{"/lost"});
  CHECK_TRUE(Findings->Doubled == std::vector<std::string>{"/doubled"});
  CHECK_TRUE(Findings->Wrong == std::vector<std::string>{"/wrong"});
  CHECK_TRUE(Findings->FalseNotRun ==
             std::vector<std::string>{"key-of-refused"});
  CHECK_FALSE(emulators::verifyLoad(Result, {"{}"}).has_value());
}

// Guards against callers that cannot use what an entry answers, and against a
// forwarding path that fails under concurrent load with faulty targets.
TEST(emulators_load, CallersGetTheOutcomesThatTheJournalsShow) {
  test_support::fake_targets Targets;
  emulators::target_behaviour Behaviour;
  Behaviour.WorkTime = 2ms;
  Behaviour.Exponential = true;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    Behaviour.Seed = Seed;
    Behaviour.TruncatesAnswers = Seed == 3;
    Targets.add("orders", "r1", Behaviour);
  }
  test_support::fake_entry Entry("e1", "r1", Targets.Document);
  Entry.listen();
  emulators::load_options Options;
  Options.Entries = {{"127.0.0.1", 1}, Entry.Self.CallerAddress};
  Options.Streams = {{base::service_name("orders"), "10.0.0.1", 300}};
  Options.Duration = 1s;
  Options.KeyedShare = 0.5;
  Options.RepeatsUnknown = true;
  Options.RepeatTime = 100ms;
  const auto Result = emulators::runLoad(Options);
  CHECK_TRUE(Result.Records.size() > 200);
  json Runs = json::array();
  for (const auto &Target : Targets.Targets)
    for (const emulators::run_record &Run : Target->journal())
      Runs.push_back(run(Run.Path.c_str(), Run.Key.c_str(), Run.Finished));
  const auto Findings = emulators::verifyLoad(Result, {journal(Runs)});
  CHECK_TRUE(Findings.has_value() && Findings->empty());
  const json Summary = json::parse(emulators::summarize(Result));
  const json &Orders = Summary["services"]["orders"];
  CHECK_TRUE(Orders["completed"].get<unsigned>() >
             Orders["requests"].get<unsigned>() * 9 / 10);
  CHECK_EQUAL(0u, Orders["no-answer"].get<unsigned>());
}

// Guards against a control port that changes another target than the one named,
// or takes a misspelled field for a change.
TEST(emulators_load, TheControlPortChangesOneTarget) {
  const base::endpoint Control{"127.0.0.1", test_support::freePort()};
  emulators::target_group Group(Control);
  emulators::target_behaviour Behaviour;
  Behaviour.WorkTime = 7ms;
  const auto &First =
      Group.add({"127.0.0.1", test_support::freePort()}, Behaviour);
  const auto &Second =
      Group.add({"127.0.0.1", test_support::freePort()}, Behaviour);
  CHECK_FALSE(Group.start().has_value());
  const auto Post = [&](const json &Body) {
    http::request Request;
    Request.Method = "POST";
    Request.Target = "/behaviour";
    Request.Body = Body.dump();
    return http::fetch(Control, Request,
                       {base::boot_clock::now() + 2s, 4096, -1})
        .value()
        .Status;
  };
  const std::string Address = base::toString(First.address());
  CHECK_EQUAL(200, Post({{"target", Address}, {"draining", true}}));
  CHECK_TRUE(First.behaviour().Draining);
  CHECK_TRUE(First.behaviour().WorkTime == 7ms);
  CHECK_FALSE(Second.behaviour().Draining);
  CHECK_EQUAL(400, Post({{"drainning", true}}));
  CHECK_EQUAL(400, Post({{"slots", "many"}}));
}
