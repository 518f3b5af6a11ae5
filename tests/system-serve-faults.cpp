#include "support/lone_target_fixture.hpp"

#include <array>
#include <atomic>
#include <thread>
#include <utility>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using test_support::scripted_request;
using test_support::scripted_target;
using test_support::statusOf;
using test_support::waitUntil;

static std::string idLine(const std::string &Id) {
  return Id.empty() ? "" : "Skylarkdyke-Request-Id: " + Id + "\r\n";
}

/// A refusal of the request with this id.
static std::string refusal(const std::string &Status, const std::string &Id) {
  return "HTTP/1.1 " + Status +
         " Refused\r\nSkylarkdyke-Not-Executed: 1\r\nContent-Length: 0\r\n" +
         idLine(Id) + "\r\n";
}

static std::string success(const scripted_request &Request) {
  const std::string Body = "answer to " + Request.path();
  return "HTTP/1.1 200 OK\r\nSkylarkdyke-Response-Signature: signed\r\n" +
         idLine(Request.requestId()) +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

TEST_GROUP_BASE(system_serve_faults, test_support::lone_target_fixture){};

namespace {

/// When a target writes a refusal once more: before, together with or after
/// the bytes of the next request.
enum class copy_time { Before, Together, After };

struct refusal_copy {
  const char *Status;
  copy_time Time;
  bool HasId;
  bool CallerHasId;

  std::string name() const {
    static constexpr std::array Times = {"before", "together", "after"};
    return std::string(Status) + " " +
           Times.at(static_cast<std::size_t>(Time)) +
           (HasId ? " id" : " no-id") +
           (CallerHasId ? " caller-id" : " caller-no-id");
  }
};

/// Target that refuses each request to /once/first and writes the refusal once
/// more around the next request.
class copying_target {
public:
  explicit copying_target(const refusal_copy &Copy)
      : Copy(Copy),
        Target([this](const scripted_request &Request) { respond(Request); }) {}

  std::atomic<bool> CopySent{false};

private:
  void respond(const scripted_request &Request) {
    const std::string Refusal = refusal(Copy.Status, Copy.HasId ? "first" : "");
    if (Request.path() == "/once/first") {
      Request.send(refusal(Copy.Status, Request.requestId()));
      if (Copy.Time != copy_time::Before)
        return;
      std::this_thread::sleep_for(20ms);
      Request.send(Refusal);
      CopySent = true;
      return;
    }
    if (Request.path() != "/once/second")
      return Request.send(success(Request));
    // The copy comes only where a refusal was sent before.
    if (Request.earlierRequests() == 0)
      return Request.send(success(Request));
    if (Copy.Time == copy_time::Together)
      return Request.send(Refusal + success(Request));
    if (Copy.Time == copy_time::After)
      Request.send(Refusal);
    std::this_thread::sleep_for(30ms);
    Request.send(success(Request));
  }

  refusal_copy Copy;

public:
  scripted_target Target;
};

} // namespace

static std::vector<refusal_copy> allCopies() {
  std::vector<refusal_copy> Copies;
  for (const char *Status : {"503", "429", "421", "400"})
    for (const copy_time Time :
         {copy_time::Before, copy_time::Together, copy_time::After})
      for (const bool HasId : {true, false})
        Copies.push_back({Status, Time, HasId, true});
  for (const copy_time Time :
       {copy_time::Before, copy_time::Together, copy_time::After})
    Copies.push_back({"503", Time, false, false});
  return Copies;
}

// Guards against an earlier refusal that is taken for the response to the next
// request: its caller would be told that the request has not run.
TEST(system_serve_faults, ACopyOfARefusalRefusesNoOtherRequest) {
  start();
  for (const refusal_copy &Copy : allCopies()) {
    copying_target Target(Copy);
    useOnly(Target.Target);
    ask("POST", "/once/first", Copy.CallerHasId ? "first" : "");
    // A retry at the same target could take the copy for its response.
    LONGS_EQUAL_TEXT(1, Target.Target.received("/once/first"),
                     Copy.name().c_str());
    if (Copy.Time == copy_time::Before)
      CHECK_TRUE(waitUntil([&] { return Target.CopySent.load(); }, 5s));
    // A target that answered 421 is not used until its record changes.
    if (std::string(Copy.Status) == "421")
      useOnly(Target.Target);
    const std::string Response =
        ask("POST", "/once/second", Copy.CallerHasId ? "second" : "", 500);
    STRCMP_EQUAL_TEXT("200", statusOf(Response).c_str(), Copy.name().c_str());
    LONGS_EQUAL_TEXT(1, Target.Target.received("/once/second"),
                     Copy.name().c_str());
  }
}

namespace {

/// A response of a target that ends within Start, with a close or a reset.
struct cut_response {
  const char *Name;
  const char *Start;
  bool Reset;
};

} // namespace

static constexpr const char *SignedStart =
    "HTTP/1.1 200 OK\r\nSkylarkdyke-Response-Signature: signed\r\n";

static std::vector<cut_response> cutResponses() {
  std::vector<cut_response> Responses;
  for (const bool Reset : {false, true})
    for (const auto &[Name, Start] :
         std::vector<std::pair<const char *, const char *>>{
             {"status line", ""},
             {"header name", "Content-Le"},
             {"length value", "Content-Length: 1"},
             {"before the blank line", "Content-Length: 12\r\n"},
             {"within the blank line", "Content-Length: 12\r\n\r"},
             {"no body", "Content-Length: 12\r\n\r\n"},
             {"half a body", "Content-Length: 12\r\n\r\nhalf"},
             {"no chunk", "Transfer-Encoding: chunked\r\n\r\n"},
             {"no last chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf"
                               "\r\n"}})
      Responses.push_back({Name, Start, Reset});
  Responses.push_back({"no length, reset", "\r\nhalf", true});
  return Responses;
}

// Guards against a response that its target has not finished and that reaches
// the caller as a success, or as a promise that nothing has run.
TEST(system_serve_faults, AResponseThatBreaksOffIsNoSuccess) {
  start();
  int Count = 0;
  for (const cut_response &Cut : cutResponses()) {
    // The target of each case ends after it: the same request would be blocked.
    const std::string Path = "/once/cut" + std::to_string(++Count);
    const scripted_target Target([&](const scripted_request &Request) {
      if (Request.path() != Path)
        return Request.send(success(Request));
      Request.send(std::string("HTTP/1.1 100 Continue\r\n\r\n") + SignedStart +
                   idLine(Request.requestId()) + Cut.Start);
      if (Cut.Reset)
        Request.reset();
      else
        Request.close();
    });
    useOnly(Target);
    const std::string Name = std::string(Cut.Name) + (Cut.Reset ? " r" : " c");
    const std::string Response = ask("POST", Path, "cut");
    LONGS_EQUAL_TEXT(1, Target.received(Path), Name.c_str());
    // A body without a stated length may have been started; then it must not
    // look complete.
    const bool MayBeStarted = Name.find("chunk") != std::string::npos ||
                              Name.find("no length") != std::string::npos;
    if (MayBeStarted && statusOf(Response) == "200") {
      CHECK_TEXT(Response.find("Transfer-Encoding: chunked") !=
                     std::string::npos,
                 Name.c_str());
      CHECK_TEXT(Response.find("\r\n0\r\n") == std::string::npos, Name.c_str());
      continue;
    }
    STRCMP_EQUAL_TEXT("502", statusOf(Response).c_str(), Name.c_str());
    CHECK_TEXT(Response.find("signed") == std::string::npos, Name.c_str());
  }
}
