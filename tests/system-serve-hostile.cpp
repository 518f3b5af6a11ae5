#include "support/client_crowd.hpp"
#include "support/platform_stand_in.hpp"
#include "support/raw_client.hpp"
#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"
#include "support/wait_until.hpp"

#include <filesystem>
#include <optional>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::client_crowd;
using test_support::client_script;

/// Limits of the process in its settings.
static constexpr unsigned MemoryMb = 64;
static constexpr unsigned MaxDescriptors = 300;
/// Limits of the configuration for callers.
static constexpr std::size_t MaxBodyBytes = 8000000;
static constexpr std::size_t MaxHeaderBytes = 65536;
/// Bytes that a client sends before it is the turn of the next one.
static constexpr std::size_t PieceBytes = 65536;
/// Time that the target works on a request with a body.
static constexpr std::chrono::milliseconds WorkTime{300};
/// Size of a response to /safe/large.
static constexpr std::size_t LargeResponseBytes = 3000000;
static constexpr int SmallReceiveBuffer = 4096;

static std::string post(const std::string &Fields) {
  return "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
         "Skylarkdyke-Request-Id: crowd\r\n"
         "Skylarkdyke-Request-Deadline: 8000\r\n" +
         Fields + "\r\n\r\n";
}

static const std::string ChunkedPost = post("Transfer-Encoding: chunked");

static std::string lengthPost(std::size_t Length) {
  return post("Content-Length: " + std::to_string(Length));
}

static std::string replaced(std::string Text, const std::string &Old,
                            const std::string &New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

static void answerRequest(const test_support::scripted_request &Request) {
  if (!Request.field("Content-Length").empty())
    std::this_thread::sleep_for(WorkTime);
  const bool Large = Request.path() == "/safe/large";
  const std::size_t Size = Large ? LargeResponseBytes : 2;
  // Responses with an error status are collected before they are passed on.
  Request.send((Large ? "HTTP/1.1 500 Failed\r\n" : "HTTP/1.1 200 OK\r\n") +
               ("Skylarkdyke-Request-Id: " + Request.requestId()) +
               "\r\nSkylarkdyke-Response-Signature: signed\r\n"
               "Content-Length: " +
               std::to_string(Size) + "\r\n\r\n" + std::string(Size, 'r'));
}

/// Crowds of clients that send what no friendly client sends. Crowd and bounds
/// are fixed: each crowd asks for more than the process may use.
TEST_GROUP(system_serve_hostile) {
  test_support::platform_stand_in Platform;
  test_support::scripted_target Target{answerRequest};
  std::optional<test_support::served_entry> Entry;

  void start(const test_support::served_limits &Limits, std::size_t MaxBody) {
    const std::string Routes =
        replaced(replaced(test_support::servedRoutes(1, 8s), "1048576",
                          std::to_string(MaxBody)),
                 "16384", std::to_string(MaxHeaderBytes));
    Platform.put("op/config", Routes);
    // The target counts as idle whatever runs on it.
    Platform.put("servers/t1",
                 replaced(test_support::servedTarget(Target.address()),
                          R"("capacity":4)", R"("capacity":300)"));
    Entry.emplace(Platform.storeAddress(), 4s, std::nullopt, Limits);
    CHECK_TRUE(Entry->start());
  }

  void setup() override { start({MemoryMb, MaxDescriptors}, MaxBodyBytes); }

  std::size_t openDescriptors() {
    const std::filesystem::directory_iterator Files(
        "/proc/" + std::to_string(Entry->program().id()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
  }

  /// Whether a request without a body is served, if need be after refusals.
  bool servesOrdinaryRequests() {
    return test_support::waitUntil(
        [this] {
          return test_support::statusOf(test_support::askServed(
                     Entry->front(), "GET", "/safe/a", "ordinary")) == "200";
        },
        20s);
  }

  /// Checks the process while the crowd still holds its connections.
  void checkProcess() {
    CHECK_FALSE(Entry->program().waitFor(0ms).has_value());
    const std::size_t Descriptors = openDescriptors();
    CHECK_TRUE(servesOrdinaryRequests());
    CHECK_FALSE(Entry->program().waitFor(0ms).has_value());
    const std::size_t Bytes = Entry->peakMemoryBytes();
    CHECK_TRUE_TEXT(Bytes > 0, "memory of the process is unknown");
    CHECK_TRUE_TEXT(Bytes <= MemoryMb * 1000000UL,
                    ("held " + std::to_string(Bytes)).c_str());
    CHECK_TRUE_TEXT(Descriptors <= MaxDescriptors,
                    ("open " + std::to_string(Descriptors)).c_str());
  }

  void sendFromCrowd(std::size_t Count, const client_script &Script,
                     std::size_t Piece = PieceBytes) {
    client_crowd Crowd(Entry->front(), Count);
    Crowd.send(Script, Piece);
    checkProcess();
  }

  /// Sends one request and returns the status of its response.
  std::string statusOfRequest(const client_script &Script) {
    const test_support::raw_client Client(Entry->front());
    Client.send(Script.Start);
    for (std::size_t I = 0; I < Script.UnitCount; ++I)
      Client.send(Script.Unit);
    Client.send(Script.End);
    std::string Response;
    test_support::waitUntil(
        [&] {
          Response += Client.receive();
          return !Response.empty() || Client.isClosed();
        },
        20s);
    return test_support::statusOf(Response);
  }
};

TEST(system_serve_hostile, TrailersWithoutEnd) {
  const std::string Trailer = "X-Trailer: " + std::string(1000, 't') + "\r\n";
  sendFromCrowd(8, {ChunkedPost + "5\r\nhello\r\n0\r\n", Trailer, 12000, ""});
}

TEST(system_serve_hostile, LargeBodiesThatAreComplete) {
  sendFromCrowd(24,
                {lengthPost(MaxBodyBytes), std::string(1000, 'b'),
                 MaxBodyBytes / 1000, ""},
                MaxBodyBytes);
}

TEST(system_serve_hostile, LargeBodiesThatStopShortOfTheirEnd) {
  sendFromCrowd(24, {lengthPost(MaxBodyBytes), std::string(1000, 'b'),
                     MaxBodyBytes / 1000 - 1, ""});
}

TEST(system_serve_hostile, LargeChunksWithoutEnd) {
  sendFromCrowd(24, {ChunkedPost,
                     "7a120\r\n" + std::string(500000, 'b') + "\r\n", 15, ""});
}

TEST(system_serve_hostile, SmallChunksWithoutEnd) {
  sendFromCrowd(12, {ChunkedPost, "8\r\nbbbbbbbb\r\n", 900000, ""});
}

TEST(system_serve_hostile, ConnectionsThatSendNothing) {
  const client_crowd Callers(Entry->front(), 350);
  const client_crowd Checks(Entry->readiness(), 350);
  checkProcess();
}

TEST(system_serve_hostile, SlowReadersOfLargeResponses) {
  client_crowd Crowd(Entry->front(), 30, SmallReceiveBuffer);
  Crowd.sendInTurn({"GET /safe/large HTTP/1.1\r\nHost: h.example\r\n"
                    "Skylarkdyke-Request-Id: crowd\r\n"
                    "Skylarkdyke-Request-Deadline: 8000\r\n\r\n",
                    "", 0, ""});
  checkProcess();
}

TEST(system_serve_hostile, HeadersOfManyFields) {
  // The fields need much more memory than their text.
  sendFromCrowd(100, {lengthPost(2).substr(0, lengthPost(2).size() - 2),
                      "a:b\r\n", MaxHeaderBytes / 5 - 100, "\r\nb"});
}

TEST(system_serve_hostile, HeadersWithoutEnd) {
  sendFromCrowd(140, {"GET /safe/a HTTP/1.1\r\nHost: h.example\r\n",
                      "X-Field: " + std::string(989, 'h') + "\r\n",
                      MaxHeaderBytes / 1000 - 1, ""});
}

// Guards against limits that a proper request meets.
TEST(system_serve_hostile, ServesRequestsOfTheGreatestLegalSize) {
  STRCMP_EQUAL(
      "200", statusOfRequest({lengthPost(MaxBodyBytes), std::string(1000, 'b'),
                              MaxBodyBytes / 1000, ""})
                 .c_str());
  STRCMP_EQUAL("200",
               statusOfRequest({ChunkedPost,
                                "7a120\r\n" + std::string(500000, 'b') + "\r\n",
                                MaxBodyBytes / 500000, "0\r\n\r\n"})
                   .c_str());
  checkProcess();
}

// The same with the limits of the deployments.
TEST(system_serve_hostile, ServesRequestsOfTheGreatestSizeOfDeployments) {
  constexpr std::size_t DeployedMaxBodyBytes = 67108864;
  start({260, 4100}, DeployedMaxBodyBytes);
  STRCMP_EQUAL("200", statusOfRequest({lengthPost(DeployedMaxBodyBytes),
                                       std::string(65536, 'b'),
                                       DeployedMaxBodyBytes / 65536, ""})
                          .c_str());
  STRCMP_EQUAL("200",
               statusOfRequest({ChunkedPost,
                                "10000\r\n" + std::string(65536, 'b') + "\r\n",
                                DeployedMaxBodyBytes / 65536, "0\r\n\r\n"})
                   .c_str());
  CHECK_TRUE(Entry->peakMemoryBytes() <= 260000000UL);
}
