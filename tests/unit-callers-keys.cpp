#include "skylarkdyke/callers/problem_code.hpp"
#include "support/fake_entry.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using callers::problem_code;
using test_support::header;

TEST_GROUP(callers_keys) {
  test_support::fake_targets Targets;
  std::unique_ptr<test_support::fake_entry> Entry;
  std::unique_ptr<test_support::fake_entry> Owner;

  void setup() override {
    emulators::target_behaviour Behaviour;
    Behaviour.WorkTime = 50ms;
    Targets.add("orders", "r1", Behaviour);
    Entry = std::make_unique<test_support::fake_entry>("e1", "r1",
                                                       Targets.Document);
  }

  /// Starts a second entry, Owner, and makes it and Entry members of each
  /// other.
  void connectOwner() {
    Owner = std::make_unique<test_support::fake_entry>("e2", "r1",
                                                       Targets.Document);
    Owner->listen();
    Entry->listen();
    Owner->meet({Entry->Self});
    Entry->meet({Owner->Self});
  }

  http::response post(const std::string &Key, const char *Body = "b") {
    return Entry->call("POST", "/s/orders/x", Key, Body);
  }

  void expect(const char *Outcome, problem_code Code,
              const http::response &Response) {
    STRCMP_EQUAL(Outcome, header(Response, "Request-Outcome").c_str());
    CHECK_EQUAL(callers::number(Code), test_support::problemCode(Response));
  }
};

// Guards against accepting an unsafe request without a key from a lookup, which
// could not be repeated safely.
TEST(callers_keys, AnUnsafeRequestNeedsAKeyFromALookup) {
  expect("not-run", problem_code::KeyMissing,
         Entry->call("DELETE", "/s/orders/x"));
  expect("not-run", problem_code::KeyInvalid, post("my-own-key"));
  CHECK_EQUAL(0u, Targets.runs());
}

// Guards against running a request twice when the caller repeats its key, both
// while the first request runs and after it.
TEST(callers_keys, ARepeatedKeyRunsOnceAndGetsTheSameAnswer) {
  const std::string Key = Entry->key("k");
  http::response First;
  std::thread Caller([&] { First = post(Key); });
  CHECK_TRUE(test_support::eventually([&] { return Targets.runs() == 1; }));
  const http::response Second = post(Key);
  Caller.join();
  const http::response Third = post(Key);
  CHECK_EQUAL(1u, Targets.runs());
  CHECK_EQUAL(200, Second.Status);
  STRCMP_EQUAL(First.Body.c_str(), Second.Body.c_str());
  STRCMP_EQUAL(First.Body.c_str(), Third.Body.c_str());
  expect("not-run", problem_code::KeyMismatch, post(Key, "another body"));
}

// Guards against a repeated request that waits beyond its deadline, or that
// gets "not-run" while the first one still runs.
TEST(callers_keys, ARepeatedKeyThatStillRunsIsUnknownAtTheDeadline) {
  const std::string Key = Entry->key("k");
  std::thread Caller([&] { post(Key); });
  CHECK_TRUE(test_support::eventually([&] { return Targets.runs() == 1; }));
  const auto Soon = std::chrono::system_clock::now() + 5ms;
  expect(
      "unknown", problem_code::KeyStillRunning,
      Entry->call("POST", "/s/orders/x", Key, "b",
                  {{"Request-Deadline",
                    std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            Soon.time_since_epoch())
                            .count())}}));
  Caller.join();
}

// Guards against running a request without a recorded intent: a later seal
// would then report the request as not run.
TEST(callers_keys, NothingIsSentWithoutTheWitness) {
  const std::string Key = Entry->key("k", base::incarnation_id{7});
  Entry->Intent.reset();
  expect("not-run", problem_code::WitnessUnavailable, post(Key));
  Entry->Intent = once::record_result::Recorded;
  expect("not-run", problem_code::KeyFinished, post(Key));
  CHECK_EQUAL(0u, Targets.runs());
}

// Guards against an entry that runs requests under a sealed incarnation.
TEST(callers_keys, ASealedIncarnationRunsNothingAndIsReplaced) {
  const std::string First = Entry->key("k1", base::incarnation_id{7});
  const std::string Second = Entry->key("k2", base::incarnation_id{7});
  Entry->Intent = once::record_result::Sealed;
  expect("not-run", problem_code::IncarnationSealed, post(First));
  CHECK_EQUAL(1u, Entry->SealedHere.size());
  Entry->Intent = once::record_result::Recorded;
  expect("not-run", problem_code::KeyRefused, post(Second));
  CHECK_EQUAL(0u, Targets.runs());
  CHECK_EQUAL(200, post(Entry->key("k3", base::incarnation_id{7})).Status);
}

// Guards against losing the outcomes of keys when the incarnation changes: the
// request would be run again or reported as unknown.
TEST(callers_keys, OutcomesOfAReplacedIncarnationAreKept) {
  const std::string Key = Entry->key("k");
  const http::response First = post(Key);
  Entry->replaceIncarnation();
  const http::response Again = post(Key);
  STRCMP_EQUAL(First.Body.c_str(), Again.Body.c_str());
  CHECK_EQUAL(1u, Targets.runs());
}

// Guards against a key that two entries run: after a failover the caller sends
// it to an entry that does not own it.
TEST(callers_keys, AForeignKeyIsRunByItsOwner) {
  connectOwner();
  const std::string Key = Owner->key("k");
  const http::response Answer = post(Key);
  CHECK_EQUAL(200, Answer.Status);
  STRCMP_EQUAL("completed", header(Answer, "Request-Outcome").c_str());
  STRCMP_EQUAL(Answer.Body.c_str(),
               Owner->call("POST", "/s/orders/x", Key, "b").Body.c_str());
  CHECK_EQUAL(1u, Targets.runs());
}

// Guards against a wrong outcome for a request whose owner is unreachable: it
// is "not-run" only if the witness sealed the owner and had recorded no intent.
TEST(callers_keys, TheWitnessDecidesWhenTheOwnerIsUnreachable) {
  connectOwner();
  const std::string Key = Owner->key("k", base::incarnation_id{7});
  const std::string WithoutWitness = Owner->key("k");
  Owner->unlisten();
  Entry->Seal = once::seal_result::NeverRecorded;
  expect("not-run", problem_code::OwnerSealed, post(Key));
  for (const auto Uncertain : {std::optional(once::seal_result::Recorded),
                               std::optional(once::seal_result::NotKnown),
                               std::optional<once::seal_result>()}) {
    Entry->Seal = Uncertain;
    expect("unknown", problem_code::OwnerUnknown, post(Key));
  }
  CHECK_EQUAL(4u, Entry->Seals.load());
  Entry->Seal = once::seal_result::NeverRecorded;
  expect("unknown", problem_code::OwnerUnknown, post(WithoutWitness));
  CHECK_EQUAL(4u, Entry->Seals.load());
}

// Guards against relay loops between entries.
TEST(callers_keys, ARelayedForeignKeyIsNotRelayedAgain) {
  connectOwner();
  const auto Answer = Entry->call("POST", "/s/orders/x", Owner->key("k"), "b",
                                  {{"Relayed-By", "00000000000000ff"}});
  expect("unknown", problem_code::Misdirected, Answer);
  CHECK_EQUAL(0u, Targets.runs());
}
