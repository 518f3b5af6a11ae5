#include "support/platform_stand_in.hpp"
#include "support/served_entry.hpp"
#include "support/steady_callers.hpp"
#include "support/wait_until.hpp"

#include <csignal>
#include <map>
#include <memory>
#include <thread>
#include <unistd.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using test_support::caller_result;
using test_support::request_end;
using test_support::served_entry;
using test_support::steady_callers;

using steady = std::chrono::steady_clock;

static constexpr std::chrono::milliseconds Grace{4000};

static std::string requestHead(const std::string &Id, std::size_t BodySize) {
  return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: " +
         std::to_string(BodySize) + "\r\nSkylarkdyke-Request-Id: " + Id +
         "\r\n\r\n";
}

static std::string onceRequest(const std::string &Id) {
  return requestHead(Id, 0);
}

namespace {

/// A connection that is open before the stop, and a request on it whose end
/// is sent later.
struct late_request {
  std::string Id;
  /// Sent before the stop.
  std::string Start;
  /// Sent during the stop.
  std::string Rest;
  int Socket = -1;
  caller_result Result{};
};

} // namespace

/// The forms in which a request can arrive late on an open connection.
static std::vector<late_request> lateRequests(const std::string &Suffix) {
  const std::string Head = requestHead("header" + Suffix, 0);
  std::vector<late_request> Requests;
  Requests.push_back({"kept" + Suffix, "", requestHead("kept" + Suffix, 0)});
  Requests.push_back({"header" + Suffix, Head.substr(0, 40), Head.substr(40)});
  Requests.push_back(
      {"body" + Suffix, requestHead("body" + Suffix, 10) + "01234", "56789"});
  return Requests;
}

TEST_GROUP(system_serve_stop) {
  test_support::platform_stand_in Platform;
  std::vector<std::unique_ptr<served_entry>> Entries;
  /// Runs by request id, once all requests have ended.
  std::map<std::string, int> Runs;

  void setup() override {
    Platform.put("op/config", test_support::servedRoutes(2, 20s));
    for (const char *Id : {"o1", "o2"})
      Platform.addTarget(Id, "orders", "z", 30ms);
  }

  /// Replaces the targets by ones whose work takes longer than the grace.
  void useSlowTargets() {
    for (const char *Id : {"o1", "o2"})
      Platform.remove(std::string("servers/") + Id);
    for (const char *Id : {"slow1", "slow2"})
      Platform.addTarget(Id, "orders", "z", 20s);
  }

  served_entry &startEntry() {
    Entries.push_back(std::make_unique<served_entry>(Platform.storeAddress()));
    CHECK_TRUE(Entries.back()->start());
    return *Entries.back();
  }

  /// A promise that no target has run a request must be true, and a request
  /// that has run must have a response.
  void judge(const std::string &Id, const caller_result &Result) {
    if (Runs.empty())
      Runs = Platform.runs();
    const auto Found = Runs.find(Id);
    const int RunCount = Found == Runs.end() ? 0 : Found->second;
    const std::string Text = Id + " status " + std::to_string(Result.Status);
    CHECK_TEXT(Result.End != request_end::Broken, Text.c_str());
    CHECK_TEXT(RunCount <= 1, Text.c_str());
    if (Result.End == request_end::Closed || Result.Status == 503)
      LONGS_EQUAL_TEXT(0, RunCount, Text.c_str());
    if (Result.Status == 200)
      LONGS_EQUAL_TEXT(1, RunCount, Text.c_str());
  }

  static void checkExit(served_entry & Entry) {
    const auto Exit = Entry.program().waitFor(10s);
    CHECK_TRUE(Exit && *Exit == 0);
  }

  /// Stops an entry while requests of all forms end in each tenth of the grace,
  /// beside other callers.
  void stopWithLateRequests() {
    served_entry &Entry = startEntry();
    static constexpr std::size_t Tenths = 9;
    std::vector<late_request> Requests;
    for (std::size_t Tenth = 0; Tenth < Tenths; ++Tenth)
      for (late_request &Request : lateRequests("-" + std::to_string(Tenth)))
        Requests.push_back(std::move(Request));
    const std::size_t Forms = Requests.size() / Tenths;
    sendStarts(Entry, Requests);
    // The entry has read these once it answers callers that came later.
    steady_callers Callers(Entry.front(), 2, "load", onceRequest);
    std::this_thread::sleep_for(100ms);
    const auto StopAt = steady::now();
    Entry.program().signal(SIGTERM);
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < Requests.size(); ++I)
      Threads.emplace_back([&Request = Requests[I], I, Forms, StopAt] {
        std::this_thread::sleep_until(StopAt + Grace * (I / Forms) / 10 + 50ms);
        std::string Buffer;
        test_support::sendBytes(Request.Socket, Request.Rest);
        Request.Result = test_support::readResponse(Request.Socket, Buffer);
        close(Request.Socket);
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    checkExit(Entry);
    CHECK_TRUE(steady::now() - StopAt < Grace + 1s);
    Callers.stop();
    for (const late_request &Request : Requests) {
      judge(Request.Id, Request.Result);
      // A part of the request was there: the connection was not idle.
      if (!Request.Start.empty())
        CHECK_TEXT(Request.Result.End == request_end::Answered,
                   Request.Id.c_str());
    }
    for (const auto &[Id, Result] : Callers.results())
      judge(Id, Result);
  }

  static void sendStarts(const served_entry &Entry,
                         std::vector<late_request> &Requests) {
    for (late_request &Request : Requests) {
      Request.Socket = test_support::connectTo(Entry.front());
      CHECK_TRUE(Request.Socket >= 0);
      if (!Request.Start.empty())
        CHECK_TRUE(test_support::sendBytes(Request.Socket, Request.Start));
    }
  }
};

// Guards against requests that come late in the grace, are read and end
// without a response: on idle connections, and with a header or a body of
// which a part was sent before the stop.
TEST(system_serve_stop, EachRequestThatEndsInTheGraceHasAResponse) {
  stopWithLateRequests();
}

// Guards against requests that are passed on late in the grace and are cut at
// its end, because their target needs longer.
TEST(system_serve_stop, EachRequestHasAResponseIfTargetsOutlastTheGrace) {
  useSlowTargets();
  stopWithLateRequests();
}

// Guards against requests that wait, while the process is paused, in the accept
// queue or on idle connections, and are reset by the stop.
TEST(system_serve_stop, APausedStopAnswersWhatArrivedMeanwhile) {
  served_entry &Entry = startEntry();
  std::vector<int> Sockets;
  static constexpr int Connections = 200;
  for (int I = 0; I < Connections; ++I) {
    Sockets.push_back(test_support::connectTo(Entry.front()));
    std::string Buffer;
    test_support::sendBytes(Sockets.back(), "GET /none HTTP/1.1\r\nHost: h\r\n"
                                            "\r\n");
    LONGS_EQUAL(404, test_support::readResponse(Sockets.back(), Buffer).Status);
  }
  Entry.program().signal(SIGTERM);
  std::this_thread::sleep_for(Grace / 4);
  Entry.program().signal(SIGSTOP);
  for (int I = 0; I < Connections / 4; ++I)
    Sockets.push_back(test_support::connectTo(Entry.front()));
  for (std::size_t I = 0; I < Sockets.size(); ++I)
    CHECK_TRUE(test_support::sendBytes(
        Sockets[I], requestHead("p" + std::to_string(I), 0)));
  std::this_thread::sleep_for(Grace * 3 / 8);
  Entry.program().signal(SIGTERM);
  Entry.program().signal(SIGCONT);
  int Answered = 0;
  for (const int Socket : Sockets) {
    std::string Buffer;
    const auto Result = test_support::readResponse(Socket, Buffer);
    Answered += Result.End == request_end::Answered ? 1 : 0;
    close(Socket);
  }
  checkExit(Entry);
  LONGS_EQUAL(Sockets.size(), Answered);
}

// Guards against an entry that is paused over the end of its stop and then
// exits before it has answered: requests at targets that outlast the grace, and
// requests whose header was completed meanwhile.
TEST(system_serve_stop, APauseOverTheEndOfTheGraceCutsNoRequest) {
  useSlowTargets();
  served_entry &Entry = startEntry();
  std::vector<late_request> Requests;
  for (int I = 0; I < 20; ++I) {
    const std::string Running = "running" + std::to_string(I);
    const std::string Late = "late" + std::to_string(I);
    Requests.push_back({Running, requestHead(Running, 0), ""});
    Requests.push_back({Late, requestHead(Late, 0).substr(0, 40),
                        requestHead(Late, 0).substr(40)});
  }
  sendStarts(Entry, Requests);
  CHECK_TRUE(
      test_support::waitUntil([this] { return !Platform.runs().empty(); }, 5s));
  Entry.program().signal(SIGTERM);
  std::this_thread::sleep_for(Grace * 7 / 10);
  Entry.program().signal(SIGSTOP);
  for (const late_request &Request : Requests)
    CHECK_TRUE(test_support::sendBytes(Request.Socket, Request.Rest));
  std::this_thread::sleep_for(Grace * 26 / 100);
  Entry.program().signal(SIGCONT);
  for (late_request &Request : Requests) {
    std::string Buffer;
    Request.Result = test_support::readResponse(Request.Socket, Buffer);
    close(Request.Socket);
  }
  checkExit(Entry);
  for (const late_request &Request : Requests) {
    judge(Request.Id, Request.Result);
    CHECK_TEXT(Request.Result.End == request_end::Answered, Request.Id.c_str());
  }
}

// Guards against a stop that, once in a while, cuts a request or denies one
// that has run: twenty stops under load, five at the same time.
TEST(system_serve_stop, TwentyStopsUnderLoadCutNoRequest) {
  for (int Round = 0; Round < 4; ++Round) {
    std::vector<std::unique_ptr<steady_callers>> Callers;
    Callers.reserve(5);
    for (int I = 0; I < 5; ++I)
      Callers.push_back(std::make_unique<steady_callers>(
          startEntry().front(), 4,
          std::to_string(Round) + "-" + std::to_string(I), onceRequest));
    std::this_thread::sleep_for(200ms);
    for (const auto &Entry : Entries)
      Entry->program().signal(SIGTERM);
    for (const auto &Entry : Entries)
      checkExit(*Entry);
    for (const auto &Group : Callers)
      Group->stop();
    Runs.clear();
    for (const auto &Group : Callers) {
      CHECK_TRUE(Group->results().size() > 20);
      for (const auto &[Id, Result] : Group->results())
        judge(Id, Result);
    }
    Entries.clear();
  }
}
