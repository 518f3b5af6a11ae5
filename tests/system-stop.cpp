#include "support/cluster.hpp"
#include "support/steady_callers.hpp"

#include <map>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using test_support::caller_result;
using test_support::request_end;
using test_support::steady_callers;

TEST_GROUP(system_stop){};

static std::string stockRequest(const std::string &Id) {
  return "GET /s/stock-view/" + Id + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Guards against a planned stop of an entry that cuts requests of callers that
// use their connections until they end: each one that has run has an answer.
TEST(system_stop, CallersThatUseTheirConnectionsToTheEndLoseNothing) {
  test_support::cluster Cluster("rozpalka", 3);
  CHECK_TRUE(Cluster.start());
  steady_callers Callers(Cluster.Plan.Entries[2].CallerAddress, 8, "c",
                         stockRequest);
  std::this_thread::sleep_for(500ms);
  const auto Exit = Cluster.stopEntry(2, 30s);
  Callers.stop();
  CHECK_TRUE(Exit && *Exit == 0);
  std::map<std::string, int> Runs;
  for (const auto &Run : Cluster.journal())
    ++Runs[Run.Path];
  CHECK_TRUE(Callers.results().size() > 50);
  for (const auto &[Id, Result] : Callers.results()) {
    const std::string Text = Id + " status " + std::to_string(Result.Status);
    CHECK_TEXT(Result.End != request_end::Broken, Text.c_str());
    if (Result.End == request_end::Closed)
      LONGS_EQUAL_TEXT(0, Runs["/" + Id], Text.c_str());
    if (Result.Status == 200)
      CHECK_TEXT(Runs["/" + Id] > 0, Text.c_str());
  }
}
