#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"

#include <atomic>
#include <optional>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::raw_client;

static constexpr std::size_t MemoryLimit = 4000000;

static std::string post(const std::string &Fields) {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n\r\n";
}

TEST_GROUP(net_server_memory) {
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::shared_ptr<net::memory_account> Memory =
      std::make_shared<net::memory_account>(MemoryLimit);
  std::vector<std::shared_ptr<net::pending_request>> Received;
  std::optional<net::http_server> Server;

  void setup() override {
    base::message_limits Limits;
    Limits.MaxBodyBytes = 3000000;
    Server.emplace(
        Loop, 3, [Limits] { return Limits; },
        [this](const std::shared_ptr<net::pending_request> &Request) {
          Received.push_back(Request);
        });
    Server->setMemory(Memory);
    CHECK(Server->listen(Address));
  }
  void teardown() override {
    Server->stopAccepting();
    Received.clear();
    Loop.poll();
  }

  void runFor(std::chrono::milliseconds Time) {
    Loop.restart();
    Loop.run_for(Time);
  }
  /// Sends more than the buffers of the sockets take, while the loop runs.
  void sendAll(const raw_client &Client, const std::string &Bytes) {
    std::atomic<bool> Done{false};
    std::thread Sender([&] {
      Client.send(Bytes);
      Done = true;
    });
    while (!Done)
      runFor(1ms);
    Sender.join();
    runFor(20ms);
  }
  std::string statusAt(const raw_client &Client) {
    runFor(20ms);
    const std::string Response = Client.receive();
    return Response.size() < 12 ? "" : Response.substr(9, 3);
  }
};

// Guards against trailers that are collected without a limit.
TEST(net_server_memory, TrailersAreLimited) {
  const raw_client Client(Address);
  Client.send(post("Transfer-Encoding: chunked") + "1\r\nb\r\n0\r\n");
  Client.send("T: " + std::string(60000, 't'));
  STRCMP_EQUAL("431", statusAt(Client).c_str());
  CHECK(Received.empty());
}

// Guards against a chunk extension that is collected without a limit.
TEST(net_server_memory, TheLineBeforeAChunkIsLimited) {
  const raw_client Client(Address);
  Client.send(post("Transfer-Encoding: chunked") + "1;" +
              std::string(60000, 'e'));
  STRCMP_EQUAL("431", statusAt(Client).c_str());
}

// Guards against bodies that are asked for although there is no room, and
// against refusals that take place after the request was passed on.
TEST(net_server_memory, ABodyWithoutRoomIsRefusedBeforeItIsRead) {
  const raw_client Large(Address);
  Large.send(post("Content-Length: 2500000") + "b");
  runFor(20ms);
  const raw_client Next(Address);
  Next.send(post("Content-Length: 1000000\r\nExpect: 100-continue"));
  STRCMP_EQUAL("503", statusAt(Next).c_str());
  CHECK(Received.empty());
  CHECK(Memory->heldBytes() < 3000000);
}

// Guards against a client that stops before the end of its body and so keeps
// others from being served.
TEST(net_server_memory, AStalledBodyMakesRoom) {
  const raw_client Stalled(Address);
  Stalled.send(post("Content-Length: 2500000") + "b");
  runFor(2100ms);
  const raw_client Next(Address);
  sendAll(Next, post("Content-Length: 1000000") + std::string(1000000, 'b'));
  LONGS_EQUAL(1, Received.size());
  LONGS_EQUAL(1000000, Received[0]->request().body().size());
  STRCMP_EQUAL("503", statusAt(Stalled).c_str());
}

// Guards against a request that loses its response after it was passed on.
TEST(net_server_memory, ARequestThatWasPassedOnIsNotEvicted) {
  const raw_client Running(Address);
  sendAll(Running, post("Content-Length: 2500000") + std::string(2500000, 'b'));
  runFor(2100ms);
  LONGS_EQUAL(1, Received.size());
  const raw_client Next(Address);
  Next.send(post("Content-Length: 1000000") + "b");
  STRCMP_EQUAL("503", statusAt(Next).c_str());
  Received[0]->answer(net::makeResponse(200, "done"));
  STRCMP_EQUAL("200", statusAt(Running).c_str());
}

// Guards against memory that is still charged, or held, once it is not needed.
TEST(net_server_memory, AnAnsweredRequestFreesItsMemory) {
  const raw_client Client(Address);
  for (int Round = 0; Round < 3; ++Round) {
    sendAll(Client,
            post("Content-Length: 2500000") + std::string(2500000, 'b'));
    LONGS_EQUAL(1, Received.size());
    Received[0]->answer(net::makeResponse(200, "done"));
    Received.clear();
    STRCMP_EQUAL("200", statusAt(Client).c_str());
    CHECK(Memory->heldBytes() < 50000);
  }
}

// Guards against complete responses that callers do not read.
TEST(net_server_memory, TheOldestUnreadResponseMakesRoom) {
  const raw_client Slow(Address);
  const raw_client Next(Address);
  for (const raw_client *Client : {&Slow, &Next})
    Client->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  runFor(20ms);
  LONGS_EQUAL(2, Received.size());
  // Beyond what the buffers of the sockets take.
  Received[0]->answer(net::makeResponse(200, std::string(2900000, 'r')));
  Received[1]->answer(net::makeResponse(200, std::string(2900000, 'r')));
  Received.clear();
  LONGS_EQUAL(1, Memory->totals().EvictedResponses);
  STRCMP_EQUAL("200", statusAt(Next).c_str());
}

// Guards against silent connections that keep callers from being served.
TEST(net_server_memory, ANewConnectionReplacesASilentOne) {
  const raw_client Used(Address);
  Used.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
  Received[0]->answer(net::makeResponse(200, "done"));
  Received.clear();
  STRCMP_EQUAL("200", statusAt(Used).c_str());
  const raw_client FirstSilent(Address);
  runFor(10ms);
  const raw_client SecondSilent(Address);
  runFor(10ms);
  const raw_client New(Address);
  New.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
  CHECK_TRUE(FirstSilent.isClosed());
  CHECK_FALSE(SecondSilent.isClosed());
  CHECK_FALSE(Used.isClosed());
  LONGS_EQUAL(1, Server->replacedConnections());
}
