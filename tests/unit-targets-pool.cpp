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

  static base::boot_time inOneSecond() { return base::boot_clock::now() + 1s; }

  base::result<http::response, http::exchange_error> post(
      std::chrono::milliseconds Timeout = 1s) {
    auto Lease = Pool.acquire(Address, inOneSecond());
    CHECK_TRUE(Lease.has_value());
    http::request Request;
    Request.Method = "POST";
    Request.Headers["Request-Id"] = "r";
    return Lease.value().exchange(
        Request, {base::boot_clock::now() + Timeout, 4096, -1});
  }

  void expectFault(exchange_fault Expected,
                   std::chrono::milliseconds Timeout = 1s) {
    const auto Answer = post(Timeout);
    CHECK_FALSE(Answer.has_value());
    STRCMP_EQUAL(http::toString(Expected),
                 http::toString(Answer.error().Fault));
    CHECK_FALSE(Answer.error().NothingSent);
    CHECK_EQUAL(0u, Pool.openConnections(Address));
  }
};

// Guards against opening a new connection, which takes 1 ms, for each request.
TEST(targets_pool, ReusesAConnectionAfterACompleteResponse) {
  CHECK_TRUE(post().has_value());
  CHECK_EQUAL(1u, Pool.idleConnections(Address));
  auto Lease = Pool.acquire(Address, inOneSecond());
  CHECK_TRUE(Lease.value().isReused());
}

// Guards against a late response that is read as the response to the next
// request.
TEST(targets_pool, ClosesTheConnectionOfALateAnswer) {
  Behaviour.LateBy = 100ms;
  Target->configure(Behaviour);
  expectFault(exchange_fault::DeadlinePassed, 30ms);
}

// Guards against the remainder of a truncated response that is parsed as the
// start of the next one.
TEST(targets_pool, ClosesTheConnectionOfATruncatedAnswer) {
  Behaviour.TruncatesAnswers = true;
  Target->configure(Behaviour);
  expectFault(exchange_fault::Truncated);
}

// Guards against running a request twice: a client that resends it when a
// persistent connection closes before the response leaves two journal records
// for that request, three in total.
TEST(targets_pool, NeverResendsWhenAPersistentConnectionCloses) {
  CHECK_TRUE(post().has_value());
  Behaviour.ClosesWithoutAnswer = true;
  Target->configure(Behaviour);
  expectFault(exchange_fault::ClosedWithoutAnswer);
  CHECK_EQUAL(2u, Target->journal().size());
}

// Guards against a pool that opens more connections than a target allows.
TEST(targets_pool, RefusesConnectionsOverTheLimit) {
  Pool.configure({{Address, 1}});
  auto First = Pool.acquire(Address, inOneSecond());
  CHECK_TRUE(First.has_value());
  const auto Second = Pool.acquire(Address, inOneSecond());
  CHECK_FALSE(Second.has_value());
  CHECK_TRUE(Second.error().NothingSent);
  STRCMP_EQUAL("connection_limit", http::toString(Second.error().Fault));
}

// Guards against connections that stay open after their idle timeout, and
// against acquiring a connection that the target has closed.
TEST(targets_pool, DropsExpiredAndClosedIdleConnections) {
  CHECK_TRUE(post().has_value());
  Pool.closeIdle(base::boot_clock::now() + 1min);
  CHECK_EQUAL(0u, Pool.openConnections(Address));
  CHECK_TRUE(post().has_value());
  Target->crash(1ms);
  std::this_thread::sleep_for(60ms);
  auto Lease = Pool.acquire(Address, inOneSecond());
  CHECK_TRUE(Lease.has_value());
  CHECK_FALSE(Lease.value().isReused());
}
