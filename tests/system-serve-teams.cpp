#include "support/platform_stand_in.hpp"
#include "support/raw_client.hpp"
#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"
#include "support/wait_until.hpp"

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;
using test_support::statusOf;
using test_support::waitUntil;

/// Time within which a configuration is in force at all entries, and some slack
/// for a busy machine.
static constexpr auto ConfigurationBound = 6s;
/// Path at which the target holds requests until the test lets it refuse them.
static constexpr const char *HeldPath = "/once/held";

/// Keys of teams, by their names.
using team_keys = std::map<std::string, std::vector<std::string>>;

/// Returns the stand-in's configuration with a public route and teams.
static std::string withTeams(int Version, const team_keys &Teams) {
  json Document = json::parse(test_support::servedRoutes(Version));
  json &Routes = Document["routes"];
  Routes["columns"].push_back("public");
  json Open = Routes["rows"][0];
  Open[0] = "open";
  Open[2] = "/open/";
  Open.push_back(true);
  Routes["rows"].push_back(Open);
  json Rows = json::array();
  for (const auto &[Name, Keys] : Teams)
    Rows.push_back(json::array({Name, Keys}));
  Document["tenants"] = {{"columns", {"name", "api_keys"}}, {"rows", Rows}};
  return Document.dump();
}

static std::string bearer(const std::string &Key) {
  return "Authorization: Bearer " + Key + "\r\n";
}

TEST_GROUP(system_serve_teams) {
  test_support::platform_stand_in Platform;
  std::mutex Mutex;
  std::vector<std::string> Headers;
  std::atomic<bool> RefuseHeld{false};
  test_support::scripted_target Target{
      [this](const test_support::scripted_request &Request) {
        onTargetRequest(Request);
      }};
  test_support::served_entry Entry{Platform.storeAddress()};
  int NextId = 0;

  void setup() override {
    for (const char *Id : {"t1", "t2"})
      Platform.put("servers/" + std::string(Id),
                   test_support::servedTarget(Target.address()));
  }
  void teardown() override { RefuseHeld = true; }

  void onTargetRequest(const test_support::scripted_request &Request) {
    const std::string IdLine =
        "Skylarkdyke-Request-Id: " + Request.requestId() + "\r\n";
    if (Request.path() == HeldPath) {
      waitUntil([&] { return RefuseHeld.load(); }, 10s);
      return Request.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                          "Skylarkdyke-Not-Executed: 1\r\n" +
                          IdLine + "\r\n");
    }
    if (Request.path() != "/healthz") {
      const std::lock_guard Lock(Mutex);
      Headers.push_back(Request.header());
    }
    Request.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                 "Skylarkdyke-Response-Signature: s\r\n" +
                 IdLine + "\r\nok");
  }

  void startWith(const std::string &Configuration) {
    Platform.put("op/config", Configuration);
    CHECK_TRUE(Entry.start());
  }

  /// Sends a request on an open connection and returns its response.
  std::string ask(const test_support::raw_client &Connection,
                  const std::string &Path, const std::string &Lines) {
    Connection.send("GET " + Path + " HTTP/1.1\r\nHost: h.example\r\n" +
                    "Skylarkdyke-Request-Deadline: 2500\r\n" +
                    "Skylarkdyke-Request-Id: n" + std::to_string(++NextId) +
                    "\r\n" + Lines + "\r\n");
    std::string Response;
    waitUntil(
        [&] {
          Response += Connection.receive();
          return Response.find("\r\n\r\n") != std::string::npos &&
                 Response.back() != '\r' &&
                 (Response.find("Content-Length: 0") != std::string::npos ||
                  Response.substr(Response.size() - 4) != "\r\n\r\n");
        },
        5s);
    return Response;
  }
  std::string statusFor(const test_support::raw_client &Connection,
                        const std::string &Path, const std::string &Lines) {
    return statusOf(ask(Connection, Path, Lines));
  }
  bool waitForStatus(const test_support::raw_client &Connection,
                     const std::string &Key, const std::string &Status) {
    return waitUntil(
        [&] { return statusFor(Connection, "/safe/x", bearer(Key)) == Status; },
        ConfigurationBound);
  }

  std::string lastHeader() {
    const std::lock_guard Lock(Mutex);
    return Headers.empty() ? "" : Headers.back();
  }
  std::size_t requestsAtTarget() {
    const std::lock_guard Lock(Mutex);
    return Headers.size();
  }
  bool lastHeaderHas(const std::string &Text) {
    return lastHeader().find(Text) != std::string::npos;
  }
  std::string log() const {
    std::ostringstream Text;
    Text << std::ifstream(Entry.folder() / "entry.log").rdbuf();
    return Text.str();
  }
};

// Guards against requests that run without a valid key or under the name of
// another team, and against keys that reach a target or a log.
TEST(system_serve_teams, OnlyTheTeamOfTheKeyReachesTheTarget) {
  startWith(withTeams(2, {{"alpha", {"key-of-alpha"}}, {"beta", {"key-b"}}}));
  const test_support::raw_client Connection(Entry.front());
  const std::string Spoofed = "skylarkdyke-tenant-id: beta\r\n"
                              "SKYLARKDYKE-TENANT-ID: beta,\r\n beta\r\n";
  STRCMP_EQUAL(
      "200", statusFor(Connection, "/safe/x", Spoofed + bearer("key-of-alpha"))
                 .c_str());
  CHECK(lastHeaderHas("Skylarkdyke-Tenant-Id: alpha\r\n"));
  CHECK(!lastHeaderHas("beta") && !lastHeaderHas("key-of-alpha"));
  CHECK(!lastHeaderHas("Authorization"));
  const std::string Refused = ask(Connection, "/safe/x", bearer("key-unknown"));
  STRCMP_EQUAL("401", statusOf(Refused).c_str());
  STRCMP_CONTAINS("WWW-Authenticate: Bearer\r\n", Refused.c_str());
  STRCMP_EQUAL("401", statusFor(Connection, "/safe/x", Spoofed).c_str());
  STRCMP_EQUAL("401", statusFor(Connection, "/safe/x",
                                bearer("key-b") + bearer("key-of-alpha"))
                          .c_str());
  LONGS_EQUAL(1, requestsAtTarget());
  for (const char *Key : {"key-of-alpha", "key-b", "key-unknown"})
    CHECK(log().find(Key) == std::string::npos);
}

// Guards against public routes that ask for a key, pass on a key or the team
// that the caller states, or accept a key that is not valid.
TEST(system_serve_teams, PublicRoutesServeCallersWithoutAKey) {
  startWith(withTeams(2, {{"alpha", {"key-of-alpha"}}}));
  const test_support::raw_client Connection(Entry.front());
  const std::string Spoofed = "Skylarkdyke-Tenant-ID: alpha\r\n";
  for (const std::string &Lines :
       {Spoofed, Spoofed + "Authorization: Basic own-token\r\n"}) {
    STRCMP_EQUAL("200", statusFor(Connection, "/open/x", Lines).c_str());
    CHECK(!lastHeaderHas("alpha") && !lastHeaderHas("own-token"));
  }
  STRCMP_EQUAL("401",
               statusFor(Connection, "/open/x", bearer("key-unknown")).c_str());
  STRCMP_EQUAL(
      "200", statusFor(Connection, "/open/x", bearer("key-of-alpha")).c_str());
  CHECK(lastHeaderHas("Skylarkdyke-Tenant-Id: alpha\r\n"));
  CHECK(!lastHeaderHas("key-of-alpha"));
}

// Guards against a configuration without teams that changes what targets get.
TEST(system_serve_teams, WithoutTeamsHeadersArePassedOn) {
  startWith(test_support::servedRoutes(2));
  const test_support::raw_client Connection(Entry.front());
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x",
                         bearer("own-token") + "Skylarkdyke-Tenant-Id: t\r\n")
                   .c_str());
  CHECK(lastHeaderHas("Authorization: Bearer own-token\r\n"));
  CHECK(lastHeaderHas("Skylarkdyke-Tenant-Id: t\r\n"));
}

// Guards against connections on which a key goes on to be accepted, or to name
// its earlier team, and against a version that cannot be read in force.
TEST(system_serve_teams, ChangedKeysHoldOnOpenConnections) {
  startWith(withTeams(2, {{"alpha", {"key-a", "key-m"}}, {"beta", {}}}));
  const test_support::raw_client Connection(Entry.front());
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-m")).c_str());
  Platform.put("op/config",
               withTeams(3, {{"alpha", {"key-n"}}, {"beta", {"key-m"}}}));
  CHECK_TRUE(waitForStatus(Connection, "key-a", "401"));
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-m")).c_str());
  CHECK(lastHeaderHas("Skylarkdyke-Tenant-Id: beta\r\n"));
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-n")).c_str());
  Platform.put("op/config",
               withTeams(4, {{"alpha", {"key-m"}}, {"beta", {"key-m"}}}));
  CHECK_TRUE(waitUntil(
      [this] { return log().find("ConfigInvalid") != std::string::npos; },
      ConfigurationBound));
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-n")).c_str());
  // A newer version exists, which may know the key.
  STRCMP_EQUAL("503",
               statusFor(Connection, "/safe/x", bearer("key-x")).c_str());
}

// Guards against a second send of a request whose key has been taken away since
// the first one.
TEST(system_serve_teams, ARevokedKeyIsNotSentASecondTime) {
  startWith(withTeams(2, {{"alpha", {"key-a", "key-r"}}}));
  const test_support::raw_client Connection(Entry.front());
  // The allowance for second sends grows with the requests.
  for (int I = 0; I < 20; ++I)
    STRCMP_EQUAL("200",
                 statusFor(Connection, "/once/x", bearer("key-a")).c_str());
  const test_support::raw_client Held(Entry.front());
  Held.send("GET " + std::string(HeldPath) +
            " HTTP/1.1\r\nHost: h.example\r\nSkylarkdyke-Request-Id: h\r\n"
            "Connection: close\r\n" +
            bearer("key-r") + "\r\n");
  CHECK_TRUE(waitUntil([this] { return Target.received(HeldPath) == 1; }, 5s));
  Platform.put("op/config", withTeams(3, {{"alpha", {"key-a"}}}));
  CHECK_TRUE(waitForStatus(Connection, "key-r", "401"));
  RefuseHeld = true;
  std::string Response;
  waitUntil(
      [&] {
        Response += Held.receive();
        return Held.isClosed();
      },
      5s);
  STRCMP_EQUAL("401", statusOf(Response).c_str());
  LONGS_EQUAL(1, Target.received(HeldPath));
}

// Guards against an entry that refuses known keys, or says that a key is
// unknown, while the store is silent: a key that it does not know may have been
// added.
TEST(system_serve_teams, KeysWhileTheStoreIsSilent) {
  startWith(withTeams(2, {{"alpha", {"key-a", "key-r"}}}));
  const test_support::raw_client Connection(Entry.front());
  Platform.fallSilent();
  Platform.put("op/config", withTeams(3, {{"alpha", {"key-a", "key-new"}}}));
  CHECK_TRUE(waitUntil(
      [&] {
        return statusFor(Connection, "/safe/x", bearer("key-new")) == "503";
      },
      10s));
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-r")).c_str());
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-a")).c_str());
  Platform.answerAgain();
  CHECK_TRUE(waitForStatus(Connection, "key-r", "401"));
  STRCMP_EQUAL("200",
               statusFor(Connection, "/safe/x", bearer("key-new")).c_str());
}
