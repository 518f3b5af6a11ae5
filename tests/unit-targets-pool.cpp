#include "skylarkdyke/emulators/target_emulator.hpp"
#include "skylarkdyke/targets/connection_pool.hpp"
#include "support/free_port.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using http::exchange_fault;

TEST_GROUP(targets_pool) {
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  emulators::target_behaviour Behaviour;
  std::unique_ptr<emulators::target_emulator> Target;
  targets::connection_pool Pool;

  void setup() override {
    Behaviour.WorkTime = 1ms;
    Target = std::make_unique<emulators::target_emulator>(Address, Behaviour);
    CHECK_TRUE(Target->start());
  }

  static base::boot_time soon() { return base::boot_clock::now() + 1s; }

  base::result<http::response, http::exchange_error> post(
      std::chrono::milliseconds Limit = 1s) {
    auto Lease = Pool.acquire(Address, soon());
    CHECK_TRUE(Lease.has_value());
    http::request Request;
    Request.Method = "POST";
    Request.Headers["Request-Id"] = "r";
    return Lease.value().exchange(Request,
                                  {base::boot_clock::now() + Limit, 4096, -1});
  }

  void expectFault(exchange_fault Expected,
                   std::chrono::milliseconds Limit = 1s) {
    const auto Answer = post(Limit);
    CHECK_FALSE(Answer.has_value());
    STRCMP_EQUAL(http::toString(Expected),
                 http::toString(Answer.error().Fault));
    CHECK_FALSE(Answer.error().NothingSent);
    CHECK_EQUAL(0u, Pool.openConnections(Address));
  }
};

// Guards against paying 1 ms for a new connection with each request.
TEST(targets_pool, ReusesAConnectionAfterACompleteResponse) {
  CHECK_TRUE(post().has_value());
  CHECK_EQUAL(1u, Pool.idleConnections(Address));
  auto Lease = Pool.acquire(Address, soon());
  CHECK_TRUE(Lease.value().isReused());
}

// Guards against a response that arrives late being read by the next request.
TEST(targets_pool, ClosesTheConnectionOfALateAnswer) {
  Behaviour.LateBy = 100ms;
  Target->configure(Behaviour);
  expectFault(exchange_fault::DeadlinePassed, 30ms);
}

// Guards against the rest of a truncated response being taken for a new one.
TEST(targets_pool, ClosesTheConnectionOfATruncatedAnswer) {
  Behaviour.TruncatesAnswers = true;
  Target->configure(Behaviour);
  expectFault(exchange_fault::Truncated);
}

// Guards against a second run: a client that resends when a kept-open
// connection dies before the answer would leave two records in the journal.
TEST(targets_pool, NeverResendsWhenAKeptConnectionDies) {
  CHECK_TRUE(post().has_value());
  Behaviour.ClosesWithoutAnswer = true;
  Target->configure(Behaviour);
  expectFault(exchange_fault::ClosedWithoutAnswer);
  CHECK_EQUAL(2u, Target->journal().size());
}

// Guards against a pool that uses up the target's connection limit.
TEST(targets_pool, RefusesConnectionsOverTheBound) {
  Pool.configure({{Address, 1}});
  auto First = Pool.acquire(Address, soon());
  CHECK_TRUE(First.has_value());
  const auto Second = Pool.acquire(Address, soon());
  CHECK_FALSE(Second.has_value());
  CHECK_TRUE(Second.error().NothingSent);
  STRCMP_EQUAL("connection_limit", http::toString(Second.error().Fault));
}

// Guards against connections that stay open after their idle deadline, and
// against one that the target has closed being handed out.
TEST(targets_pool, DropsIdleConnectionsThatAreOldOrClosed) {
  CHECK_TRUE(post().has_value());
  Pool.closeIdle(base::boot_clock::now() + 1min);
  CHECK_EQUAL(0u, Pool.openConnections(Address));
  CHECK_TRUE(post().has_value());
  Target->crash(1ms);
  std::this_thread::sleep_for(60ms);
  auto Lease = Pool.acquire(Address, soon());
  CHECK_TRUE(Lease.has_value());
  CHECK_FALSE(Lease.value().isReused());
}
