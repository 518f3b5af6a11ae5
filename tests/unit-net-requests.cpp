#include "net/detail/request_errors.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "skylarkdyke/routing/route_table.hpp"
#include "support/free_port.hpp"
#include "support/raw_client.hpp"

#include <boost/beast/http/error.hpp>
#include <map>
#include <optional>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using boost::beast::http::error;

TEST_GROUP(net_requests) {
  boost::asio::io_context Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::vector<std::shared_ptr<net::pending_request>> Received;
  std::optional<net::http_server> Server;

  void setup() override {
    Server.emplace(
        Loop, 100, [] { return base::message_limits(); },
        [this](const std::shared_ptr<net::pending_request> &Request) {
          Received.push_back(Request);
        });
    CHECK(Server->listen(Address));
  }
  void teardown() override {
    Server->stopAccepting();
    Received.clear();
    Loop.restart();
    Loop.poll();
  }

  /// Sends bytes and returns the response to them, without those with status
  /// 100.
  std::string exchange(const std::string &Bytes) {
    Received.clear();
    const test_support::raw_client Client(Address);
    Client.send(Bytes);
    Loop.restart();
    Loop.run_for(15ms);
    for (const auto &Request : Received)
      Request->answer(net::makeResponse(200, "done"));
    Loop.restart();
    Loop.run_for(15ms);
    const std::string Response = Client.receive();
    const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    return Response.compare(0, Continue.size(), Continue) == 0
               ? Response.substr(Continue.size())
               : Response;
  }
};

// Guards against a refusal, by an error of the parser that says nothing on the
// caller's request.
TEST(net_requests, EachErrorOfTheParserHasItsStatus) {
  std::map<error, std::optional<unsigned>> Expected;
  for (const error Failure :
       {error::bad_line_ending, error::bad_method, error::bad_target,
        error::bad_version, error::bad_field, error::bad_value,
        error::bad_content_length, error::bad_transfer_encoding,
        error::bad_chunk, error::bad_chunk_extension, error::bad_obs_fold})
    Expected[Failure] = 400;
  for (const error Failure :
       {error::need_more, error::unexpected_body, error::need_buffer,
        error::end_of_chunk, error::buffer_overflow, error::bad_alloc,
        error::bad_status, error::bad_reason, error::stale_parser,
        error::short_read})
    Expected[Failure] = 503;
  Expected[error::header_limit] = 431;
  Expected[error::body_limit] = 413;
  Expected[error::end_of_stream] = std::nullopt;
  Expected[error::partial_message] = std::nullopt;
  LONGS_EQUAL(static_cast<int>(error::short_read), Expected.size());
  for (const auto &[Failure, Status] : Expected)
    CHECK(net::detail::statusOf(make_error_code(Failure)) == Status);
  CHECK(!net::detail::statusOf(
      make_error_code(boost::system::errc::connection_reset)));
}

// Guards against the refusal of a request that is proper though unusual.
TEST(net_requests, ProperRequestsAreRead) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Request :
       {"POST /a HTTP/1.1\r\nHost: h\r\n" + Chunked +
            "4;a=b;c=\"d;\\\"e\"\r\nbody\r\n0;f\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\n" + Chunked +
            "4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\n" + Chunked +
            "00000004\r\nbody\r\n000\r\n\r\n",
        std::string("POST /a HTTP/1.1\r\nhost:h\r\ncontent-LENGTH:4\r\n\r\n"
                    "body"),
        std::string("POST /a HTTP/1.1\r\nHost: h\r\nTRANSFER-encoding: "
                    "Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                    "Content-Length: 4\r\n\r\nbody"),
        std::string("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\n"
                    "Content-Length: 4\r\n\r\nbody"),
        std::string("POST /a HTTP/1.1\r\nHost: H.Example:80\r\nX-Empty:\r\n"
                    "X-Name: J\xc3\xb6rg \xff\r\nContent-Length: 4\r\n\r\n"
                    "body"),
        "POST /" + std::string(8000, 'a') +
            " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
        std::string("POST http://h/a?b HTTP/1.1\r\nHost: h\r\n"
                    "Content-Length: 4\r\n\r\nbody")}) {
    const std::string Response = exchange(Request);
    CHECK_TEXT(Response.find("HTTP/1.1 200") == 0, Request.c_str());
    LONGS_EQUAL(1, Received.size());
    STRCMP_EQUAL("body", Received[0]->request().body().c_str());
    LONGS_EQUAL(1, Received[0]->request().count("Host"));
  }
}

// Guards against a request that is hidden in another one: an entry and a
// target would see different requests in the same bytes.
TEST(net_requests, AmbiguousRequestsAreRefused) {
  const std::string Hidden = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char *Header :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n", "Content-Length : 4\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: +4\r\n",
        "Content-Length: 4, 5\r\n", "Content-Length: -1\r\n",
        "Content-Length: 0x4\r\n", "Host: h\r\n", "Host: other\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
    const std::string Response =
        exchange("POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(Header) +
                 "\r\n" + Hidden);
    CHECK_TEXT(Response.find("HTTP/1.1 400") == 0, Header);
    LONGS_EQUAL_TEXT(0, Received.size(), Header);
  }
}

// Guards against trailers that replace or repeat a header of the request.
TEST(net_requests, TrailersDoNotBecomeHeaders) {
  exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "4\r\nbody\r\n0\r\nHost: other\r\nX-Id: 7\r\n\r\n");
  LONGS_EQUAL(1, Received.size());
  LONGS_EQUAL(1, Received[0]->request().count("Host"));
  LONGS_EQUAL(0, Received[0]->request().count("X-Id"));
}

// Guards against 404 for a target that is a complete URI, and against a host
// that is compared with its case or port.
TEST(net_requests, RoutesMatchCompleteUris) {
  routing::configuration Configuration;
  routing::route Route;
  Route.Host = "h.example";
  Route.PathPrefix = "/a/";
  Configuration.Routes.push_back(Route);
  const routing::route_table Table(Configuration);
  CHECK(Table.match("H.Example:8080", "/a/b?c=/d/") != nullptr);
  CHECK(Table.match("other", "http://H.Example:80/a/b?c=d") != nullptr);
  CHECK(Table.match("h.example", "http://other/a/b") == nullptr);
  CHECK(Table.match("h.example", "http://h.example") == nullptr);
  CHECK(Table.match("h.example", "/b?u=http://h.example/a/") == nullptr);
  CHECK(Table.match("h.example", "a/") == nullptr);
}
