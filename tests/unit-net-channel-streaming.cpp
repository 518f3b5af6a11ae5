#include "skylarkdyke/net/http_channel.hpp"
#include "support/free_port.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::beast::http::verb;
using net::channel_fault;
using net::response_use;

TEST_GROUP(net_channel_streaming) {
  net::response_memory Memory{4U << 20U};
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  tcp::acceptor Acceptor{
      Loop, tcp::endpoint(boost::asio::ip::make_address(Address.Address),
                          Address.Port)};
  tcp::socket Peer{Loop};
  std::shared_ptr<net::http_channel> Channel;
  std::vector<bool> HeadsComplete;
  std::vector<std::string> Pieces;
  std::optional<net::call_result> Result;
  bool ResumeAtOnce = true;

  void teardown() override {
    Peer.close();
    if (Channel)
      Channel->close();
    Loop.poll();
  }

  /// Starts a call on a new connection. Responses with another X-Id are
  /// skipped, all others are streamed.
  void start(verb Method = verb::get, std::chrono::milliseconds Timeout = 2s) {
    Peer.close();
    HeadsComplete.clear();
    Pieces.clear();
    Result.reset();
    Channel = net::http_channel::create(Loop, Address, Memory);
    const auto Now = base::boot_clock::now();
    Channel->callStreaming(
        net::http_request(Method, "/", 11), nullptr,
        {Now + Timeout, Now + Timeout},
        {[this](const net::http_response_head &Head, bool Complete) {
           HeadsComplete.push_back(Complete);
           return Head["X-Id"] == "other" ? response_use::Skip
                                          : response_use::Stream;
         },
         [this](std::string Piece) {
           Pieces.push_back(std::move(Piece));
           if (ResumeAtOnce)
             Channel->resume();
         },
         [this](net::call_result CallResult) {
           Result.emplace(std::move(CallResult));
         }});
    Acceptor.async_accept(Peer, [](auto) {});
    settle();
  }
  void runFor(std::chrono::milliseconds Time) {
    Loop.restart();
    Loop.run_for(Time);
  }
  /// Runs the loop until nothing has happened for a while.
  void settle() {
    Loop.restart();
    while (Loop.run_one_for(20ms) > 0) {
    }
  }
  void peerSends(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(Peer, boost::asio::buffer(Bytes), Ignored);
    settle();
  }
  void peerEnds(bool WithReset) {
    // A close would reset the connection, too: the request was not read.
    if (!WithReset)
      Peer.shutdown(tcp::socket::shutdown_send);
    else
      Peer.close();
    settle();
  }
  /// The whole body that the observer got.
  std::string body() {
    std::string Body;
    for (const std::string &Piece : Pieces)
      Body += Piece;
    return Result && *Result ? Body + Result->value().body() : Body;
  }
  void checkFault(channel_fault Fault) {
    CHECK(Result && !*Result);
    STRCMP_EQUAL(net::toString(Fault), net::toString(Result->error().Fault));
    CHECK(!Channel->isOpen());
  }
};

static const std::string Ok = "HTTP/1.1 200 OK\r\n";
static const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

// Guards against responses whose first byte waits for their last one.
TEST(net_channel_streaming, DeliversTheHeadBeforeTheBody) {
  start();
  peerSends(Ok + "Content-Length: 10\r\n\r\n");
  LONGS_EQUAL(1, HeadsComplete.size());
  CHECK(!HeadsComplete[0]);
  LONGS_EQUAL(1, Pieces.size());
  peerSends("01234");
  STRCMP_EQUAL("01234", body().c_str());
  CHECK(!Result);
  peerSends("56789");
  STRCMP_EQUAL("0123456789", body().c_str());
  CHECK(Result.has_value());
  CHECK(Channel->isReusable(base::boot_clock::now()));
}

// Guards against memory that grows with the body while it is not passed on,
// and against a limit on the size of streamed bodies.
TEST(net_channel_streaming, ReadsNothingUntilItIsResumed) {
  constexpr std::size_t Size = 40U << 20U;
  constexpr std::size_t SocketBufferBytes = 12U << 20U;
  ResumeAtOnce = false;
  start(verb::get, 10s);
  std::size_t Sent = 0;
  const std::string Body(Size, 'x');
  peerSends(Ok + "Content-Length: " + std::to_string(Size) + "\r\n\r\n");
  boost::asio::async_write(Peer, boost::asio::buffer(Body),
                           [&Sent](auto, std::size_t Count) { Sent = Count; });
  runFor(200ms);
  LONGS_EQUAL(1, Pieces.size());
  LONGS_EQUAL(0, Sent);
  std::size_t Received = 0;
  while (!Result && Received < Size) {
    Received += Pieces.back().size();
    Pieces.resize(1);
    CHECK(Pieces.back().size() <= 65536);
    Channel->resume();
    const std::size_t Before = Pieces.size();
    while (!Result && Pieces.size() == Before) {
      Loop.restart();
      CHECK(Loop.run_one_for(1s) > 0);
    }
  }
  CHECK(Result && *Result);
  LONGS_EQUAL(Size, Received + Result->value().body().size());
  CHECK(Sent < SocketBufferBytes || Sent == Size);
}

// Guards against bodies that depend on how their bytes were divided: the line
// before a chunk and the trailers arrive one byte at a time.
TEST(net_channel_streaming, DecodesChunksThatArriveByteByByte) {
  start();
  for (const char Byte :
       Chunked + "5;name=value\r\nhello\r\n1\r\n!\r\n0\r\nX-Sum: 1\r\n\r\n")
    peerSends(std::string(1, Byte));
  STRCMP_EQUAL("hello!", body().c_str());
  CHECK(Result && *Result);
  CHECK(Channel->isReusable(base::boot_clock::now()));
}

// Guards against incomplete bodies that pass as complete.
TEST(net_channel_streaming, IncompleteBodiesFail) {
  const std::string Length = Ok + "Content-Length: 9\r\n\r\n";
  for (const auto &Head : {Length, Chunked + "9\r\n", Chunked + "4\r\n"})
    for (const bool WithReset : {false, true}) {
      start();
      peerSends(Head + "part");
      STRCMP_EQUAL("part", body().c_str());
      peerEnds(WithReset);
      checkFault(channel_fault::Truncated);
    }
  start();
  peerSends(Ok + "\r\npart");
  peerEnds(true);
  checkFault(channel_fault::Truncated);
  start();
  peerSends(Chunked + "4\r\npart\r\n");
  peerSends("no size\r\n");
  checkFault(channel_fault::Malformed);
}

TEST(net_channel_streaming, ACleanEndCompletesABodyWithoutLength) {
  start();
  peerSends(Ok + "\r\nall");
  CHECK(!Result);
  peerEnds(false);
  CHECK(Result && *Result);
  STRCMP_EQUAL("all", body().c_str());
  CHECK(!Channel->isReusable(base::boot_clock::now()));
}

// Guards against responses without a body that are taken for incomplete ones.
TEST(net_channel_streaming, ResponsesWithoutABodyAreComplete) {
  for (const auto &[Method, Status] : std::vector<std::pair<verb, std::string>>{
           {verb::head, "200 OK"},
           {verb::get, "204 No Content"},
           {verb::get, "304 Not Modified"}}) {
    start(Method);
    peerSends("HTTP/1.1 102 Processing\r\n\r\n");
    peerSends("HTTP/1.1 " + Status + "\r\n" +
              (Status[0] == '2' && Method == verb::get
                   ? "\r\n"
                   : "Content-Length: 50000\r\n\r\n"));
    LONGS_EQUAL(1, HeadsComplete.size());
    CHECK(HeadsComplete[0]);
    CHECK(Result && *Result);
    CHECK(Pieces.empty());
  }
}

// Guards against a deadline that does not hold while nothing is read.
TEST(net_channel_streaming, FailsAtTheDeadlineWhilePaused) {
  ResumeAtOnce = false;
  start(verb::get, 100ms);
  peerSends(Ok + "Content-Length: 9\r\n\r\npart");
  runFor(150ms);
  checkFault(channel_fault::DeadlinePassed);
  Channel->resume();
}

// Guards against late copies of large responses that take the memory of other
// responses although they are dropped.
TEST(net_channel_streaming, SkippedResponsesAreNotHeld) {
  bool Reclaimed = false;
  net::response_memory::holding Other(Memory, {"10.0.0.1", 1},
                                      [&Reclaimed] { Reclaimed = true; });
  Other.resize((4U << 20U) - 300000);
  Channel = net::http_channel::create(Loop, Address, Memory);
  const auto Now = base::boot_clock::now();
  Channel->call(
      net::http_request(verb::get, "/", 11), {Now + 2s, Now + 2s},
      [](const net::http_response &Response) {
        return Response["X-Id"] != "other";
      },
      [this](net::call_result CallResult) {
        Result.emplace(std::move(CallResult));
      });
  Acceptor.async_accept(Peer, [](auto) {});
  settle();
  for (int Copy = 0; Copy < 2; ++Copy) {
    peerSends(Ok + "X-Id: other\r\nContent-Length: 480000\r\n\r\n");
    for (int Piece = 0; Piece < 16; ++Piece)
      peerSends(std::string(30000, 'x'));
  }
  peerSends(Ok + "Content-Length: 2\r\n\r\nok");
  CHECK(Result && *Result);
  STRCMP_EQUAL("ok", Result->value().body().c_str());
  CHECK(!Reclaimed);
}

// Guards against an exchange that ends while its peer is at work: a peer may
// read a long body late, and keeps its receive window closed until then.
TEST(net_channel_streaming, APeerMayReadALongBodyLate) {
  const auto Body = std::make_shared<const std::string>(12U << 20U, 'x');
  net::http_request Request(verb::post, "/", 11);
  Request.content_length(Body->size());
  Channel = net::http_channel::create(Loop, Address, Memory);
  const auto Deadline = base::boot_clock::now() + 30s;
  Channel->callStreaming(
      std::move(Request), Body, {Deadline, Deadline},
      {[](const auto &, bool) { return response_use::Collect; }, nullptr,
       [this](net::call_result Received) {
         Result.emplace(std::move(Received));
       }});
  Acceptor.async_accept(Peer, [](auto) {});
  Loop.restart();
  Loop.run_for(2500ms);
  CHECK_FALSE(Result.has_value());
  std::size_t ReadBytes = 0;
  std::string Buffer(1U << 20U, '\0');
  std::function<void()> ReadOn = [&] {
    Peer.async_read_some(boost::asio::buffer(Buffer), [&](auto Failure,
                                                          std::size_t Size) {
      ReadBytes += Size;
      if (Failure)
        return;
      if (ReadBytes < Body->size())
        return ReadOn();
      boost::asio::write(Peer, boost::asio::buffer(std::string(
                                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                   "\r\nok")));
    });
  };
  ReadOn();
  Loop.restart();
  while (!Result && Loop.run_one_for(10s) != 0) {
  }
  CHECK_TRUE(Result.has_value());
  CHECK_TRUE(static_cast<bool>(*Result));
}

// Guards against a body that a connection keeps after it was written.
TEST(net_channel_streaming, ReleasesTheBodyOnceItIsWritten) {
  auto Body = std::make_shared<const std::string>("shared body");
  const std::weak_ptr<const std::string> Weak = Body;
  net::http_request Request(verb::post, "/", 11);
  Request.content_length(Body->size());
  Channel = net::http_channel::create(Loop, Address, Memory);
  const auto Deadline = base::boot_clock::now() + 2s;
  Channel->callStreaming(
      std::move(Request), std::move(Body), {Deadline, Deadline},
      {[](const auto &, bool) { return response_use::Stream; }, nullptr,
       [](const net::call_result &) {}});
  Acceptor.async_accept(Peer, [](auto) {});
  settle();
  std::string Received(Peer.available(), '\0');
  Peer.read_some(boost::asio::buffer(Received));
  CHECK(Received.find("\r\n\r\nshared body") != std::string::npos);
  CHECK_TRUE(Weak.expired());
}
