#include "skylarkdyke/net/http_channel.hpp"
#include "support/free_port.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using net::channel_fault;

TEST_GROUP(net_channel) {
  boost::asio::io_context Loop;
  base::endpoint Peer{"127.0.0.1", test_support::freePort()};
  tcp::acceptor Acceptor{
      Loop,
      tcp::endpoint(boost::asio::ip::make_address(Peer.Address), Peer.Port)};
  tcp::socket Accepted{Loop};
  boost::asio::streambuf Received;
  std::shared_ptr<net::http_channel> Channel =
      net::http_channel::create(Loop, Peer);
  std::optional<net::call_result> Result;

  void teardown() override {
    Channel->close();
    Loop.poll();
  }

  /// Makes a call. The peer sends Bytes once it has received the request, and
  /// then keeps, closes or resets the connection.
  enum class connection_end { Keep, Close, Reset };
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
    Channel->call(
        std::move(Request), {Now + Timeout, Now + Timeout},
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
        [this, Bytes, End](auto, std::size_t Size) {
          Received.consume(Size);
          boost::asio::write(Accepted, boost::asio::buffer(Bytes));
          if (End == connection_end::Reset)
            Accepted.set_option(boost::asio::socket_base::linger(true, 0));
          if (End != connection_end::Keep)
            Accepted.close();
        });
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
