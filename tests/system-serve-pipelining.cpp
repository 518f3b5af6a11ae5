#include "support/platform_stand_in.hpp"
#include "support/raw_client.hpp"
#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"
#include "support/wait_until.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using test_support::scripted_request;
using test_support::scripted_target;
using test_support::waitUntil;

static std::string request(const std::string &Method, const std::string &Path) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
         "Skylarkdyke-Request-Id: " +
         Path + "\r\n\r\n";
}

static void answer(const scripted_request &Request) {
  const std::string Body = "<" + Request.path() + ">";
  Request.send("HTTP/1.1 200 OK\r\nSkylarkdyke-Response-Signature: signed\r\n"
               "Skylarkdyke-Request-Id: " +
               Request.requestId() + "\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

TEST_GROUP(system_serve_pipelining) {
  test_support::platform_stand_in Platform;
  test_support::served_entry Entry{Platform.storeAddress()};

  void start(const scripted_target &Target) {
    Platform.put("op/config", test_support::servedRoutes(2, 10s));
    Platform.put("servers/t1", test_support::servedTarget(Target.address()));
    CHECK_TRUE(Entry.start());
    CHECK_TRUE(waitUntil(
        [&] {
          return test_support::statusOf(test_support::askServed(
                     Entry.front(), "GET", "/safe/ready", "ready")) == "200";
        },
        5s));
  }
  /// Returns all bytes until a text has arrived or the connection is closed.
  static std::string receiveUntil(const test_support::raw_client &Client,
                                  const std::string &Text) {
    std::string Bytes;
    waitUntil(
        [&] {
          Bytes += Client.receive();
          return Bytes.find(Text) != std::string::npos || Client.isClosed();
        },
        8s);
    return Bytes;
  }
  /// The bodies of responses.
  static std::string bodies(const std::string &Bytes) {
    std::string All;
    for (std::size_t At = Bytes.find('<'); At != std::string::npos;
         At = Bytes.find('<', At + 1))
      All += Bytes.substr(At, Bytes.find('>', At) + 1 - At);
    return All;
  }
};

// Guards against requests that wait for each other, and against responses in
// another order: each request is answered only after all that follow it.
TEST(system_serve_pipelining, RequestsThatAreSentTogetherRunAtOnce) {
  std::atomic<int> Answered{0};
  const scripted_target Target([&Answered](const scripted_request &Request) {
    const std::string Path = Request.path();
    if (Path.find("/safe/p") == 0) {
      const int Later = '3' - Path.back();
      waitUntil([&] { return Answered == Later; }, 5s);
      ++Answered;
    }
    answer(Request);
  });
  start(Target);
  const test_support::raw_client Client(Entry.front());
  std::string All;
  for (const char *Number : {"0", "1", "2", "3"})
    All += request("GET", std::string("/safe/p") + Number);
  Client.send(All);
  STRCMP_EQUAL("</safe/p0></safe/p1></safe/p2></safe/p3>",
               bodies(receiveUntil(Client, "p3>")).c_str());
  LONGS_EQUAL(4, Answered);
}

// Guards against a request that is not idempotent beside others: if the
// connection broke, nobody would know whether it ran.
TEST(system_serve_pipelining, ARequestThatMayRunOnceRunsAlone) {
  std::atomic<int> Running{0};
  std::atomic<int> MostBesideOnce{0};
  const scripted_target Target([&](const scripted_request &Request) {
    const bool Once = Request.path().find("/once/") == 0;
    const int Beside = Running++;
    std::this_thread::sleep_for(50ms);
    if (Once && std::max(Beside, Running - 1) > MostBesideOnce)
      MostBesideOnce = std::max(Beside, Running - 1);
    --Running;
    answer(Request);
  });
  start(Target);
  const test_support::raw_client Client(Entry.front());
  Client.send(request("GET", "/safe/a") + request("POST", "/once/b") +
              request("GET", "/safe/c") + request("POST", "/once/d"));
  STRCMP_EQUAL("</safe/a></once/b></safe/c></once/d>",
               bodies(receiveUntil(Client, "d>")).c_str());
  LONGS_EQUAL(0, MostBesideOnce);
}

// Guards against a stop that closes a connection in front of requests that the
// target has executed, and against requests behind its last response that were
// passed on.
TEST(system_serve_pipelining, AStopAnswersAllThatWasPassedOn) {
  std::atomic<bool> Held{true};
  const scripted_target Target([&Held](const scripted_request &Request) {
    if (Request.path() == "/safe/p0")
      waitUntil([&] { return !Held; }, 3s);
    answer(Request);
  });
  start(Target);
  const test_support::raw_client Client(Entry.front());
  Client.send(request("GET", "/safe/p0") + request("GET", "/safe/p1"));
  CHECK_TRUE(waitUntil([&] { return Target.received("/safe/p1") == 1; }, 3s));
  Entry.program().signal(SIGTERM);
  std::this_thread::sleep_for(200ms);
  Client.send(request("POST", "/once/late"));
  std::this_thread::sleep_for(100ms);
  Held = false;
  const std::string Bytes = receiveUntil(Client, "late>");
  STRCMP_EQUAL("</safe/p0></safe/p1>", bodies(Bytes).c_str());
  CHECK(Bytes.find("Connection: close") > Bytes.find("p0>"));
  LONGS_EQUAL(0, Target.received("/once/late"));
  const auto Exit = Entry.program().waitFor(10s);
  CHECK_TRUE(Exit && *Exit == 0);
}
