#include "platform/block_writer.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;

/// An id that a double cannot hold.
static constexpr std::uint64_t FirstLease = (std::uint64_t{1} << 60U) + 1;

static routing::request_blocked blockOf(std::uint64_t Fingerprint) {
  return {Fingerprint, base::service_name("s"), "GET /x", 3};
}

TEST_GROUP(platform_block_writer) {
  boost::asio::io_context Loop;
  net::response_memory Memory{4U << 20U};
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  gateway::store_call_counts Counts;
  platform::block_writer Writer{{Loop, Address, Memory}, Counts};
  std::uint64_t Era = 7;
  std::uint64_t NextLease = FirstLease;
  /// The store returns from a copy before it answers this many more writes.
  int ReturnsBeforeWrites = 0;
  /// Whether the store states its era.
  bool StatesEra = true;
  /// Bodies of the transactions, in order.
  std::vector<json> Transactions;
  net::http_server Store{
      Loop, 10, [] { return base::message_limits(); },
      [this](const std::shared_ptr<net::pending_request> &Request) {
        answer(*Request);
      }};

  void setup() override { CHECK(Store.listen(Address)); }
  void teardown() override {
    Writer.stop();
    Store.stopAccepting();
    Loop.restart();
    Loop.poll();
  }

  /// Answers as a store that gives lease ids out again after each return.
  void answer(net::pending_request & Request) {
    json Body = {{"revision", 1}};
    if (Request.request().target() == "/api/kv-lease") {
      Body = {{"lease", NextLease++}, {"ttl_s_time", 600}};
    } else {
      Transactions.push_back(json::parse(Request.request().body()));
      if (ReturnsBeforeWrites > 0) {
        --ReturnsBeforeWrites;
        ++Era;
        NextLease = FirstLease + Era;
      }
    }
    auto Response = net::makeResponse(200, Body.dump(), "application/json");
    if (StatesEra)
      Response.set("Store-Era", std::to_string(Era));
    Request.answer(std::move(Response));
  }

  void run(std::chrono::milliseconds Time) {
    Loop.restart();
    Loop.run_for(Time);
  }
  std::uint64_t leaseOf(std::size_t Transaction) const {
    return Transactions.at(Transaction)
        .at("writes")
        .at(0)
        .at("lease")
        .get<std::uint64_t>();
  }
};

// Guards against an item under another lease than the one that was granted for
// it.
TEST(platform_block_writer, ABlockIsWrittenOnceUnderItsLease) {
  Writer.write(blockOf(1));
  Writer.remove(2);
  run(1500ms);
  LONGS_EQUAL(2, Transactions.size());
  CHECK_EQUAL(FirstLease, leaseOf(0));
  CHECK(Transactions[1].at("writes").empty());
  LONGS_EQUAL(1, Transactions[1].at("remove").size());
}

// Guards against a block under the lease id of an earlier era, which the store
// may have given to another writer since: the block would end with that lease.
TEST(platform_block_writer, ALeaseOfAnEarlierEraIsNotUsed) {
  ReturnsBeforeWrites = 1;
  Writer.write(blockOf(1));
  run(1500ms);
  LONGS_EQUAL(2, Transactions.size());
  CHECK_EQUAL(FirstLease + Era, leaseOf(1));
}

// Guards against a second return during the repetition.
TEST(platform_block_writer, TheWriteIsRepeatedAfterEachReturn) {
  ReturnsBeforeWrites = 2;
  Writer.write(blockOf(1));
  run(2500ms);
  LONGS_EQUAL(3, Transactions.size());
  CHECK_EQUAL(FirstLease + Era, leaseOf(2));
}

// Guards against repetitions without end at a store that states no era.
TEST(platform_block_writer, AStoreWithoutErasIsWrittenOnce) {
  StatesEra = false;
  Writer.write(blockOf(1));
  run(1500ms);
  LONGS_EQUAL(1, Transactions.size());
}
