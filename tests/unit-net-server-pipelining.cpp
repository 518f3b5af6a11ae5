#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"

#include <optional>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using net::request_concurrency;

static std::string get(const std::string &Path, const std::string &Field = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Field + "\r\n";
}

static std::string post(const std::string &Path, const std::string &Body,
                        const std::string &Field = "") {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\n" + Field +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

TEST_GROUP(net_server_pipelining) {
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::vector<std::shared_ptr<net::pending_request>> Received;
  std::optional<net::http_server> Server;
  /// Paths of the requests, in the order in which they were told.
  std::string Left;
  std::string Lost;
  std::string Turns;

  void setup() override {
    Server.emplace(
        Loop, 100, [] { return base::message_limits(); },
        [this](const std::shared_ptr<net::pending_request> &Request) {
          accept(Request);
        });
    Server->setReadAhead({4, 2000});
    CHECK(Server->listen(Address));
  }
  void teardown() override {
    Server->stopAccepting();
    Received.clear();
    settle();
  }

  void accept(const std::shared_ptr<net::pending_request> &Request) {
    const std::string Path(Request->request().target());
    Received.push_back(Request);
    Request->onCallerDisconnected([this, Path] { Left += Path; });
    Request->onResponseLost(
        [this, Path](const std::string &) { Lost += Path; });
    Request->awaitTurn(Path[1] == 'x' ? request_concurrency::Exclusive
                                      : request_concurrency::Shared,
                       [this, Path] { Turns += Path; });
  }
  void settle(std::chrono::milliseconds Time = 20ms) {
    Loop.restart();
    Loop.run_for(Time);
  }
  void send(const test_support::raw_client &Client, const std::string &Bytes) {
    Client.send(Bytes);
    settle();
  }
  /// Answers a request with its path as the body.
  void answer(std::size_t Index) {
    const auto &Request = Received.at(Index);
    Request->answer(
        net::makeResponse(200, std::string(Request->request().target())));
    settle();
  }
  void begin(std::size_t Index, const std::string &Piece, unsigned &Written) {
    net::http_response_head Head;
    Head.result(200);
    Received.at(Index)->startResponse(std::move(Head), 6);
    Received.at(Index)->writePiece(Piece, false, [&Written] { ++Written; });
    settle();
  }
  /// The bodies of complete responses, with "!" after one that closes.
  static std::string bodies(const std::string &Bytes) {
    std::string All;
    for (std::size_t At = Bytes.find("\r\n\r\n"); At != std::string::npos;
         At = Bytes.find("\r\n\r\n", At + 4)) {
      const std::size_t End = Bytes.find("HTTP/1.1", At);
      const std::size_t Start = Bytes.rfind("HTTP/1.1", At);
      All += Bytes.substr(At + 4, End - At - 4);
      if (Bytes.substr(Start, At - Start).find("close") != std::string::npos)
        All += "!";
    }
    return All;
  }
};

// Guards against requests that wait for each other, and against responses in
// another order than the requests.
TEST(net_server_pipelining, RequestsRunAtOnceAndResponsesKeepTheirOrder) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a") + get("/b") + get("/c"));
  LONGS_EQUAL(3, Received.size());
  LONGS_EQUAL(3, Server->activeRequests());
  const auto AllArrived = base::boot_clock::now();
  for (const auto &Request : Received)
    CHECK(Request->arrivedAt() < AllArrived);
  answer(2);
  answer(1);
  STRCMP_EQUAL("", Client.receive().c_str());
  send(Client, get("/d"));
  LONGS_EQUAL(4, Received.size());
  answer(0);
  STRCMP_EQUAL("/a/b/c", bodies(Client.receive()).c_str());
  answer(3);
  STRCMP_EQUAL("/d", bodies(Client.receive()).c_str());
  LONGS_EQUAL(0, Server->activeRequests());
  STRCMP_EQUAL("", (Left + Lost).c_str());
}

// Guards against a caller that makes a connection hold any number of requests.
TEST(net_server_pipelining, ReadsNothingBeyondTheNumberOfRequests) {
  const test_support::raw_client Client(Address);
  std::string Requests;
  for (unsigned Number = 0; Number < 12; ++Number)
    Requests += get("/r");
  send(Client, Requests);
  LONGS_EQUAL(4, Received.size());
  answer(3);
  LONGS_EQUAL(4, Received.size());
  answer(0);
  LONGS_EQUAL(5, Received.size());
  for (std::size_t Index = 1; Index < 12; ++Index)
    answer(Index);
  LONGS_EQUAL(12, Received.size());
}

// Guards against requests, or responses that wait, of any size.
TEST(net_server_pipelining, ReadsNothingBeyondTheNumberOfBytes) {
  const test_support::raw_client Client(Address);
  const std::string Body(1500, 'x');
  send(Client, post("/a", Body) + post("/b", Body) + get("/c"));
  LONGS_EQUAL(1, Received.size());
  answer(0);
  LONGS_EQUAL(3, Received.size());
  Received.at(2)->answer(net::makeResponse(200, std::string(2000, 'y')));
  send(Client, get("/d"));
  LONGS_EQUAL(3, Received.size());
  answer(1);
  LONGS_EQUAL(4, Received.size());
}

// Guards against a request that is not idempotent beside others: if the
// connection broke, nobody would know whether it ran.
TEST(net_server_pipelining, AnExclusiveRequestRunsAlone) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a") + get("/x") + get("/b") + get("/c"));
  STRCMP_EQUAL("/a", Turns.c_str());
  answer(0);
  STRCMP_EQUAL("/a/x", Turns.c_str());
  answer(1);
  STRCMP_EQUAL("/a/x/b/c", Turns.c_str());
}

// Guards against work for a caller that left while bytes of it were unread, in
// the buffer of the process or in that of the socket.
TEST(net_server_pipelining, SeesTheCallerLeaveBehindUnreadBytes) {
  const std::string Large = get("/c", "X: " + std::string(9000, 'y') + "\r\n");
  for (const std::size_t MaxRequests : {1U, 2U}) {
    Server->setReadAhead({MaxRequests, 2000});
    Received.clear();
    Left.clear();
    test_support::raw_client Client(Address);
    send(Client, get("/a") + get("/b") + Large);
    LONGS_EQUAL(MaxRequests, Received.size());
    CHECK(!Received[0]->hasCallerDisconnected());
    if (MaxRequests == 2)
      answer(1);
    Client.close();
    CHECK(Received[0]->hasCallerDisconnected());
    settle(100ms);
    STRCMP_EQUAL("/a", Left.c_str());
    STRCMP_EQUAL(MaxRequests == 2 ? "/b" : "", Lost.c_str());
    LONGS_EQUAL(0, Server->activeRequests());
  }
}

// Guards against requests behind a response that closes the connection: their
// callers send them again.
TEST(net_server_pipelining, NothingIsReadBehindTheLastRequest) {
  const test_support::raw_client Client(Address);
  send(Client,
       get("/a") + get("/b", "Connection: close\r\n") + get("/c") + get("/d"));
  LONGS_EQUAL(2, Received.size());
  answer(1);
  answer(0);
  STRCMP_EQUAL("/a/b!", bodies(Client.receive()).c_str());
  CHECK(Client.isClosed());
  const test_support::raw_client Unreadable(Address);
  send(Unreadable, get("/e") + "no request\r\n\r\n" + get("/f"));
  LONGS_EQUAL(3, Received.size());
  STRCMP_EQUAL("", Unreadable.receive().c_str());
  answer(2);
  STRCMP_EQUAL("/ethe request cannot be read\n!",
               bodies(Unreadable.receive()).c_str());
  CHECK(Unreadable.isClosed());
}

// Guards against pieces that overtake an earlier response or pile up behind it.
TEST(net_server_pipelining, AResponseInPiecesWaitsForItsTurn) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a") + get("/b") + get("/c"));
  unsigned Written = 0;
  begin(1, "one", Written);
  answer(2);
  LONGS_EQUAL(0, Written);
  STRCMP_EQUAL("", Client.receive().c_str());
  answer(0);
  LONGS_EQUAL(1, Written);
  STRCMP_EQUAL("/aone", bodies(Client.receive()).c_str());
  Received[1]->writePiece("two", true, nullptr);
  settle();
  STRCMP_EQUAL("two", Client.receive().substr(0, 3).c_str());
  LONGS_EQUAL(0, Server->activeRequests());
}

// Guards against a response that looks complete, or responses out of order,
// after an earlier one broke off.
TEST(net_server_pipelining, ABrokenResponseEndsTheConnectionInItsTurn) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a") + get("/b") + get("/c") + get("/d"));
  unsigned Written = 0;
  begin(1, "one", Written);
  answer(3);
  Received[1]->abandon();
  settle();
  CHECK(!Client.isClosed());
  STRCMP_EQUAL("", Left.c_str());
  answer(0);
  STRCMP_EQUAL("/a", bodies(Client.receive()).c_str());
  CHECK(Client.isClosed());
  STRCMP_EQUAL("/c", Left.c_str());
  STRCMP_EQUAL("/d", Lost.c_str());
  LONGS_EQUAL(0, Server->activeRequests());
}

// Guards against a stop that closes a connection in front of requests that a
// target may have executed.
TEST(net_server_pipelining, AStopAnswersWhatWasReadAndClosesWithTheLast) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a") + get("/b") + "GET /c HT");
  Server->drain();
  Server->stopAccepting();
  settle();
  answer(0);
  STRCMP_EQUAL("/a", bodies(Client.receive()).c_str());
  answer(1);
  STRCMP_EQUAL("/b!", bodies(Client.receive()).c_str());
  CHECK(Client.isClosed());
  send(Client, "TP/1.1\r\nHost: h\r\n\r\n");
  LONGS_EQUAL(2, Received.size());
}

// Guards against a stop that reads requests on and on.
TEST(net_server_pipelining, AStopReadsNothingMoreBehindOpenRequests) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a"));
  Server->drain();
  send(Client, get("/b") + get("/c"));
  LONGS_EQUAL(1, Received.size());
  answer(0);
  STRCMP_EQUAL("/a!", bodies(Client.receive()).c_str());
}

// Guards against "100 Continue" in front of, or within, an earlier response.
TEST(net_server_pipelining, ContinueIsSentInTurn) {
  const test_support::raw_client Client(Address);
  send(Client, get("/a") +
                   "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                   "Expect: 100-continue\r\n\r\n");
  STRCMP_EQUAL("", Client.receive().c_str());
  answer(0);
  const std::string Bytes = Client.receive();
  CHECK(Bytes.find("100 Continue") > Bytes.find("/a"));
  send(Client, "body");
  LONGS_EQUAL(2, Received.size());
  STRCMP_EQUAL("body", Received[1]->request().body().c_str());
}
