#include "skylarkdyke/callers/problem_code.hpp"
#include "support/fake_entry.hpp"

#include <algorithm>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using callers::counter;
using callers::problem_code;
using test_support::fake_entry;
using test_support::header;

TEST_GROUP(callers_dispatch) {
  test_support::fake_targets Targets;
  emulators::target_behaviour Behaviour;
  std::unique_ptr<fake_entry> Entry;

  void setup() override { Behaviour.Slots = 2; }

  void start() {
    Entry = std::make_unique<fake_entry>("e1", "r1", Targets.Document);
  }

  /// Sends concurrent GETs and returns their answers.
  static std::vector<http::response> sendConcurrently(
      fake_entry & Receiver, const char *Path, std::size_t Count) {
    std::vector<http::response> Answers(Count);
    std::vector<std::thread> Threads;
    Threads.reserve(Count);
    for (http::response &Answer : Answers)
      Threads.emplace_back(
          [&Receiver, Path, &Answer] { Answer = Receiver.call("GET", Path); });
    for (std::thread &Thread : Threads)
      Thread.join();
    return Answers;
  }

  static std::size_t countOf(const std::vector<http::response> &Answers,
                             problem_code Code) {
    return static_cast<std::size_t>(std::count_if(
        Answers.begin(), Answers.end(), [Code](const http::response &Answer) {
          return test_support::problemCode(Answer) == callers::number(Code);
        }));
  }
};

// Guards against a queue that grows without bound, and against overload of one
// service that delays requests of another.
TEST(callers_dispatch, AFullQueueRefusesRequestsAndDelaysNoOtherService) {
  Behaviour.WorkTime = 50ms;
  Targets.add("flooded", "r1", Behaviour);
  Behaviour.WorkTime = 1ms;
  Targets.add("quiet", "r1", Behaviour);
  start();
  std::vector<http::response> Answers;
  std::thread Flood(
      [&] { Answers = sendConcurrently(*Entry, "/s/flooded/x", 40); });
  CHECK_TRUE(test_support::eventually(
      [&] { return Entry->Service->counts().get(counter::QueueFull) > 0; }));
  const auto Start = base::boot_clock::now();
  CHECK_EQUAL(200, Entry->call("GET", "/s/quiet/x").Status);
  CHECK_TRUE(base::boot_clock::now() - Start < 50ms);
  Flood.join();
  // The service has 2 slots and admits 8 waiting requests for each of them.
  CHECK_EQUAL(40u - 18u, countOf(Answers, problem_code::QueueFull));
  for (const http::response &Answer : Answers)
    if (Answer.Status == 503) {
      STRCMP_EQUAL("not-run", header(Answer, "Request-Outcome").c_str());
      STRCMP_EQUAL("1", header(Answer, "Retry-After").c_str());
    }
  CHECK_EQUAL(18u, Targets.Targets[0]->journal().size());
}

// Guards against a slot that is not released when an attempt throws, as it does
// while the process is out of file descriptors: the target would never be used
// again. An address that is not numeric makes the client throw at the same
// place.
TEST(callers_dispatch, AnAttemptThatThrowsReturnsItsSlot) {
  Behaviour.Slots = 1;
  Targets.add("stock", "r1", Behaviour);
  Targets.Document->Targets.front().Address.Address = "unresolved";
  start();
  for (int Attempt = 0; Attempt < 2; ++Attempt)
    CHECK_EQUAL(callers::number(problem_code::InternalError),
                test_support::problemCode(Entry->call("GET", "/s/stock/x")));
}

// Guards against sending a request although the share of a cap is exhausted.
TEST(callers_dispatch, ARequestOverACapIsNotSent) {
  Targets.add("stock", "r1", Behaviour);
  start();
  Entry->CapsLeft = false;
  const auto Answer = Entry->call("GET", "/s/stock/x");
  CHECK_EQUAL(callers::number(problem_code::CapExhausted),
              test_support::problemCode(Answer));
  STRCMP_EQUAL("not-run", header(Answer, "Request-Outcome").c_str());
  STRCMP_EQUAL("1", header(Answer, "Retry-After").c_str());
  CHECK_EQUAL(0u, Targets.runs());
}

// Guards against bytes on a link that its cap does not count, in either
// direction, and against a reservation for the answer that is not refunded.
TEST(callers_dispatch, ARequestToAnotherRegionUsesBothLinkCaps) {
  Targets.add("stock", "r2", Behaviour);
  Targets.Document->Links.push_back(
      {base::region_name("r1"), base::region_name("r2"), 1000000, 1ms});
  start();
  // The shift cap admits a failover only in proportion to earlier requests.
  CHECK_TRUE(test_support::eventually(
      [&] { return Entry->call("GET", "/s/stock/x").Status == 200; }));
  CHECK_EQUAL(3u, Entry->Taken.size());
  CHECK_EQUAL(1u, Entry->GivenBack.size());
  const auto &Answer = Entry->GivenBack[0];
  const auto &Link = std::get<caps::link_cap>(Answer.Cap);
  STRCMP_EQUAL("r2", Link.From.str().c_str());
  const std::uint64_t Reserved = Entry->Taken[1].Amount;
  CHECK_EQUAL(std::uint64_t{4096 + 8192} * 8, Reserved);
  CHECK_TRUE(Answer.Amount < Reserved);
  CHECK_TRUE(Answer.Amount > Reserved / 2);
}

// Guards against an entry that sends to targets whose slots another entry
// manages, and against a relay that loses the answer.
TEST(callers_dispatch, OnlyTheDispatcherSendsWhileItIsReachable) {
  Behaviour.WorkTime = 100ms;
  Behaviour.Slots = 4;
  Targets.add("stock", "r1", Behaviour);
  start();
  fake_entry Other("e2", "r1", Targets.Document);
  Entry->listen();
  Other.listen();
  Entry->meet({Other.Self});
  Other.meet({Entry->Self});
  CHECK_EQUAL(200, Entry->call("GET", "/s/stock/x").Status);
  const bool IsOther =
      Entry->Service->counts().get(counter::RelayedToDispatcher) == 1;
  fake_entry &Dispatcher = IsOther ? Other : *Entry;
  fake_entry &Relaying = IsOther ? *Entry : Other;
  CHECK_EQUAL(
      200, Relaying.call("POST", "/s/stock/x", Relaying.key("k"), "b").Status);
  CHECK_EQUAL(0u, Relaying.Service->counts().get(counter::Attempts));
  CHECK_EQUAL(2u, Targets.runs());

  Dispatcher.unlisten();
  const auto Start = base::boot_clock::now();
  const auto Answers = sendConcurrently(Relaying, "/s/stock/x", 3);
  // Direct sends use one slot, so three requests take three work times.
  CHECK_TRUE(base::boot_clock::now() - Start >= 300ms);
  for (const http::response &Answer : Answers)
    CHECK_EQUAL(200, Answer.Status);
  CHECK_EQUAL(3u, Relaying.Service->counts().get(counter::DirectSends));
}
