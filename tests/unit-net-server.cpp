#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"

#include <algorithm>
#include <optional>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const std::string GetRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_GROUP(net_server) {
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::vector<std::shared_ptr<net::pending_request>> Received;
  base::message_limits Limits;
  std::optional<net::http_server> Server;

  void setup() override {
    Server.emplace(
        Loop, 100, [this] { return Limits; },
        [this](const std::shared_ptr<net::pending_request> &Request) {
          Received.push_back(Request);
        });
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
  void answerAll() {
    for (const auto &Request : Received)
      Request->answer(net::makeResponse(200, "done"));
    runFor(20ms);
  }
};

// Guards against a stop that closes a connection after its request was read:
// the request would be handled, but its caller would get no response. The test
// stops the server after 0 to 11 steps of the event loop.
TEST(net_server, StopNeverClosesAConnectionWithAHandledRequest) {
  for (int Steps = 0; Steps < 12; ++Steps) {
    Received.clear();
    Address.Port = test_support::freePort();
    setup();
    const test_support::raw_client Client(Address);
    Client.send(GetRequest);
    for (int Step = 0; Step < Steps; ++Step) {
      Loop.restart();
      Loop.run_one_for(5ms);
    }
    Server->drain();
    Server->stopAccepting();
    runFor(20ms);
    const bool Handled = !Received.empty();
    answerAll();
    const bool Answered = Client.receive().find("done") != std::string::npos;
    CHECK_EQUAL_TEXT(Handled, Answered, "handled but not answered");
  }
}

// Guards against a last response that is lost because the connection is reset:
// bytes of the caller that nobody reads are there when it is closed.
TEST(net_server, TheLastResponseSurvivesUnreadBytes) {
  Server->drain();
  const test_support::raw_client Client(Address);
  Client.send(GetRequest);
  runFor(10ms);
  LONGS_EQUAL(1, Received.size());
  Client.send(std::string(20000, 'x'));
  std::this_thread::sleep_for(10ms);
  // Some of the response is still in the server's send buffer at the close.
  constexpr std::size_t BodySize = 2000000;
  Received.at(0)->answer(net::makeResponse(200, std::string(BodySize, 'y')));
  runFor(50ms);
  std::string Answer;
  for (int Step = 0; Step < 60; ++Step) {
    Answer += Client.receive();
    runFor(5ms);
  }
  CHECK(Answer.size() > BodySize);
}

// Guards against requests that are handled although their callers have left,
// because the event loop was late and the close has not been reported yet.
TEST(net_server, TellsThatTheCallerLeftBeforeTheRequestWasRead) {
  test_support::raw_client Client(Address);
  test_support::raw_client Waiting(Address);
  Client.send(GetRequest);
  Waiting.send(GetRequest);
  Client.close();
  std::this_thread::sleep_for(20ms);
  while (Received.size() < 2) {
    Loop.restart();
    CHECK(Loop.run_one_for(1s) > 0);
  }
  LONGS_EQUAL(1, std::count_if(Received.begin(), Received.end(),
                               [](const auto &Request) {
                                 return Request->hasCallerDisconnected();
                               }));
}

// Guards against an idle timer that expires while the loop is busy and closes
// the connection after its next request was read.
TEST(net_server, LateIdleTimerDoesNotCloseAConnectionWithAHandledRequest) {
  Limits.IdleTimeout = 300ms;
  const test_support::raw_client Client(Address);
  runFor(10ms);
  Client.send(GetRequest);
  std::this_thread::sleep_for(350ms);
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
  answerAll();
  CHECK(Client.receive().find("done") != std::string::npos);
}

// Guards against a stop that resets an idle connection whose next request has
// arrived but was not read yet.
TEST(net_server, StopReadsARequestThatHasAlreadyArrived) {
  const test_support::raw_client Client(Address);
  runFor(10ms);
  Client.send(GetRequest);
  std::this_thread::sleep_for(10ms);
  Server->drain();
  Server->stopAccepting();
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
  answerAll();
  CHECK(Client.receive().find("done") != std::string::npos);
}

// Guards against a rejection without its length because an earlier request on
// the connection was HEAD.
TEST(net_server, RejectionAfterAHeadRequestCarriesItsLength) {
  const test_support::raw_client Client(Address);
  Client.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
  runFor(20ms);
  answerAll();
  Client.receive();
  Client.send("no request\r\n\r\n");
  runFor(20ms);
  CHECK(Client.receive().find("Content-Length: 27") != std::string::npos);
}

// Guards against connections that are closed by an idle limit that the
// operator has raised in the meantime.
TEST(net_server, RaisedIdleLimitAppliesToIdleConnections) {
  Limits.IdleTimeout = 100ms;
  const test_support::raw_client Client(Address);
  runFor(10ms);
  Limits.IdleTimeout = 1000ms;
  runFor(300ms);
  CHECK(!Client.isClosed());
  runFor(1000ms);
  CHECK(Client.isClosed());
}

// Guards against work on requests whose caller has disconnected.
TEST(net_server, ReportsThatTheCallerDisconnected) {
  test_support::raw_client Client(Address);
  Client.send(GetRequest);
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
  bool Disconnected = false;
  Received[0]->onCallerDisconnected([&Disconnected] { Disconnected = true; });
  Client.close();
  runFor(20ms);
  CHECK(Disconnected);
}

// Guards against request smuggling: a second request is hidden in the body of
// the first by conflicting Content-Length and Transfer-Encoding headers.
TEST(net_server, RejectsConflictingBodyLengths) {
  const test_support::raw_client Client(Address);
  Client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
              "Host: h\r\n\r\n");
  runFor(20ms);
  LONGS_EQUAL(0, Received.size());
  CHECK(Client.receive().find("HTTP/1.1 400") == 0);
}

// Guards against callers that exceed the configured message limits.
TEST(net_server, RejectsTooLargeMessages) {
  Limits.MaxBodyBytes = 10;
  Limits.MaxHeaderBytes = 200;
  const test_support::raw_client Body(Address);
  Body.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  const test_support::raw_client HugeBody(Address);
  HugeBody.send("POST /a HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 1000000000000\r\n\r\nbody");
  const test_support::raw_client Header(Address);
  Header.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') +
              "\r\n\r\n");
  runFor(30ms);
  CHECK(Body.receive().find("HTTP/1.1 413") == 0);
  CHECK(HugeBody.receive().find("HTTP/1.1 413") == 0);
  CHECK(Header.receive().find("HTTP/1.1 431") == 0);
}

// Guards against 413 for a request whose first byte arrived before a
// configuration that allows it.
TEST(net_server, TheLimitOfTheEndOfTheHeaderApplies) {
  Limits.MaxBodyBytes = 10;
  const test_support::raw_client Client(Address);
  Client.send("POST /a HTTP/1.1\r\nHost: h\r\n");
  runFor(10ms);
  Limits.MaxBodyBytes = 100;
  Client.send("Content-Length: 20\r\n\r\n" + std::string(20, 'x'));
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
}

// Guards against a connection that is reset under a caller which reads the
// response only after it has sent the whole body.
TEST(net_server, AnEarlyResponseWaitsForTheEndOfTheBody) {
  Limits.MaxBodyBytes = 10;
  const test_support::raw_client Client(Address);
  Client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n");
  for (int Step = 0; Step < 16; ++Step) {
    Client.send(std::string(1000, 'x'));
    runFor(50ms);
  }
  LONGS_EQUAL(1, Server->activeRequests());
  CHECK(Client.receive().find("HTTP/1.1 413") == 0);
  runFor(700ms);
  LONGS_EQUAL(0, Server->activeRequests());
}

// Guards against responses that are sent in another order than the requests
// of a pipelined connection.
TEST(net_server, HandlesPipelinedRequestsOneAtATime) {
  const test_support::raw_client Client(Address);
  Client.send(GetRequest + GetRequest);
  runFor(20ms);
  LONGS_EQUAL(1, Received.size());
  answerAll();
  LONGS_EQUAL(2, Received.size());
}

// Guards against idle connections and slow request headers that hold a
// connection forever.
TEST(net_server, ClosesIdleAndSlowConnections) {
  Limits.IdleTimeout = 30ms;
  Limits.HeaderTimeout = 30ms;
  const test_support::raw_client Idle(Address);
  const test_support::raw_client Slow(Address);
  Slow.send("GET /a HT");
  runFor(120ms);
  CHECK(Idle.isClosed());
  CHECK(Slow.isClosed());
}
