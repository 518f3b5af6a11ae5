#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"

#include <optional>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const std::string GetRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_GROUP(net_server_streaming) {
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::vector<std::shared_ptr<net::pending_request>> Received;
  std::optional<net::http_server> Server;
  unsigned Written = 0;
  bool Left = false;

  void setup() override {
    Server.emplace(
        Loop, 100, [] { return base::message_limits(); },
        [this](const std::shared_ptr<net::pending_request> &Request) {
          Received.push_back(Request);
          Request->onCallerDisconnected([this] { Left = true; });
        });
    CHECK(Server->listen(Address));
  }
  void teardown() override {
    Server->stopAccepting();
    Received.clear();
    Loop.poll();
  }

  /// Runs the loop until nothing has happened for a while.
  void settle() {
    Loop.restart();
    while (Loop.run_one_for(20ms) > 0) {
    }
  }
  /// Sends a request and starts its response.
  net::pending_request &begin(const test_support::raw_client &Client,
                              std::optional<std::uint64_t> Length) {
    Client.send(GetRequest);
    settle();
    CHECK(!Received.empty());
    net::http_response_head Head;
    Head.result(200);
    Received.back()->startResponse(std::move(Head), Length);
    return *Received.back();
  }
  void write(net::pending_request & Request, const std::string &Piece,
             bool Last) {
    Request.writePiece(Piece, Last, [this] { ++Written; });
    settle();
  }
};

// Guards against responses that wait for their last byte, and against framing
// that the next response on the connection suffers from.
TEST(net_server_streaming, SendsEachPieceAtOnceInBothFramings) {
  const test_support::raw_client Client(Address);
  net::pending_request &Length = begin(Client, 6);
  write(Length, "one", false);
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\none",
               Client.receive().c_str());
  LONGS_EQUAL(1, Written);
  write(Length, "two", true);
  STRCMP_EQUAL("two", Client.receive().c_str());
  net::pending_request &InChunks = begin(Client, std::nullopt);
  write(InChunks, "", false);
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               Client.receive().c_str());
  write(InChunks, "0123456789abcdef", false);
  STRCMP_EQUAL("10\r\n0123456789abcdef\r\n", Client.receive().c_str());
  write(InChunks, "", true);
  STRCMP_EQUAL("0\r\n\r\n", Client.receive().c_str());
  CHECK(!Client.isClosed());
  Client.send(GetRequest);
  settle();
  LONGS_EQUAL(3, Received.size());
}

// Guards against an abandoned response that looks complete.
TEST(net_server_streaming, AnAbandonedResponseIsCut) {
  const test_support::raw_client Client(Address);
  net::pending_request &Request = begin(Client, std::nullopt);
  write(Request, "part", false);
  Request.abandon();
  settle();
  const std::string Bytes = Client.receive();
  STRCMP_CONTAINS("4\r\npart\r\n", Bytes.c_str());
  CHECK(Bytes.find("0\r\n\r\n") == std::string::npos);
  CHECK(Client.isClosed());
  write(Request, "more", true);
  LONGS_EQUAL(1, Written);
  LONGS_EQUAL(0, Server->activeRequests());
}

// Guards against pieces that pile up for a caller that does not read, and
// against an abandoned response whose connection stays open then.
TEST(net_server_streaming, ASlowCallerDelaysTheNextPiece) {
  const test_support::raw_client Client(Address);
  net::pending_request &Request = begin(Client, std::nullopt);
  write(Request, std::string(30U << 20U, 'x'), false);
  settle();
  LONGS_EQUAL(0, Written);
  Request.abandon();
  settle();
  LONGS_EQUAL(0, Written);
  CHECK(!Left);
  LONGS_EQUAL(0, Server->activeRequests());
}

// Guards against targets that work for callers that left in the middle of the
// response, during a write and between two.
TEST(net_server_streaming, ReportsACallerThatLeavesMidway) {
  for (const std::size_t PieceSize :
       {std::size_t{4}, std::size_t{30U << 20U}}) {
    Left = false;
    test_support::raw_client Client(Address);
    net::pending_request &Request = begin(Client, std::nullopt);
    write(Request, std::string(PieceSize, 'x'), false);
    CHECK(!Left);
    Client.close();
    settle();
    CHECK(Left);
    LONGS_EQUAL(0, Server->activeRequests());
  }
}

// Guards against a stop that cuts a response, or keeps its connection.
TEST(net_server_streaming, AStopEndsTheConnectionAfterTheLastPiece) {
  const test_support::raw_client Client(Address);
  net::pending_request &Request = begin(Client, 6);
  write(Request, "one", false);
  Server->drain();
  Server->stopAccepting();
  settle();
  CHECK(!Client.isClosed() && Server->activeRequests() == 1);
  write(Request, "two", true);
  const std::string Bytes = Client.receive();
  STRCMP_EQUAL("onetwo", Bytes.substr(Bytes.size() - 6).c_str());
  CHECK(Client.isClosed());
}
