#include "support/crashing_targets.hpp"
#include "support/platform_stand_in.hpp"
#include "support/served_entry.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using test_support::served_entry;
using test_support::statusOf;

/// Bounds of operators: a request is sent at most this often later than the
/// time after it has ended the third target.
static constexpr std::size_t MaxLateSends = 3;
static constexpr std::chrono::milliseconds StableWindow{4000};

TEST_GROUP(system_serve_poison) {
  test_support::platform_stand_in Platform;
  served_entry First{Platform.storeAddress()};
  served_entry Second{Platform.storeAddress(), 4s, First.mesh()};
  test_support::crashing_targets Targets{Platform, 16, "/crash"};
  int Sent = 0;
  int Served = 0;
  int Others = 0;

  void start() {
    Platform.put("op/config", test_support::servedRoutes(2));
    CHECK_TRUE(First.start());
    CHECK_TRUE(Second.start());
  }

  std::string ask(const served_entry &Entry, const std::string &Method,
                  const std::string &Path) {
    return statusOf(test_support::askServed(Entry.front(), Method, Path,
                                            "r" + std::to_string(++Sent)));
  }

  /// Sends a request at either entry in turn, and beside it one that ends no
  /// target.
  /// \return status of the last one
  std::string repeat(const std::string &Method, const std::string &Path,
                     int Times) {
    std::string Status;
    for (int I = 0; I < Times; ++I) {
      const served_entry &Entry = I % 2 == 0 ? First : Second;
      Status = ask(Entry, Method, Path);
      ++Others;
      Served += ask(Entry, "GET", "/safe/other") == "200" ? 1 : 0;
      std::this_thread::sleep_for(500ms);
    }
    return Status;
  }

  /// Checks how often targets got the request, and that others were served.
  void checkBounds() const {
    CHECK(Targets.crashes().size() >= 3);
    CHECK(Targets.crashes().size() <= 3 + MaxLateSends);
    UNSIGNED_LONGS_EQUAL(
        0, std::max(MaxLateSends, Targets.sendsAfterThirdCrash(StableWindow)) -
               MaxLateSends);
    CHECK(Served >= Others - 2);
  }
};

// Guards against a request that ends one target after another while its caller
// repeats it, and against the refusal of any other request.
TEST(system_serve_poison, ARequestThatEndsTargetsIsNotSentAgainAndAgain) {
  start();
  const std::string LastStatus = repeat("GET", "/safe/crash", 18);
  checkBounds();
  STRCMP_EQUAL("503", LastStatus.c_str());
}

// Guards against the same for a request that may run once only.
TEST(system_serve_poison, ANonIdempotentRequestThatEndsTargetsIsRefused) {
  start();
  const std::string LastStatus = repeat("POST", "/once/crash", 18);
  checkBounds();
  STRCMP_EQUAL("503", LastStatus.c_str());
}

// Guards against entries that hear of such a request from the store only.
TEST(system_serve_poison, TheRequestIsRefusedWhileTheStoreIsSilent) {
  start();
  Platform.fallSilent();
  repeat("GET", "/safe/crash", 18);
  checkBounds();
  Platform.answerAgain();
}

// Guards against an entry that has forgotten the request after a restart, of
// its own or of all entries at the same time.
TEST(system_serve_poison, TheRequestIsRefusedAfterRestarts) {
  start();
  STRCMP_EQUAL("503", repeat("GET", "/safe/crash", 10).c_str());
  const std::size_t Crashes = Targets.crashes().size();
  Second.program().kill();
  CHECK_TRUE(Second.start());
  STRCMP_EQUAL("503", ask(Second, "GET", "/safe/crash").c_str());
  First.program().kill();
  Second.program().kill();
  for (served_entry *Entry : std::array{&First, &Second})
    CHECK_TRUE(Entry->start());
  for (const served_entry *Entry : std::array{&First, &Second})
    STRCMP_EQUAL("503", ask(*Entry, "GET", "/safe/crash").c_str());
  LONGS_EQUAL(Crashes, Targets.crashes().size());
}
