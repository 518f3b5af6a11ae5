#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/net/http_channel.hpp"
#include "support/joined.hpp"
#include "support/scripted_target.hpp"

#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::joined;
using test_support::scripted_request;

namespace {

/// What a target sends before it ends the connection.
struct cut_script {
  std::string Bytes;
  bool Reset = false;
};

/// A complete response, and the size of the shortest prefix that is complete
/// if the connection is closed behind it.
struct whole_response {
  const char *Name;
  const char *Method;
  std::string Bytes;
  std::size_t CompleteSize;
};

} // namespace

static std::vector<whole_response> wholeResponses() {
  const std::string Status = "HTTP/1.1 200 OK\r\nX-Signature: signed\r\n";
  const std::string Length = Status + "Content-Length: 12\r\n\r\n";
  const std::string Body = "twelve bytes";
  const std::string Chunked = Status + "Transfer-Encoding: chunked\r\n\r\n" +
                              "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n";
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  std::vector<whole_response> Responses = {
      {"length", "GET", Length + Body, Length.size() + Body.size()},
      {"chunked", "GET", Chunked, Chunked.size()},
      {"interim", "GET", Interim + Length + Body,
       Interim.size() + Length.size() + Body.size()},
      {"head", "HEAD", Length, Length.size()},
      // The end of the connection is the end of the body.
      {"close", "GET", Status + "\r\n" + Body, Status.size() + 2},
  };
  return Responses;
}

TEST_GROUP(http_cut_responses) {
  std::mutex Mutex;
  cut_script Script;
  test_support::scripted_target Target{
      [this](const scripted_request &Request) { respond(Request); }};
  net::response_memory Memory{4U << 20U};
  boost::asio::io_context Loop;

  void respond(const scripted_request &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Request.send(Script.Bytes);
    if (Script.Reset)
      Request.reset();
    else
      Request.close();
  }

  /// Whether the client of the platform's engine takes the response for whole.
  bool isWholeToChannel(const std::string &Method) {
    net::http_request Request;
    Request.method_string(Method);
    return isWholeToChannel(Target.address(), std::move(Request));
  }

  bool isWholeToChannel(const base::endpoint &Peer, net::http_request Request) {
    const auto Channel = net::http_channel::create(Loop, Peer, Memory);
    std::optional<net::call_result> Result;
    Request.target("/");
    Request.prepare_payload();
    const auto Deadline = base::boot_clock::now() + 5s;
    Channel->call(
        std::move(Request), {Deadline, Deadline},
        [](const net::http_response &) { return true; },
        [&Result](net::call_result CallResult) {
          Result.emplace(std::move(CallResult));
        });
    Loop.restart();
    while (!Result && Loop.run_one_for(5s) != 0) {
    }
    Channel->close();
    Loop.restart();
    Loop.poll();
    CHECK_TRUE(Result.has_value());
    return Result->has_value();
  }

  /// The same for the client of the other engine.
  bool isWholeToClient(const std::string &Method) const {
    http::request Request;
    Request.Method = Method;
    return isWholeToClient(Target.address(), Request);
  }

  static bool isWholeToClient(const base::endpoint &Peer,
                              const http::request &Request) {
    return http::fetch(Peer, Request, {base::boot_clock::now() + 5s, 1U << 16U})
        .has_value();
  }

  void check(const whole_response &Response, std::size_t Size, bool Reset,
             bool IsWhole) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Script = {Response.Bytes.substr(0, Size), Reset};
    }
    const std::string Text = std::string(Response.Name) + " cut at " +
                             std::to_string(Size) + (Reset ? " reset" : "");
    CHECK_EQUAL_TEXT(IsWhole, isWholeToChannel(Response.Method), Text.c_str());
    CHECK_EQUAL_TEXT(IsWhole, isWholeToClient(Response.Method), Text.c_str());
  }
};

// Guards against a response that its sender did not finish and that is taken
// for a whole one, with an empty or short body: cut at each byte.
TEST(http_cut_responses, ACloseWithinAResponseIsAFault) {
  for (const whole_response &Response : wholeResponses())
    for (std::size_t Size = 0; Size <= Response.Bytes.size(); ++Size)
      check(Response, Size, false, Size >= Response.CompleteSize);
}

// Guards against a body that the end of its connection delimits and that is
// taken for whole after a reset.
TEST(http_cut_responses, AResetWithinAResponseIsAFault) {
  for (const whole_response &Response : wholeResponses())
    for (std::size_t Size = 0; Size < Response.Bytes.size(); ++Size)
      check(Response, Size, true, false);
}

// Guards against the same after a reset that a write of the request found: the
// read behind it sees a plain end.
TEST(http_cut_responses, AResetDuringAnUploadIsAFault) {
  constexpr std::size_t UploadBytes = 16U << 20U;
  for (const auto Pause : {0ms, 3ms, 30ms, 100ms}) {
    const test_support::scripted_target Early(
        [&](const scripted_request &Request) {
          Request.send("HTTP/1.1 200 OK\r\nX-Signature: signed\r\n\r\nhalf");
          std::this_thread::sleep_for(Pause);
          Request.reset();
        },
        test_support::answer_time::AfterHeader);
    net::http_request ChannelRequest;
    ChannelRequest.method(boost::beast::http::verb::post);
    ChannelRequest.body() = std::string(UploadBytes, 'u');
    http::request ClientRequest;
    ClientRequest.Method = "POST";
    ClientRequest.Body = ChannelRequest.body();
    const std::string Text = "reset after " + std::to_string(Pause.count());
    CHECK_FALSE_TEXT(
        isWholeToChannel(Early.address(), std::move(ChannelRequest)),
        Text.c_str());
    CHECK_FALSE_TEXT(isWholeToClient(Early.address(), ClientRequest),
                     Text.c_str());
  }
}

// Guards against bytes that are no response and are taken for one: a status
// that is no number of HTTP, and a line in the head that names no field.
TEST(http_cut_responses, AnOddHeadIsAFault) {
  const std::string Rest = "Content-Length: 2\r\n\r\nok";
  const std::string Ok = "HTTP/1.1 200 OK\r\nX-Server: a\r\n";
  const std::string Interim = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n";
  for (const std::string &Head :
       {std::string("HTTP/1.1 000 Odd\r\n"),
        std::string("HTTP/1.1 099 Odd\r\n"),
        std::string("HTTP/1.1 101 Odd\r\n"),
        std::string("HTTP/1.1 600 Odd\r\n"),
        std::string("HTTP/1.1 999 Odd\r\n"), Ok + " X-Odd: v\r\n",
        Ok + "\tX-Odd: v\r\n", Ok + "X Odd: v\r\n", Ok + "X-Odd : v\r\n",
        joined({Interim, Ok, " X-Odd: v\r\n"}),
        "HTTP/1.1 103 Hints\r\nLink: a\r\n b\r\n\r\n" + Ok}) {
    const std::string Bytes = Head + Rest;
    check({Head.c_str(), "GET", Bytes, Bytes.size()}, Bytes.size(), false,
          false);
  }
  // Blanks elsewhere are part of a proper response.
  for (const std::string &Head : {Ok + "X-Value: \t a b\t\r\n", Interim + Ok,
                                  std::string("HTTP/1.1 599 \r\n")}) {
    const std::string Bytes = Head + Rest;
    check({Head.c_str(), "GET", Bytes, Bytes.size()}, Bytes.size(), false,
          true);
  }
  const std::string BlankBody = Ok + "Content-Length: 4\r\n\r\n\r\n a";
  check({"blank body", "GET", BlankBody, BlankBody.size()}, BlankBody.size(),
        false, true);
}
