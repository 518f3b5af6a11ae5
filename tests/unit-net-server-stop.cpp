#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"

#include <array>
#include <optional>
#include <utility>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const std::string GetRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_GROUP(net_server_stop) {
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::shared_ptr<net::pending_request> Received;
  std::optional<net::http_server> Server;

  void setup() override {
    Server.emplace(
        Loop, 100, [] { return base::message_limits(); },
        [this](const std::shared_ptr<net::pending_request> &Request) {
          Received = Request;
        });
    CHECK(Server->listen(Address));
  }
  void teardown() override {
    Received.reset();
    Loop.restart();
    Loop.poll();
  }

  /// Runs the loop until a request has arrived, and answers it.
  void answerNext() {
    Loop.restart();
    while (!Received && Loop.run_one_for(1s) > 0) {
    }
    CHECK(Received != nullptr);
    std::exchange(Received, nullptr)->answer(net::makeResponse(200, "done"));
  }
  static std::size_t count(const std::string &Text, const std::string &Part) {
    std::size_t Count = 0;
    for (std::size_t At = Text.find(Part); At != std::string::npos;
         At = Text.find(Part, At + 1))
      ++Count;
    return Count;
  }
};

// Guards against connections in the accept queue that are reset with their
// requests.
TEST(net_server_stop, ConnectionsInTheAcceptQueueAreAnswered) {
  std::array<test_support::raw_client, 3> Clients{
      test_support::raw_client(Address), test_support::raw_client(Address),
      test_support::raw_client(Address)};
  for (const auto &Client : Clients)
    Client.send(GetRequest);
  Server->drain();
  Server->stopAccepting();
  LONGS_EQUAL(3, Server->activeRequests());
  for (const auto &Client : Clients) {
    answerNext();
    CHECK(!Client.isClosed());
  }
  for (const auto &Client : Clients)
    STRCMP_CONTAINS("done", Client.receive().c_str());
}

// Guards against a pipelined request that was read with the one before and is
// cut when its connection does not announce its end.
TEST(net_server_stop, APipelinedRequestIsAnswered) {
  const test_support::raw_client Client(Address);
  Client.send(GetRequest + GetRequest);
  Loop.restart();
  while (!Received && Loop.run_one_for(1s) > 0) {
  }
  Server->stopAccepting();
  answerNext();
  answerNext();
  LONGS_EQUAL(2, count(Client.receive(), "done"));
}
