#include "skylarkdyke/base/clock.hpp"
#include "support/free_port.hpp"
#include "support/platform_stand_in.hpp"
#include "support/process.hpp"
#include "support/raw_client.hpp"
#include "support/streaming_target.hpp"
#include "support/wait_until.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::raw_client;
using test_support::response_end;
using test_support::response_step;

static const std::string Head =
    "HTTP/1.1 200 OK\r\nSkylarkdyke-Request-Id: {id}\r\n"
    "Skylarkdyke-Response-Signature: signed\r\n";
static const std::string ChunkedHead =
    Head + "Transfer-Encoding: chunked\r\n\r\n";

static std::string lengthHead(std::size_t Size) {
  return Head + "Content-Length: " + std::to_string(Size) + "\r\n\r\n";
}

/// Time after its start until an entry may use its part of the retry slack.
static constexpr std::chrono::seconds UntilRetries{8};

/// Bytes without a short period, so that lost or repeated pieces show.
static std::string makeBody(std::size_t Size) {
  std::string Body(Size, '\0');
  std::uint32_t State = 1;
  for (char &Byte : Body) {
    State = State * 1664525U + 1013904223U;
    Byte = static_cast<char>('a' + (State >> 24U) % 26U);
  }
  return Body;
}

/// Divides a body into chunks of 1 to 7,000 bytes, the first with an extension.
static std::string toChunks(const std::string &Body) {
  std::ostringstream Chunks;
  std::size_t Size = 1;
  for (std::size_t From = 0; From < Body.size(); From += Size) {
    Size = std::min<std::size_t>(Body.size() - From, 1 + From * 31 % 7000);
    Chunks << std::hex << Size << (From == 0 ? ";a=b" : "") << "\r\n"
           << Body.substr(From, Size) << "\r\n";
  }
  return Chunks.str();
}

static std::string fromChunks(const std::string &Chunks) {
  std::string Body;
  std::size_t From = 0;
  while (From < Chunks.size()) {
    const std::size_t Size = std::stoul(Chunks.substr(From, 16), nullptr, 16);
    From = Chunks.find("\r\n", From) + 2;
    Body += Chunks.substr(From, Size);
    From += Size + 2;
  }
  return Body;
}

TEST_GROUP(system_serve_streaming) {
  test_support::platform_stand_in Platform;
  test_support::streaming_target Target;
  base::endpoint Front{"127.0.0.1", test_support::freePort()};
  std::filesystem::path Folder;
  std::optional<test_support::process> Entry;
  int NextId = 0;

  void setup() override {
    Folder = std::filesystem::temp_directory_path() /
             ("skylarkdyke-streaming-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder);
    Platform.put("op/config", R"({"version":"r2","routes":{"columns":["name",
"host","path_prefix","kind","timeout_s","target_latency_s","priority",
"service","max_attempts","sticky"],"rows":[
["safe","h.example","/safe/","safe",20,1,1,"orders",3,true],
["once","h.example","/once/","unsafe",20,1,1,"orders",1,true]]},
"services":{"columns":["name","health_path","max_connections","cold_start_s",
"cold_per_s"],"rows":[["orders","/healthz",300,1,10]]}})");
    publishTarget("t1");
    startEntry();
  }
  void teardown() override {
    Entry.reset();
    std::filesystem::remove_all(Folder);
  }

  /// Registers the scripted target, also under several ids.
  void publishTarget(const std::string &Id) {
    Platform.put("servers/" + Id, R"({"address":")" +
                                      base::toString(Target.address()) +
                                      R"(","born":1,"info":{"service":"orders",
"version":"v1","zone":"z","capacity":300},"status":{"state":"ready",
"sequence":1,"cold_remaining_s":0}})");
  }

  void startEntry() {
    const base::endpoint Mesh{"127.0.0.1", test_support::freePort()};
    const base::endpoint Readiness{"127.0.0.1", test_support::freePort()};
    const std::string Settings = (Folder / "entry.toml").string();
    std::ofstream(Settings)
        << "[self]\nnode_name = \"e\"\nzone = \"z\"\nregion = \"r\"\n"
        << "[self.limits]\ncpu_share = 1\nmax_fds = 1000\nmemory_mb = 160\n"
        << "[network]\nseeds = [\"" << base::toString(Mesh)
        << "\"]\n[network.bind]\nfront = \"" << base::toString(Front)
        << "\"\nreadiness = \"" << base::toString(Readiness)
        << "\"\ncontrol = \"" << base::toString(Mesh)
        << "\"\n[network.zones]\nz = \"r\"\n[provider.provider]\naddress = \""
        << base::toString(Platform.storeAddress())
        << "\"\n[terms.bounds]\ngrace_s = 4\nretry_budget_ratio = 0.2\n"
        << "retry_slack = 60\n";
    Entry.emplace(std::vector<std::string>{"serve", Settings},
                  (Folder / "entry.log").string());
    CHECK_TRUE(test_support::waitUntil(
        [&] {
          const raw_client Client(Readiness);
          Client.send("GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
          std::string Answer;
          return test_support::waitUntil(
                     [&] {
                       Answer += Client.receive();
                       return !Answer.empty() || Client.isClosed();
                     },
                     1s) &&
                 Answer.find("200 OK") != std::string::npos;
        },
        5s));
  }

  void ask(const raw_client &Client, const std::string &Path,
           const char *Version = "1.1", int DeadlineMs = 20000) {
    Client.send("GET " + Path + " HTTP/" + Version +
                "\r\nHost: h.example\r\nSkylarkdyke-Request-Id: q" +
                std::to_string(++NextId) +
                "\r\nSkylarkdyke-Request-Deadline: " +
                std::to_string(DeadlineMs) + "\r\n\r\n");
  }
  std::string logText() {
    std::ifstream File(Folder / "entry.log");
    return {std::istreambuf_iterator<char>(File), {}};
  }
};

/// Reads until the bytes end with Suffix, or until the peer has closed the
/// connection.
static std::string readUntil(const raw_client &Client,
                             const std::string &Suffix,
                             std::chrono::milliseconds Timeout = 10s) {
  std::string Bytes;
  test_support::waitUntil(
      [&] {
        Bytes += Client.receive();
        const bool Found = !Suffix.empty() && Bytes.size() >= Suffix.size() &&
                           Bytes.compare(Bytes.size() - Suffix.size(),
                                         Suffix.size(), Suffix) == 0;
        return Found || Client.isClosed();
      },
      Timeout);
  return Bytes;
}

static std::string bodyOf(const std::string &Response) {
  const std::size_t From = Response.find("\r\n\r\n");
  return From == std::string::npos ? "" : Response.substr(From + 4);
}

// Guards against callers that wait for the last byte of a download before they
// get the first one.
TEST(system_serve_streaming, TheFirstBytesArriveEarly) {
  const std::string Body = makeBody(90000);
  Target.setScript({{lengthHead(Body.size()) + Body.substr(0, 10000)},
                    {Body.substr(10000), 1s}},
                   response_end::Keep);
  const raw_client Client(Front);
  ask(Client, "/safe/warm");
  readUntil(Client, Body.substr(Body.size() - 20));
  const auto Sent = base::boot_clock::now();
  ask(Client, "/safe/x");
  std::string Bytes;
  test_support::waitUntil(
      [&] {
        Bytes += Client.receive();
        return !Bytes.empty();
      },
      5s);
  const auto Waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      base::boot_clock::now() - Sent);
  CHECK_TEXT(
      Waited < 100ms,
      ("first byte after ms: " + std::to_string(Waited.count())).c_str());
  Bytes += readUntil(Client, Body.substr(Body.size() - 20));
  CHECK_TRUE(bodyOf(Bytes) == Body);
}

// Guards against bodies that change on the way, in each framing and on a kept
// connection.
TEST(system_serve_streaming, BodiesArriveWholeInEachFraming) {
  const std::string Body = makeBody(300001);
  const std::string End = Body.substr(Body.size() - 20);
  const raw_client Client(Front);
  Target.setScript(
      {{lengthHead(Body.size()) + Body.substr(0, 99)}, {Body.substr(99), 50ms}},
      response_end::Keep);
  for (int Round = 0; Round < 2; ++Round) {
    ask(Client, "/safe/x");
    CHECK_TRUE(bodyOf(readUntil(Client, End)) == Body);
  }
  const std::string Chunks = toChunks(Body) + "0\r\nX-Trailer: 1\r\n\r\n";
  Target.setScript(
      {{ChunkedHead + Chunks.substr(0, 99)}, {Chunks.substr(99), 50ms}},
      response_end::Keep);
  for (int Round = 0; Round < 2; ++Round) {
    ask(Client, "/once/x");
    const std::string Answer = readUntil(Client, "\r\n0\r\n\r\n");
    CHECK_TRUE(Answer.find("Transfer-Encoding: chunked") != std::string::npos);
    CHECK_TRUE(fromChunks(bodyOf(Answer)) == Body);
  }
  Target.setScript(
      {{Head + "\r\n" + Body.substr(0, 99)}, {Body.substr(99), 50ms}},
      response_end::Close);
  ask(Client, "/safe/x");
  CHECK_TRUE(fromChunks(bodyOf(readUntil(Client, "\r\n0\r\n\r\n"))) == Body);
  const raw_client OldClient(Front);
  ask(OldClient, "/safe/x", "1.0");
  const std::string Answer = readUntil(OldClient, "");
  CHECK_TRUE(bodyOf(Answer) == Body);
  CHECK_TRUE(Answer.find("Content-Length: 300001") != std::string::npos);
}

// Guards against a response that its target broke off and that looks complete,
// or is repeated after its first byte.
TEST(system_serve_streaming, BrokenResponsesNeverLookComplete) {
  const std::string Body = makeBody(60000);
  const std::string Chunks = "ea60\r\n" + Body.substr(0, 30000);
  const std::vector<std::pair<std::vector<response_step>, response_end>> Cases{
      {{{lengthHead(60000)}, {Body.substr(0, 30000), 50ms}},
       response_end::Close},
      {{{ChunkedHead}, {Chunks, 50ms}}, response_end::Close},
      {{{ChunkedHead}, {"3\r\nabc\r\nno size\r\n\r\n", 50ms}},
       response_end::Keep},
      {{{Head + "\r\n"}, {Body, 50ms}, {"x", 100ms}}, response_end::Reset}};
  for (const auto &[Steps, End] : Cases)
    for (const char *Path : {"/safe/x", "/once/x"}) {
      Target.setScript(Steps, End);
      const unsigned Before = Target.runs();
      const raw_client Client(Front);
      ask(Client, Path);
      const std::string Answer = readUntil(Client, "");
      STRCMP_EQUAL("HTTP/1.1 200", Answer.substr(0, 12).c_str());
      CHECK_TRUE(Client.isClosed());
      CHECK_TRUE(bodyOf(Answer).find("0\r\n\r\n") == std::string::npos);
      CHECK_TRUE(bodyOf(Answer).size() < 60100);
      LONGS_EQUAL(Before + 1, Target.runs());
    }
  CHECK_TRUE(test_support::waitUntil(
      [&] { return logText().find("ResponseBroken") != std::string::npos; },
      2s));
}

// Guards against responses that are sent on although another target can give a
// better one: cut short ones, refusals and errors.
TEST(system_serve_streaming, ResponsesThatMayBeReplacedAreNotStarted) {
  publishTarget("t2");
  std::this_thread::sleep_for(UntilRetries);
  const std::string Error =
      "HTTP/1.1 503 No\r\nSkylarkdyke-Request-Id: {id}\r\n"
      "Transfer-Encoding: chunked\r\n";
  const std::vector<std::pair<std::vector<response_step>, response_end>> Cases{
      {{{lengthHead(600)}, {"part", 300ms}}, response_end::Close},
      {{{Error + "\r\n"}, {"2\r\nno\r\n0\r\n\r\n", 300ms}}, response_end::Keep},
      {{{Error + "Skylarkdyke-Not-Executed: 1\r\n\r\n"},
        {"2\r\nno\r\n0\r\n\r\n", 300ms}},
       response_end::Keep}};
  for (const auto &[Steps, End] : Cases) {
    const unsigned Before = Target.runs();
    Target.setScript(Steps, End);
    const raw_client Client(Front);
    ask(Client, "/safe/x");
    CHECK_TRUE(
        test_support::waitUntil([&] { return Target.runs() > Before; }, 2s));
    Target.setScript({{lengthHead(4) + "good"}}, response_end::Keep);
    STRCMP_EQUAL("good", bodyOf(readUntil(Client, "good", 3s)).c_str());
  }
}

// Guards against a second attempt that goes on after the other one has started
// its response.
TEST(system_serve_streaming, AStartedResponseEndsTheOtherAttempt) {
  publishTarget("t2");
  std::this_thread::sleep_for(UntilRetries);
  Target.setScript({{"HTTP/1.1 ", 10s}}, response_end::Keep);
  const raw_client Client(Front);
  ask(Client, "/safe/x");
  CHECK_TRUE(test_support::waitUntil([&] { return Target.runs() == 1; }, 2s));
  Target.setScript({{ChunkedHead + "3\r\nabc\r\n"}, {"0\r\n\r\n", 2s}},
                   response_end::Keep);
  CHECK_TRUE(!readUntil(Client, "3\r\nabc\r\n", 5s).empty());
  CHECK_TRUE(
      test_support::waitUntil([&] { return Target.cutByPeer() == 1; }, 500ms));
  STRCMP_EQUAL("0\r\n\r\n", readUntil(Client, "0\r\n\r\n", 5s).c_str());
  LONGS_EQUAL(2, Target.runs());
}

// Guards against an entry that reads on for a caller that does not, and against
// a limit on the size of a download.
TEST(system_serve_streaming, ASlowCallerStopsItsTarget) {
  constexpr std::size_t Size = 60U << 20U;
  const std::string Body = makeBody(Size);
  Target.setScript({{lengthHead(Size)}, {Body, 10ms}}, response_end::Keep);
  const raw_client Client(Front);
  ask(Client, "/safe/x");
  std::this_thread::sleep_for(1s);
  const std::size_t Sent = Target.sentBytes();
  CHECK_TEXT(Sent > 0 && Sent < Size / 2, std::to_string(Sent).c_str());
  std::this_thread::sleep_for(300ms);
  CHECK_TRUE(Target.sentBytes() - Sent < Size / 10);
  CHECK_TRUE(bodyOf(readUntil(Client, Body.substr(Size - 20))) == Body);
}

// Guards against targets that work on for a caller that left midway.
TEST(system_serve_streaming, ALeavingCallerFreesItsTarget) {
  unsigned Cut = 0;
  for (const char *Path : {"/safe/x", "/once/x"}) {
    Target.setScript({{ChunkedHead + "3\r\nabc\r\n"}, {"0\r\n\r\n", 5s}},
                     response_end::Keep);
    raw_client Client(Front);
    ask(Client, Path);
    const std::string Start = readUntil(Client, "3\r\nabc\r\n", 2s);
    CHECK_TRUE(!Start.empty());
    Client.close();
    ++Cut;
    CHECK_TRUE(test_support::waitUntil(
        [&] { return Target.cutByPeer() == Cut; }, 500ms));
  }
}

// Guards against a deadline that a response keeps its caller beyond.
TEST(system_serve_streaming, TheDeadlineEndsAStream) {
  Target.setScript({{ChunkedHead + "3\r\nabc\r\n"}, {"0\r\n\r\n", 5s}},
                   response_end::Keep);
  const raw_client Client(Front);
  const auto Sent = base::boot_clock::now();
  ask(Client, "/once/x", "1.1", 700);
  const std::string Answer = readUntil(Client, "", 3s);
  CHECK_TRUE(base::boot_clock::now() - Sent < 1100ms);
  STRCMP_EQUAL("3\r\nabc\r\n", bodyOf(Answer).c_str());
  CHECK_TRUE(Client.isClosed());
  LONGS_EQUAL(1, Target.runs());
}

// Guards against a stop that cuts responses early, lets them look complete or
// waits for them too long.
TEST(system_serve_streaming, AStopLetsStreamsEndOrCutsThem) {
  Target.setScript({{ChunkedHead + "3\r\nabc\r\n"}, {"0\r\n\r\n", 2s}},
                   response_end::Keep);
  const raw_client Short(Front);
  ask(Short, "/once/x");
  CHECK_TRUE(test_support::waitUntil([&] { return Target.runs() == 1; }, 2s));
  Target.setScript({{ChunkedHead + "3\r\nabc\r\n"}, {"0\r\n\r\n", 9s}},
                   response_end::Keep);
  const raw_client Long(Front);
  ask(Long, "/safe/x");
  CHECK_TRUE(test_support::waitUntil([&] { return Target.runs() == 2; }, 2s));
  Entry->signal(SIGTERM);
  STRCMP_EQUAL("3\r\nabc\r\n0\r\n\r\n",
               bodyOf(readUntil(Short, "0\r\n\r\n", 5s)).c_str());
  STRCMP_EQUAL("3\r\nabc\r\n", bodyOf(readUntil(Long, "", 6s)).c_str());
  const auto Exit = Entry->waitFor(2s);
  CHECK_TRUE(Exit && *Exit == 0);
}

// Guards against memory that grows with the size of the responses under way:
// 200 callers get 540 kB each and start to read late.
TEST(system_serve_streaming, LargeResponsesNeedLittleMemory) {
  const std::string Body = makeBody(540000);
  Target.setScript({{lengthHead(Body.size()) + Body.substr(0, 400000)},
                    {Body.substr(400000), 2s}},
                   response_end::Close);
  std::vector<std::unique_ptr<raw_client>> Clients;
  for (int I = 0; I < 200; ++I) {
    Clients.push_back(std::make_unique<raw_client>(Front));
    ask(*Clients.back(), "/safe/x");
  }
  unsigned Whole = 0;
  for (const auto &Client : Clients)
    Whole +=
        bodyOf(readUntil(*Client, Body.substr(540000 - 20))) == Body ? 1 : 0;
  std::ifstream Status("/proc/" + std::to_string(Entry->id()) + "/status");
  std::string Line;
  while (std::getline(Status, Line) && Line.compare(0, 6, "VmHWM:") != 0) {
  }
  const std::string Found =
      Line + ", whole responses: " + std::to_string(Whole);
  CHECK_TEXT(std::stoul(Line.substr(6)) < 40000 && Whole == 200, Found.c_str());
  UT_PRINT(Found.c_str());
}
