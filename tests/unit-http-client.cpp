#include "emulators/detail/connection_server.hpp"
#include "skylarkdyke/emulators/target_emulator.hpp"
#include "skylarkdyke/http/client.hpp"
#include "support/free_port.hpp"
#include "support/wait_until.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using emulators::flood_form;
using http::exchange_fault;

/// Targets that flood, and one connection to them.
TEST_GROUP(http_client) {
  static constexpr std::size_t MaxAnswerBytes = 65536;
  emulators::target_behaviour Behaviour;
  std::unique_ptr<emulators::target_emulator> Target;

  void setup() override {
    Behaviour.WorkTime = 0us;
    Target = std::make_unique<emulators::target_emulator>(
        base::endpoint{"127.0.0.1", test_support::freePort()}, Behaviour);
    CHECK_TRUE(Target->start());
  }

  void flood(flood_form Form, std::chrono::microseconds Pause = 0us) {
    Behaviour.Flood = Form;
    Behaviour.FloodPause = Pause;
    Target->configure(Behaviour);
  }

  http::connection open() const {
    auto Opened =
        http::connection::open(Target->address(), base::boot_clock::now() + 1s);
    CHECK_TRUE(Opened.has_value());
    return std::move(Opened).value();
  }

  static base::result<http::response, http::exchange_error> ask(
      http::connection & Connection, std::chrono::milliseconds Timeout) {
    http::request Request;
    Request.Headers["Request-Id"] = "r";
    return Connection.exchange(
        Request, {base::boot_clock::now() + Timeout, MaxAnswerBytes, -1});
  }

  /// The flood ends with a fault before the deadline, on a closed connection.
  void expectFault(exchange_fault Expected, flood_form Form) {
    flood(Form);
    http::connection Connection = open();
    const auto Answer = ask(Connection, 5s);
    CHECK_FALSE_TEXT(Answer.has_value(), emulators::toString(Form));
    STRCMP_EQUAL_TEXT(http::toString(Expected),
                      http::toString(Answer.error().Fault),
                      emulators::toString(Form));
    CHECK_FALSE(Answer.error().NothingSent);
    CHECK_FALSE(Connection.isReusable());
  }
};

// Guards against a head, or interim answers, that are buffered without bound.
TEST(http_client, AnEndlessHeadIsEndedAtItsLimit) {
  expectFault(exchange_fault::Endless, flood_form::StatusLine);
  expectFault(exchange_fault::Endless, flood_form::HeaderFields);
}

// Guards against an interim answer that is taken for the final one.
TEST(http_client, EndlessInterimAnswersAreEndedAtTheLimitOfTheHead) {
  expectFault(exchange_fault::Endless, flood_form::InterimAnswers);
}

// Guards against a body without a known length that is read for ever.
TEST(http_client, AnEndlessBodyIsEndedAtItsLimit) {
  expectFault(exchange_fault::Endless, flood_form::Body);
  expectFault(exchange_fault::Endless, flood_form::ChunkedBody);
}

// Guards against a line of the chunked coding that is buffered without bound.
TEST(http_client, AnEndlessChunkSizeIsEnded) {
  expectFault(exchange_fault::Endless, flood_form::ChunkSize);
}

TEST(http_client, AnEndlessChunkExtensionIsEnded) {
  expectFault(exchange_fault::Endless, flood_form::ChunkExtension);
}

// Guards against trailers that are buffered without bound.
TEST(http_client, EndlessTrailersAreEnded) {
  expectFault(exchange_fault::Endless, flood_form::Trailers);
}

// Guards against reading a body that is known to be too large.
TEST(http_client, ABodyAnnouncedOverTheLimitIsTooLarge) {
  expectFault(exchange_fault::TooLarge, flood_form::AnnouncedBody);
}

// Guards against bytes behind an answer that are taken for the next one.
TEST(http_client, BytesAfterAnAnswerCloseItsConnection) {
  flood(flood_form::AfterAnswer);
  http::connection Connection = open();
  const auto Answer = ask(Connection, 5s);
  CHECK_TRUE(Answer.has_value());
  STRCMP_EQUAL("{}", Answer.value().Body.c_str());
  CHECK_TRUE(
      test_support::eventually([&] { return !Connection.isReusable(); }));
}

// Guards against slow bytes that keep an exchange beyond its deadline.
TEST(http_client, SlowBytesEndAtTheDeadline) {
  for (const flood_form Form : emulators::AllFloodForms) {
    if (Form == flood_form::None || Form == flood_form::AnnouncedBody ||
        Form == flood_form::AfterAnswer)
      continue;
    flood(Form, 5ms);
    http::connection Connection = open();
    const auto Start = base::boot_clock::now();
    const auto Answer = ask(Connection, 100ms);
    CHECK_FALSE_TEXT(Answer.has_value(), emulators::toString(Form));
    STRCMP_EQUAL_TEXT("deadline_passed", http::toString(Answer.error().Fault),
                      emulators::toString(Form));
    CHECK_TRUE(base::boot_clock::now() - Start < 1s);
    CHECK_FALSE(Connection.isReusable());
  }
}

/// A server that answers every request with the same bytes.
static emulators::detail::connection_server
makeServer(const base::endpoint &Address, const std::string &Bytes) {
  return {Address, [Bytes](const http::request &, int) {
            emulators::detail::reply Reply;
            Reply.Form = emulators::detail::reply::form::Flood;
            Reply.Flood.Prefix = Bytes;
            return Reply;
          }};
}

// Guards against an interim answer that hides the final one, which would then
// be read as the answer to the next request.
TEST(http_client, AnInterimAnswerIsFollowedByTheFinalOne) {
  const base::endpoint Address{"127.0.0.1", test_support::freePort()};
  auto Server =
      makeServer(Address, "HTTP/1.1 100 Continue\r\n\r\n"
                          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  CHECK_TRUE(Server.start());
  const auto Answer = http::fetch(
      Address, {}, {base::boot_clock::now() + 2s, MaxAnswerBytes, -1});
  CHECK_TRUE(Answer.has_value());
  CHECK_EQUAL(200, Answer.value().Status);
  STRCMP_EQUAL("{}", Answer.value().Body.c_str());
}

// Guards against a bound so low that it refuses the answers that the limits
// allow: a body and a head just below them, in one chunk and in many.
TEST(http_client, AnAnswerWithinTheLimitsIsRead) {
  const std::string Body(MaxAnswerBytes, 'a');
  const std::string Head =
      "HTTP/1.1 200 OK\r\nX-Field: " + std::string(7000, 'a') + "\r\n";
  std::string Chunks;
  for (std::size_t Count = 0; Count < MaxAnswerBytes / 4096; ++Count)
    Chunks += "1000\r\n" + Body.substr(0, 4096) + "\r\n";
  for (const std::string &Rest :
       {"Content-Length: 65536\r\n\r\n" + Body,
        "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + Body +
            "\r\n0\r\nX-Trailer: a\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n" + Chunks + "0\r\n\r\n"}) {
    const base::endpoint Address{"127.0.0.1", test_support::freePort()};
    auto Server = makeServer(Address, Head + Rest);
    CHECK_TRUE(Server.start());
    const auto Answer = http::fetch(
        Address, {}, {base::boot_clock::now() + 2s, MaxAnswerBytes, -1});
    CHECK_TRUE(Answer.has_value());
    CHECK_EQUAL(MaxAnswerBytes, Answer.value().Body.size());
    CHECK(Answer.value().Headers.count("X-Trailer") == 0);
  }
}
