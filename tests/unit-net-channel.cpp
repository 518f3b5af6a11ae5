#include "skylarkdyke/net/http_channel.hpp"
#include "support/free_port.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <optional>

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

  /// Makes a call; the peer sends Bytes when it has the request, and closes
  /// then or resets the connection.
  enum class ending { Keep, Close, Reset };
  void call(const std::string &Bytes, ending Ending,
            std::chrono::milliseconds Within = 200ms) {
    Result.reset();
    if (!Accepted.is_open())
      Acceptor.async_accept(Accepted, [this, Bytes, Ending](auto Failure) {
        if (!Failure)
          answer(Bytes, Ending);
      });
    else
      answer(Bytes, Ending);
    const auto Now = base::boot_clock::now();
    net::http_request Request(boost::beast::http::verb::get, "/", 11);
    Request.set("Host", "h");
    Channel->call(
        std::move(Request), {Now + Within, Now + Within},
        [](const net::http_response &Response) {
          return Response["X-Id"].empty() || Response["X-Id"] == "mine";
        },
        [this](net::call_result Given) { Result.emplace(std::move(Given)); });
    CHECK(!Result);
    Loop.restart();
    while (!Result && Loop.run_one_for(1s) != 0) {
    }
    CHECK(Result.has_value());
  }
  void answer(const std::string &Bytes, ending Ending) {
    boost::asio::async_read_until(
        Accepted, Received, "\r\n\r\n",
        [this, Bytes, Ending](auto, std::size_t Size) {
          Received.consume(Size);
          boost::asio::write(Accepted, boost::asio::buffer(Bytes));
          if (Ending == ending::Reset)
            Accepted.set_option(boost::asio::socket_base::linger(true, 0));
          if (Ending != ending::Keep)
            Accepted.close();
        });
  }
  void expectFault(channel_fault Fault) {
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

// Guards against connections that are used for one request only.
TEST(net_channel, AWholeResponseLeavesTheConnectionOpen) {
  call(response("Content-Length: 2\r\nKeep-Alive: timeout=10\r\n", "ok"),
       ending::Keep);
  STRCMP_EQUAL("ok", Result->value().body().c_str());
  CHECK(Channel->isReusable(base::boot_clock::now()));
  CHECK(!Channel->isReusable(base::boot_clock::now() + 9s));
  call(response("Content-Length: 2\r\n", "go"), ending::Keep);
  STRCMP_EQUAL("go", Result->value().body().c_str());
}

// Guards against an answer that reaches the caller of another request.
TEST(net_channel, SkipsTheAnswerOfAnotherRequest) {
  call(response("X-Id: other\r\nContent-Length: 2\r\n", "no") +
           response("X-Id: mine\r\nContent-Length: 3\r\n", "yes"),
       ending::Keep);
  STRCMP_EQUAL("yes", Result->value().body().c_str());
  CHECK(Channel->sawForeignBytes());
}

// Guards against bytes after an answer that are taken for the next one.
TEST(net_channel, ExtraBytesEndTheConnection) {
  call(response("Content-Length: 2\r\n", "ok") +
           response("Content-Length: 2\r\n", "no"),
       ending::Keep);
  STRCMP_EQUAL("ok", Result->value().body().c_str());
  CHECK(!Channel->isReusable(base::boot_clock::now()));
}

// Guards against cut answers that look complete.
TEST(net_channel, CutAnswersAreFailures) {
  call(response("Content-Length: 5\r\n", "ok"), ending::Close);
  expectFault(channel_fault::Truncated);
}

TEST(net_channel, AnAnswerWithoutLengthEndsWithAnOrderlyClose) {
  call(response("", "all"), ending::Close);
  STRCMP_EQUAL("all", Result->value().body().c_str());
}

TEST(net_channel, AnAnswerWithoutLengthThatIsResetIsAFailure) {
  call(response("", "part"), ending::Reset);
  CHECK(!*Result);
}

// Guards against a request that is repeated although it may have run.
TEST(net_channel, AClosedConnectionMayHaveRunTheRequest) {
  call("", ending::Close);
  expectFault(channel_fault::ClosedBeforeResponse);
}

TEST(net_channel, BytesThatAreNoResponseAreAFailure) {
  call("garbage\r\n\r\n", ending::Keep);
  expectFault(channel_fault::Malformed);
}

TEST(net_channel, TheDeadlineEndsTheCall) {
  call("", ending::Keep, 30ms);
  expectFault(channel_fault::DeadlinePassed);
}

// Guards against a refused connection that counts as a request that may have
// run.
TEST(net_channel, ARefusedConnectionHasSentNothing) {
  Acceptor.close();
  const auto Now = base::boot_clock::now();
  Channel->call(
      net::http_request(boost::beast::http::verb::get, "/", 11),
      {Now + 200ms, Now + 200ms},
      [](const net::http_response &) { return true; },
      [this](net::call_result Given) { Result.emplace(std::move(Given)); });
  Loop.restart();
  while (!Result && Loop.run_one_for(1s) != 0) {
  }
  CHECK(Result && !*Result);
  CHECK(Result->error().NothingSent);
  CHECK(Result->error().Fault == channel_fault::ConnectRefused);
}
