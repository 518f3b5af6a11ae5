#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/store/client.hpp"
#include "support/store_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using emulators::store_faults;
using emulators::store_outage;
using test_support::in;

TEST_GROUP(store_client) {
  std::unique_ptr<test_support::store_fixture> Store =
      std::make_unique<test_support::store_fixture>();
  store::client &Client = Store->Client;

  template <typename Expected, typename Result>
  void expectAlternative(const Result &Actual) const {
    CHECK_TRUE(std::holds_alternative<Expected>(Actual));
  }

  store::value get(const char *Key) const {
    const auto Result = Client.get(Key, in(2s));
    expectAlternative<store::value>(Result);
    return std::get<store::value>(Result);
  }
};

// Guards against a new connection for each call, and against a
// compare-and-swap that overwrites a value with another index.
TEST(store_client, CallsReuseOneConnection) {
  expectAlternative<store::not_found>(Client.get("k", in(2s)));
  expectAlternative<store::written>(Client.compareAndSwap("k", "a", 0, in(2s)));
  expectAlternative<store::refused>(Client.compareAndSwap("k", "b", 0, in(2s)));
  const store::value Value = get("k");
  STRCMP_EQUAL("a", Value.Bytes.c_str());
  expectAlternative<store::written>(
      Client.compareAndSwap("k", "", Value.ModifyIndex, in(2s)));
  STRCMP_EQUAL("", get("k").Bytes.c_str());
  CHECK_EQUAL(1u, Client.counts().Connections);
  CHECK_EQUAL(3u, Client.counts().Reads);
  CHECK_EQUAL(3u, Client.counts().Writes);
}

// Guards against reporting a write as failed that took effect: the store
// executes it, but the response is lost.
TEST(store_client, ReportsALostResponseAsUnknown) {
  store_faults Faults;
  Faults.LoseAnswers = 1;
  Store->fault(Faults);
  expectAlternative<store::unknown_effect>(
      Client.compareAndSwap("k", "a", 0, in(2s)));
  STRCMP_EQUAL("a", get("k").Bytes.c_str());
}

// Guards against reporting the effect of a write as unknown when it was never
// sent, which would delay its submitter, and against a client that does not
// recover after an outage.
TEST(store_client, ReportsARefusedConnectionAsUnavailable) {
  expectAlternative<store::not_found>(Client.get("k", in(2s)));
  store_faults Faults;
  Faults.Outage = store_outage::Refuse;
  Store->fault(Faults);
  expectAlternative<store::unavailable>(
      Client.compareAndSwap("k", "a", 0, in(2s)));
  Store->fault({});
  expectAlternative<store::written>(Client.compareAndSwap("k", "a", 0, in(2s)));
}

// Guards against a call that lasts beyond its deadline, and against reporting a
// write as failed that an unresponsive store executes later.
TEST(store_client, FailsAtTheDeadline) {
  store_faults Faults;
  Faults.Outage = store_outage::Hang;
  Store->fault(Faults);
  const auto Start = base::boot_clock::now();
  expectAlternative<store::unknown_effect>(
      Client.compareAndSwap("k", "a", 0, in(100ms)));
  CHECK_TRUE(base::boot_clock::now() - Start < 1s);
  Store->fault({});
  CHECK_TRUE(test_support::eventually([&] {
    return std::holds_alternative<store::value>(Client.get("k", in(2s)));
  }));
}

// Guards against a lock that remains after its session has ended, and against a
// lock that two sessions hold.
TEST(store_client, LocksEndWithTheirSession) {
  const auto First =
      std::get<store::session>(Client.createSession(10s, in(2s)));
  const auto Second =
      std::get<store::session>(Client.createSession(1s, in(2s)));
  expectAlternative<store::written>(Client.acquire("k", "1", First, in(2s)));
  expectAlternative<store::refused>(Client.acquire("k", "2", Second, in(2s)));
  STRCMP_EQUAL(First.Id.c_str(), get("k").Session.c_str());
  expectAlternative<store::refused>(Client.release("k", "2", Second, in(2s)));
  expectAlternative<store::written>(Client.release("k", "1", First, in(2s)));
  expectAlternative<store::written>(Client.renewSession(Second, in(2s)));
  expectAlternative<store::written>(Client.acquire("k", "2", Second, in(2s)));
  CHECK_TRUE(
      test_support::eventually([&] { return get("k").Session.empty(); }));
  expectAlternative<store::refused>(Client.renewSession(Second, in(2s)));
  expectAlternative<store::written>(Client.destroySession(First, in(2s)));
  expectAlternative<store::refused>(Client.renewSession(First, in(2s)));
}

// Guards against a stop that blocks until a pending watch ends.
TEST(store_client, StopEndsAPendingWatch) {
  CHECK_TRUE(std::holds_alternative<store::written>(
      Client.compareAndSwap("k", "a", 0, in(2s))));
  const std::uint64_t Index = get("k").ModifyIndex;
  http::stop_source Stop;
  std::thread Stopper([&] {
    std::this_thread::sleep_for(50ms);
    Stop.stop();
  });
  const auto Start = base::boot_clock::now();
  const auto Result = Client.watch("k", Index, 10s, in(11s), &Stop);
  Stopper.join();
  expectAlternative<store::unavailable>(Result);
  CHECK_TRUE(base::boot_clock::now() - Start < 1s);
}

TEST_GROUP(store_malformed){};

// Guards against a crash on a malformed response, or accepting it as valid, and
// against reporting a write as failed on a server error, after which it may
// still take effect.
TEST(store_malformed, RejectsMalformedResponses) {
  const base::endpoint Address{"127.0.0.1", test_support::freePort()};
  http::response Response;
  http::server Server(Address, {},
                      [&](const http::server_request &) { return Response; });
  CHECK_TRUE(Server.start());
  store::client Client(Address);
  for (const char *Body :
       {"", "{", "[]", "[1]", "[{}]", R"([{"Value":"!","ModifyIndex":1}])",
        R"([{"Value":"YQ==","ModifyIndex":-1}])",
        R"([{"Value":7,"ModifyIndex":1}])"}) {
    Response.Body = Body;
    CHECK_TRUE(
        std::holds_alternative<store::unavailable>(Client.get("k", in(2s))));
    CHECK_TRUE(std::holds_alternative<store::unknown_effect>(
        Client.compareAndSwap("k", "a", 0, in(2s))));
    CHECK_TRUE(std::holds_alternative<store::unknown_effect>(
        Client.createSession(10s, in(2s))));
  }
  Response.Body = "true";
  for (const int Status : {400, 403, 429, 500, 503}) {
    Response.Status = Status;
    const auto Result = Client.compareAndSwap("k", "a", 0, in(2s));
    CHECK_EQUAL(Status >= 500,
                std::holds_alternative<store::unknown_effect>(Result));
    CHECK_EQUAL(Status < 500,
                std::holds_alternative<store::unavailable>(Result));
  }
}
