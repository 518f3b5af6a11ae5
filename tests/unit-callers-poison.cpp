#include "skylarkdyke/callers/problem_code.hpp"
#include "support/fake_entry.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using callers::problem_code;
using test_support::header;

TEST_GROUP(callers_poison) {
  test_support::fake_targets Targets;
  std::unique_ptr<test_support::fake_entry> Entry;

  void setup() override {
    emulators::target_behaviour Behaviour;
    Behaviour.WorkTime = 1ms;
    Behaviour.CrashTime = 1500ms;
    for (int Count = 0; Count < 3; ++Count)
      Targets.add("orders", "r1", Behaviour);
    Entry = std::make_unique<test_support::fake_entry>("e1", "r1",
                                                       Targets.Document);
    for (int Count = 0; Count < 30; ++Count)
      Entry->call("GET", "/s/orders/x");
  }

  http::response post(const std::string &CallerPart) {
    return Entry->call("POST", "/s/orders/poison", Entry->key(CallerPart), "b");
  }
};

// Guards against a request that crashes one target after another while its
// caller repeats it, and against blocking any other request.
TEST(callers_poison, TwoCrashesBlockTheRequestAndNoOther) {
  // The outcome of a request that crashed a target is never "not-run".
  STRCMP_EQUAL("unknown", header(post("k1"), "Request-Outcome").c_str());
  CHECK_EQUAL(1u, Entry->CrashReports.load());
  CHECK_EQUAL(0u, Entry->Service->blockedRequests().size());
  STRCMP_EQUAL("unknown", header(post("k2"), "Request-Outcome").c_str());
  CHECK_EQUAL(2u, Entry->CrashReports.load());
  const std::size_t Runs = Targets.runs();
  const auto Blocked = post("k3");
  CHECK_EQUAL(422, Blocked.Status);
  STRCMP_EQUAL("not-run", header(Blocked, "Request-Outcome").c_str());
  CHECK_EQUAL(Runs, Targets.runs());
  CHECK_EQUAL(200, Entry->call("GET", "/s/orders/x").Status);
  const auto List = Entry->Service->blockedRequests();
  CHECK_EQUAL(1u, List.size());
  CHECK_TRUE(Entry->Service->releaseBlocked(List[0].Fingerprint));
}

// Guards against retries of a safe request that crash a third target.
TEST(callers_poison, RetriesStopAtTheSecondCrash) {
  const std::size_t RunsBefore = Targets.runs();
  const auto Answer = Entry->call("GET", "/s/orders/poison");
  STRCMP_EQUAL("unknown", header(Answer, "Request-Outcome").c_str());
  CHECK_EQUAL(RunsBefore + 2, Targets.runs());
  CHECK_EQUAL(422, Entry->call("GET", "/s/orders/poison").Status);
}

// Guards against missing a crash that becomes visible only some time after the
// connection was lost.
TEST(callers_poison, ATargetThatStopsAfterALostConnectionHasCrashed) {
  emulators::target_behaviour Behaviour;
  Behaviour.ClosesWithoutAnswer = true;
  for (const auto &Target : Targets.Targets)
    Target->configure(Behaviour);
  Entry->call("POST", "/s/orders/late", Entry->key("k"), "b");
  CHECK_EQUAL(0u, Entry->CrashReports.load());
  std::this_thread::sleep_for(100ms);
  for (const auto &Target : Targets.Targets)
    Target->crash(1s);
  CHECK_TRUE(test_support::eventually(
      [&] { return Entry->CrashReports.load() == 1; }));
}
