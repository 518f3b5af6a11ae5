#include "skylarkdyke/net/http_channel.hpp"
#include "support/free_port.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using net::channel_fault;

TEST_GROUP(net_channel) {
  net::response_memory Memory{4U << 20U};
  boost::asio::io_context Loop;
  base::endpoint Peer{"127.0.0.1", test_support::freePort()};
  tcp::acceptor Acceptor{
      Loop,
      tcp::endpoint(boost::asio::ip::make_address(Peer.Address), Peer.Port)};
  tcp::socket Accepted{Loop};
  boost::asio::streambuf Received;
  std::string ReceivedHeader;
  std::shared_ptr<net::http_channel> Channel =
      net::http_channel::create(Loop, Peer, Memory);
  std::optional<net::call_result> Result;
  /// Most bytes that the kernel holds between the two ends of a connection.
  static constexpr std::size_t SocketBufferBytes = 12U << 20U;
  std::string Flood;
  std::chrono::milliseconds FloodPause{0};
  std::size_t FloodedBytes = 0;
  boost::asio::steady_timer FloodTimer{Loop};
  boost::asio::steady_timer DelayTimer{Loop};
  std::chrono::nanoseconds LongestDelay{0};
  /// Whether a request may be sent once the connection is open.
  bool MaySend = true;

  void teardown() override {
    FloodTimer.cancel();
    Accepted.close();
    Channel->close();
    Loop.poll();
  }

  /// Makes a call. The peer sends Bytes once it has received the request, and
  /// then keeps, closes or resets the connection.
  enum class connection_end { Keep, Close, Reset, Flood };
  void call(const std::string &Bytes, connection_end End,
            std::chrono::milliseconds Timeout = 200ms) {
    Result.reset();
    if (!Accepted.is_open())
      Acceptor.async_accept(Accepted, [this, Bytes, End](auto Failure) {
        if (!Failure)
          answer(Bytes, End);
      });
    else
      answer(Bytes, End);
    const auto Now = base::boot_clock::now();
    net::http_request Request(boost::beast::http::verb::get, "/", 11);
    Request.set("Host", "h");
    Request.set("X-Time", "early");
    Channel->call(
        std::move(Request),
        {Now + Timeout, Now + Timeout,
         [this](net::http_request &Asked) {
           Asked.set("X-Time", "late");
           return MaySend;
         }},
        [](const net::http_response &Response) {
          return Response["X-Id"].empty() || Response["X-Id"] == "mine";
        },
        [this](net::call_result CallResult) {
          Result.emplace(std::move(CallResult));
        });
    CHECK(!Result);
    Loop.restart();
    while (!Result && Loop.run_one_for(1s) != 0) {
    }
    CHECK(Result.has_value());
  }
  void answer(const std::string &Bytes, connection_end End) {
    boost::asio::async_read_until(
        Accepted, Received, "\r\n\r\n",
        [this, Bytes, End](auto Failure, std::size_t Size) {
          if (Failure)
            return;
          const auto Begin = boost::asio::buffers_begin(Received.data());
          ReceivedHeader.assign(Begin, Begin + static_cast<long>(Size));
          Received.consume(Size);
          boost::asio::write(Accepted, boost::asio::buffer(Bytes));
          if (End == connection_end::Reset)
            Accepted.set_option(boost::asio::socket_base::linger(true, 0));
          if (End == connection_end::Flood)
            sendFlood();
          else if (End != connection_end::Keep)
            Accepted.close();
        });
  }
  /// Makes a call to a peer that sends Start and then Piece without end, and
  /// meanwhile measures the longest delay of another task of the loop.
  void callFlooder(const std::string &Start, const std::string &Piece,
                   std::chrono::milliseconds Pause = 0ms) {
    Flood = Piece;
    while (Pause == 0ms && Flood.size() < 8192)
      Flood += Piece;
    FloodPause = Pause;
    measureDelay();
    call(Start, connection_end::Flood, 3s);
    DelayTimer.cancel();
  }
  void sendFlood() {
    boost::asio::async_write(Accepted, boost::asio::buffer(Flood),
                             [this](auto Failure, std::size_t Size) {
                               FloodedBytes += Size;
                               if (Failure)
                                 return;
                               FloodTimer.expires_after(FloodPause);
                               FloodTimer.async_wait([this](auto Cancelled) {
                                 if (!Cancelled)
                                   sendFlood();
                               });
                             });
  }
  void measureDelay() {
    const auto Due = base::boot_clock::now() + 5ms;
    DelayTimer.expires_after(5ms);
    DelayTimer.async_wait([this, Due](auto Cancelled) {
      LongestDelay = std::max(LongestDelay, base::boot_clock::now() - Due);
      if (!Cancelled)
        measureDelay();
    });
  }
  /// Checks that a call ended because of its bytes, soon and without delay for
  /// other tasks, and that no more than one response was taken.
  void checkFloodEnded() {
    checkFault(channel_fault::ExcessBytes);
    CHECK(LongestDelay < 100ms);
    CHECK(FloodedBytes < Memory.maxResponseBytes() + SocketBufferBytes);
  }
  void checkFault(channel_fault Fault) {
    CHECK(!*Result);
    STRCMP_EQUAL(net::toString(Fault), net::toString(Result->error().Fault));
    CHECK(!Result->error().NothingSent);
    CHECK(!Channel->isReusable(base::boot_clock::now()));
  }
};

static std::string response(const std::string &Headers,
                            const std::string &Body) {
  return "HTTP/1.1 200 OK\r\n" + Headers + "\r\n" + Body;
}

// Guards against connections that are not reused: every request would open a
// new one.
TEST(net_channel, ReusesTheConnectionAfterACompleteResponse) {
  call(response("Content-Length: 2\r\nKeep-Alive: timeout=10\r\n", "ok"),
       connection_end::Keep);
  STRCMP_EQUAL("ok", Result->value().body().c_str());
  CHECK(Channel->isReusable(base::boot_clock::now()));
  CHECK(!Channel->isReusable(base::boot_clock::now() + 9s));
  call(response("Content-Length: 2\r\n", "go"), connection_end::Keep);
  STRCMP_EQUAL("go", Result->value().body().c_str());
}

// Guards against a response that is delivered to the caller of another
// request: the peer first sends a late response to an earlier request.
TEST(net_channel, SkipsResponsesOfOtherRequests) {
  call(response("X-Id: other\r\nContent-Length: 2\r\n", "no") +
           response("X-Id: mine\r\nContent-Length: 3\r\n", "yes"),
       connection_end::Keep);
  STRCMP_EQUAL("yes", Result->value().body().c_str());
  CHECK(Channel->sawUnexpectedBytes());
}

// Guards against bytes after a response that are read as the response to the
// next request on the connection.
TEST(net_channel, IsNotReusableAfterExtraBytes) {
  call(response("Content-Length: 2\r\n", "ok") +
           response("Content-Length: 2\r\n", "no"),
       connection_end::Keep);
  STRCMP_EQUAL("ok", Result->value().body().c_str());
  CHECK(!Channel->isReusable(base::boot_clock::now()));
}

// Guards against truncated responses that are accepted as complete: the peer
// closes the connection before it has sent Content-Length bytes.
TEST(net_channel, ReportsTruncatedResponses) {
  call(response("Content-Length: 5\r\n", "ok"), connection_end::Close);
  checkFault(channel_fault::Truncated);
}

TEST(net_channel, AcceptsAResponseDelimitedByClose) {
  call(response("", "all"), connection_end::Close);
  STRCMP_EQUAL("all", Result->value().body().c_str());
}

TEST(net_channel, FailsIfAResponseDelimitedByCloseIsReset) {
  call(response("", "part"), connection_end::Reset);
  CHECK(!*Result);
}

// Guards against a retry of a request that may have been executed: the peer
// closes the connection after it has received the request.
TEST(net_channel, ReportsACloseBeforeTheResponse) {
  call("", connection_end::Close);
  checkFault(channel_fault::ClosedBeforeResponse);
}

TEST(net_channel, ReportsMalformedResponses) {
  call("garbage\r\n\r\n", connection_end::Keep);
  checkFault(channel_fault::Malformed);
}

TEST(net_channel, FailsAtTheDeadline) {
  call("", connection_end::Keep, 30ms);
  checkFault(channel_fault::DeadlinePassed);
}

// Guards against a connect timer that expires while the loop is busy and ends
// the call after its request was sent.
TEST(net_channel, LateConnectTimerDoesNotEndTheExchange) {
  const std::string Answer = response("Content-Length: 2\r\n", "ok");
  Acceptor.async_accept(Accepted, [this, Answer](auto Failure) {
    if (!Failure)
      answer(Answer, connection_end::Keep);
  });
  const auto Now = base::boot_clock::now();
  Channel->call(
      net::http_request(boost::beast::http::verb::get, "/", 11),
      {Now + 20ms, Now + 1s}, [](const net::http_response &) { return true; },
      [this](net::call_result CallResult) {
        Result.emplace(std::move(CallResult));
      });
  std::this_thread::sleep_for(30ms);
  Loop.restart();
  while (!Result && Loop.run_one_for(1s) != 0) {
  }
  CHECK(Result && *Result);
}

// Guards against a refused connection that is reported as a request that may
// have been executed.
TEST(net_channel, ReportsNothingSentIfTheConnectionIsRefused) {
  Acceptor.close();
  const auto Now = base::boot_clock::now();
  Channel->call(
      net::http_request(boost::beast::http::verb::get, "/", 11),
      {Now + 200ms, Now + 200ms},
      [](const net::http_response &) { return true; },
      [this](net::call_result CallResult) {
        Result.emplace(std::move(CallResult));
      });
  Loop.restart();
  while (!Result && Loop.run_one_for(1s) != 0) {
  }
  CHECK(Result && !*Result);
  CHECK(Result->error().NothingSent);
  CHECK(Result->error().Fault == channel_fault::ConnectRefused);
}

// Each of these tests guards against a process that is killed for its memory,
// or works on one call until its deadline, because a peer sends without end.
TEST(net_channel, EndsAStatusLineWithoutEnd) {
  callFlooder("HTTP/1.1 200 ", "OK");
  checkFloodEnded();
}

TEST(net_channel, EndsHeaderFieldsWithoutEnd) {
  callFlooder("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
  checkFloodEnded();
}

TEST(net_channel, EndsInterimResponsesWithoutEnd) {
  callFlooder("", "HTTP/1.1 102 Processing\r\n\r\n");
  checkFloodEnded();
  CHECK(FloodedBytes < SocketBufferBytes);
}

TEST(net_channel, EndsResponsesToOtherRequestsWithoutEnd) {
  callFlooder("", response("X-Id: other\r\nContent-Length: 2\r\n", "no"));
  checkFloodEnded();
  CHECK(FloodedBytes < SocketBufferBytes);
}

TEST(net_channel, EndsABodyOfUnknownLengthWithoutEnd) {
  callFlooder(response("", ""), "body");
  checkFloodEnded();
}

TEST(net_channel, EndsAChunkedBodyWithoutEnd) {
  callFlooder(response("Transfer-Encoding: chunked\r\n", ""), "4\r\nbody\r\n");
  checkFloodEnded();
}

TEST(net_channel, EndsAChunkSizeWithoutEnd) {
  callFlooder(response("Transfer-Encoding: chunked\r\n", ""), "0");
  checkFloodEnded();
}

TEST(net_channel, EndsAChunkExtensionWithoutEnd) {
  callFlooder(response("Transfer-Encoding: chunked\r\n", "4;"), "name");
  checkFloodEnded();
}

TEST(net_channel, EndsTrailersWithoutEnd) {
  callFlooder(response("Transfer-Encoding: chunked\r\n", "0\r\n"),
              "X-Field: value\r\n");
  checkFloodEnded();
}

TEST(net_channel, RefusesAnExcessiveContentLengthAtOnce) {
  callFlooder(response("Content-Length: 1000000000000\r\n", ""), "body");
  checkFloodEnded();
  CHECK(FloodedBytes < SocketBufferBytes);
}

// Guards against calls that a peer keeps alive beyond their deadline with a
// few bytes at a time.
TEST(net_channel, EndsSlowBytesAtTheDeadline) {
  for (const auto &Start :
       {std::string("HTTP/1.1 200 "), std::string("HTTP/1.1 200 OK\r\nX: "),
        response("", ""), response("Content-Length: 100000\r\n", ""),
        response("Transfer-Encoding: chunked\r\n", "4;")}) {
    Flood = "x";
    FloodPause = 5ms;
    const auto Before = base::boot_clock::now();
    call(Start, connection_end::Flood, 100ms);
    checkFault(channel_fault::DeadlinePassed);
    CHECK(base::boot_clock::now() - Before < 200ms);
    FloodTimer.cancel();
    Accepted.close();
    Loop.poll();
    Received.consume(Received.size());
    Channel = net::http_channel::create(Loop, Peer, Memory);
  }
}

// Guards against limits that also end responses of a proper size.
TEST(net_channel, DeliversAResponseOfTheMaximumSize) {
  const std::string Body(Memory.maxResponseBytes() - 1024, 'x');
  call(response("Connection: close\r\n", Body), connection_end::Close, 3s);
  CHECK_TRUE(Result->has_value());
  CHECK(Result->value().body() == Body);
}

// Guards against memory that grows with the number of connections, and against
// the end of a small response because another peer sends without end: the
// responses of the peer that holds the most are ended, the largest first.
TEST(net_channel, IncompleteResponsesShareTheMemoryOfTheProcess) {
  std::vector<std::string> Ended;
  std::vector<std::unique_ptr<net::response_memory::holding>> Flooding;
  net::response_memory::holding Innocent(Memory, {"10.0.0.1", 1},
                                         [&] { Ended.emplace_back("small"); });
  Innocent.resize(900000);
  for (int I = 0; I < 12; ++I) {
    Flooding.push_back(std::make_unique<net::response_memory::holding>(
        Memory, base::endpoint{"10.0.0.2", 1},
        [&, I] { Ended.push_back("flood" + std::to_string(I)); }));
    Flooding.back()->resize(I == 3 ? 400000 : 300000);
  }
  CHECK(!Ended.empty());
  STRCMP_EQUAL("flood3", Ended.front().c_str());
  CHECK(std::count(Ended.begin(), Ended.end(), "small") == 0);
}

// Guards against a call that ends twice: its memory is reclaimed after its end,
// while the read that was pending then is still being aborted.
TEST(net_channel, MemoryThatIsReclaimedAfterACallEndsNothing) {
  call(response("Content-Length: 900000\r\n", std::string(800000, 'x')),
       connection_end::Keep);
  checkFault(channel_fault::DeadlinePassed);
  Result.reset();
  std::vector<std::unique_ptr<net::response_memory::holding>> Others;
  for (std::uint16_t Port = 1; Port <= 8; ++Port) {
    Others.push_back(std::make_unique<net::response_memory::holding>(
        Memory, base::endpoint{"10.0.0.1", Port}, [] { FAIL("reclaimed"); }));
    Others.back()->resize(500000);
  }
  Loop.restart();
  Loop.poll();
  CHECK(!Result);
}

// Guards against a request that is sent to a target which has left while the
// connection to it was opened.
TEST(net_channel, AsksBeforeItSendsOnANewConnection) {
  MaySend = false;
  call("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", connection_end::Keep);
  CHECK(!Result->has_value());
  CHECK(Result->error().Fault == channel_fault::Withdrawn);
  CHECK(Result->error().NothingSent && !Channel->isOpen());
  Loop.restart();
  Loop.poll();
  LONGS_EQUAL(0, Received.size());
}

// Guards against a target that is told of more time than is left, because
// opening the connection to it took a while.
TEST(net_channel, ARequestIsBroughtUpToDateOnceItsConnectionIsOpen) {
  call("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", connection_end::Keep);
  CHECK(ReceivedHeader.find("X-Time: late\r\n") != std::string::npos);
  CHECK(ReceivedHeader.find("early") == std::string::npos);
}
