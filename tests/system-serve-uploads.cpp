#include "support/lone_target_fixture.hpp"
#include "support/raw_client.hpp"
#include "support/signed_answer.hpp"

#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::joined;
using test_support::scripted_request;
using test_support::scripted_target;
using test_support::signedAnswer;
using test_support::signedLines;
using test_support::statusOf;
using test_support::StatusOk;
using test_support::waitUntil;

TEST_GROUP_BASE(system_serve_uploads, test_support::lone_target_fixture){};

/// Sends an upload that does not fit the buffers of a connection.
static std::string upload(const base::endpoint &Front, const std::string &Path,
                          const std::string &Version) {
  constexpr std::size_t Bytes = test_support::lone_target_fixture::MaxBodyBytes;
  const test_support::raw_client Client(Front);
  const std::string Fields = "\r\nHost: h.example\r\nConnection: close\r\n"
                             "Skylarkdyke-Request-Id: upload\r\n"
                             "Skylarkdyke-Request-Deadline: 2000\r\n"
                             "Content-Length: ";
  Client.send(joined({"POST ", Path, " ", Version, Fields,
                      std::to_string(Bytes), "\r\n\r\n"}));
  Client.send(std::string(Bytes, 'u'));
  std::string Response;
  waitUntil(
      [&] {
        Response += Client.receive();
        return Client.isClosed();
      },
      5s);
  return Response;
}

static const std::string HalfOfABody = "half of a body";

/// Whether a response to an upload could be taken for a whole one: a caller of
/// HTTP/1.1 sees the last chunk or all bytes of a stated length.
static bool looksWhole(const std::string &Response) {
  if (statusOf(Response) != "200")
    return false;
  const bool IsChunked =
      Response.find("Transfer-Encoding: chunked") != std::string::npos;
  const std::string LastChunk = "0\r\n\r\n";
  return !IsChunked || (Response.size() > LastChunk.size() &&
                        Response.compare(Response.size() - LastChunk.size(),
                                         LastChunk.size(), LastChunk) == 0);
}

// Guards against the end of a connection that was reset during an upload and is
// taken for the end of a body without a length: the write that fails takes the
// error, and the read sees a plain end. When that happens depends on the time.
TEST(system_serve_uploads, AnAnswerThatIsResetDuringAnUploadIsNoSuccess) {
  start();
  int Count = 0;
  for (const auto Pause : {0ms, 1ms, 3ms, 10ms, 30ms, 100ms, 300ms, 0ms, 1ms,
                           3ms, 10ms, 30ms, 100ms, 300ms})
    for (const std::string Route : {"/once/", "/safe/"})
      for (const std::string Version : {"HTTP/1.1", "HTTP/1.0"}) {
        const std::string Path = Route + "upload" + std::to_string(++Count);
        const scripted_target Target(
            [&](const scripted_request &Request) {
              if (Request.path() != Path)
                return Request.send(signedAnswer(Request));
              Request.send(joined(
                  {StatusOk, signedLines(Request), "\r\n", HalfOfABody}));
              std::this_thread::sleep_for(Pause);
              Request.reset();
            },
            test_support::answer_time::AfterHeader);
        useOnly(Target);
        const std::string Response = upload(Entry.front(), Path, Version);
        const std::string Name =
            joined({Path, " ", Version, " after ",
                    std::to_string(Pause.count()), " ms:\n", Response});
        CHECK_TEXT(Target.received(Path) > 0, Name.c_str());
        CHECK_TEXT(!looksWhole(Response), Name.c_str());
      }
}

// Guards against a check for resets that also breaks whole answers: the target
// ends its side in order while the upload is still being written.
TEST(system_serve_uploads, AnAnswerThatEndsInOrderDuringAnUploadIsWhole) {
  start();
  int Count = 0;
  for (const auto Pause : {0ms, 10ms, 100ms}) {
    const std::string Path = "/once/early" + std::to_string(++Count);
    const scripted_target Target(
        [&](const scripted_request &Request) {
          if (Request.path() != Path)
            return Request.send(signedAnswer(Request));
          Request.send(
              joined({StatusOk, signedLines(Request), "\r\n", HalfOfABody}));
          std::this_thread::sleep_for(Pause);
          Request.endSending();
          std::this_thread::sleep_for(200ms);
        },
        test_support::answer_time::AfterHeader);
    useOnly(Target);
    const std::string Response = upload(Entry.front(), Path, "HTTP/1.1");
    CHECK_TEXT(looksWhole(Response), Response.c_str());
    STRCMP_CONTAINS(HalfOfABody.c_str(), Response.c_str());
  }
}
