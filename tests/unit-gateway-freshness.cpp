#include "gateway/detail/gauges.hpp"
#include "gateway/detail/request_rejection.hpp"
#include "gateway/detail/steering_state.hpp"

#include <array>
#include <unistd.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::steering_state;

/// Decodes a test document: the version, and a body limit after a comma.
static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  Configuration.Version = std::stoull(Document);
  if (const auto Comma = Document.find(','); Comma != std::string::npos)
    Configuration.Limits.MaxBodyBytes = std::stoull(Document.substr(Comma + 1));
  return Configuration;
}

TEST_GROUP(gateway_freshness) {
  base::boot_time Now{1h};
  placement::target_registry TargetRegistry{{}};
  placement::target_registry OtherRegistry{{}};
  steering_state State{TargetRegistry, decode, 2s, [this] { return Now; }};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  std::array<int, 2> Pipe{};
  gateway::header_names Headers;

  void setup() override {
    LONGS_EQUAL(0, pipe(Pipe.data()));
    Headers.RequestId = "Id";
  }
  void teardown() override {
    close(Pipe[0]);
    close(Pipe[1]);
  }

  void install(const char *Document, std::uint64_t Revision) {
    State.apply(routing::configuration_published{Document}, {0, Revision});
    State.confirmVersion({0, Revision});
  }

  /// Returns the status that a body beyond a limit gets, and the log line.
  unsigned rejectBody(std::size_t Limit, std::string *Line = nullptr) {
    telemetry::decision_log Log(Pipe[1], "e");
    net::http_request Header;
    Header.set("Id", "r1");
    const auto Response = gateway::detail::respondToUnreadable(
        {413, "body limit exceeded", Limit, Header}, State, Headers, Log, Now);
    Log.flush();
    std::array<char, 1000> Bytes{};
    const auto Count = read(Pipe[0], Bytes.data(), Bytes.size());
    if (Line != nullptr)
      Line->assign(Bytes.data(), static_cast<std::size_t>(Count));
    CHECK((Response.result_int() == 503) ==
          (Response.count(boost::beast::http::field::retry_after) == 1));
    CHECK(Response["Id"] == "r1");
    return Response.result_int();
  }
};

// Guards against 413 without a configuration that forbids the request, and
// against a rejection that nobody can trace.
TEST(gateway_freshness, OnlyARecentConfigurationForbidsABody) {
  LONGS_EQUAL(503, rejectBody(1048576));
  install("7", 1);
  LONGS_EQUAL(503, rejectBody(1048576));
  install("8,1000", 2);
  Now += 1s;
  std::string Line;
  LONGS_EQUAL(413, rejectBody(1000, &Line));
  for (const char *Field :
       {"\"limit\":1000", "\"config_version\":8", "\"config_age_ms\":1000",
        "\"state_age_ms\":1000", "\"status\":413", "\"request\":\"r1\""})
    STRCMP_CONTAINS(Field, Line.c_str());
  LONGS_EQUAL(503, rejectBody(500));
  State.noteOtherState({{0, 5}, 9, 0ms});
  LONGS_EQUAL(503, rejectBody(1000));
}

// Guards against an entry that takes its state for the newest although the
// store is silent, and against doubts on a calm day.
TEST(gateway_freshness, AStateIsOutdatedOnceNobodyConfirmsIt) {
  CHECK(State.mayBeOutdated(Now));
  install("7", 1);
  CHECK(!State.mayBeOutdated(Now + 4s));
  CHECK(State.mayBeOutdated(Now + 4001ms));
  State.setMaxAge(6s);
  CHECK(!State.mayBeOutdated(Now + 6s));
  Now += 10s;
  State.confirmVersion({0, 1});
  CHECK(!State.mayBeOutdated(Now));
}

// Guards against entries that confirm each other's state for ever, and against
// the word of an entry whose changes this one lacks.
TEST(gateway_freshness, OtherEntriesConfirmAsOfTheStoresLastAnswer) {
  install("7", 5);
  CHECK(Other.adoptState(State.encodeSnapshot()));
  Now += 3s;
  CHECK(Other.age(Now) == 3000ms);
  Other.noteOtherState({{0, 4}, 7, 1000ms});
  CHECK(Other.age(Now) == 1000ms);
  Other.noteOtherState({{0, 6}, 7, 0ms});
  Other.noteOtherState({{0, 4}, 7, std::nullopt});
  CHECK(Other.age(Now) == 1000ms);
  Now += 3s;
  install("8", 9);
  Now += 500ms;
  CHECK(Other.adoptState(State.encodeStateAfter({0, 5})));
  CHECK(Other.age(Now) == 500ms);
}

// Guards against 404 for a route of a version that other entries have already.
TEST(gateway_freshness, AKnownNewerVersionMakesTheStateOutdated) {
  install("7", 5);
  State.noteOtherState({{0, 5}, 7, 0ms});
  CHECK(!State.mayBeOutdated(Now));
  State.noteOtherState({{0, 8}, 9, 0ms});
  CHECK(State.mayBeOutdated(Now));
  install("9", 8);
  CHECK(!State.mayBeOutdated(Now));
}

// Guards against an entry that stays behind unnoticed.
TEST(gateway_freshness, MetricsShowTheNewestVersionBesideTheOneInForce) {
  install("7", 5);
  State.noteOtherState({{0, 8}, 9, std::nullopt});
  metrics::registry Metrics;
  const placement::placer Placer(TargetRegistry, base::region_name("north"));
  gateway::detail::updateGauges(Metrics, {TargetRegistry, Placer, State, {}, 1},
                                Now + 2s);
  const std::string Text = Metrics.render();
  for (const char *Line :
       {"skylarkdyke_config_version 7", "skylarkdyke_config_newest_version 9",
        "skylarkdyke_config_age_seconds 2", "skylarkdyke_state_age_seconds 2"})
    STRCMP_CONTAINS(Line, Text.c_str());
}

// Guards against entries that make each other's state look more recent with
// each message, because a report is older on arrival than it says: a silent
// store would count as silent seconds late.
TEST(gateway_freshness, AgesThatEntriesPassOnNeverShrink) {
  static constexpr std::size_t Entries = 5;
  static constexpr auto MessageTime = 40ms;
  std::array<gateway::detail::state_freshness, Entries> Ages;
  const auto ConfirmedAt = Now;
  Ages[0].confirm(ConfirmedAt);
  for (int Round = 0; Round < 400; ++Round) {
    const std::size_t From = static_cast<std::size_t>(Round) % Entries;
    const auto Reported = Ages.at(From).reportedAge(Now);
    Now += MessageTime;
    for (std::size_t To = 0; Reported && To < Entries; ++To)
      if (To != From)
        Ages.at(To).confirmByReport(Now - *Reported);
  }
  for (const auto &Age : Ages)
    CHECK(*Age.age(Now) + MessageTime >= Now - ConfirmedAt);
}
