#include "gateway/detail/demand_history.hpp"
#include "gateway/detail/exchange.hpp"
#include "gateway/detail/send_outcome.hpp"
#include "gateway/detail/steering_state.hpp"
#include "gateway/detail/target_signals.hpp"
#include "gateway/detail/watch_delay.hpp"

#include <utility>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::steering_state;

static const base::domain_name Domain("z");

static routing::target makeTarget(const char *Id) {
  routing::target Target;
  Target.Id = base::target_id(Id);
  Target.Service = base::service_name("s");
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = Domain;
  return Target;
}

/// Decodes a test document, which consists of its version number only.
static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  if (Document == "broken")
    return gateway::refused_configuration{99, {{"/", "broken"}}};
  Configuration.Version = std::stoull(Document);
  Configuration.Services.push_back({base::service_name("s"), "/", 1, 3s, 1});
  return Configuration;
}

TEST_GROUP(gateway_state) {
  base::boot_time Now{1h};
  placement::target_registry TargetRegistry{{{Domain, base::region_name("r")}}};
  steering_state State{TargetRegistry, decode, 2s, [this] { return Now; }};

  bool acceptsRequests(const char *Id) {
    const auto *Found = TargetRegistry.find(base::target_id(Id));
    return Found != nullptr && TargetRegistry.acceptsRequests(*Found, Now);
  }
  void publish(const char *Id, std::uint64_t Revision) {
    State.apply(routing::target_published{makeTarget(Id)}, {0, Revision});
  }
};

// Guards against a configuration that is replaced by an older version or by
// an invalid one.
TEST(gateway_state, ConfigurationVersionNeverDecreases) {
  State.apply(routing::configuration_published{"7"}, {0, 1});
  for (const char *Older : {"5", "broken"})
    State.apply(routing::configuration_published{Older}, {0, 2});
  LONGS_EQUAL(7, State.routes()->version());
  LONGS_EQUAL(99, State.newestVersion());
  State.apply(routing::configuration_published{"12"}, {0, 3});
  LONGS_EQUAL(12, State.routes()->version());
}

// Guards against entries that tell each other without end that a target may be
// cold, because their messages are late: each takes the news for newer ones.
TEST(gateway_state, NewsOfTargetsThatMayBeColdEnd) {
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  std::vector<std::string> ToOther;
  std::vector<std::string> ToState;
  const auto PublishTo = [this](std::vector<std::string> &Messages) {
    return [this, &Messages](const gateway::detail::cold_notice &Notice, bool) {
      Messages.push_back(gateway::detail::encode(gateway::detail::cold_update{
          Notice.Target,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Notice.ColdUntil - Now),
          Notice.Finding}));
    };
  };
  State.setColdCallback(PublishTo(ToOther));
  Other.setColdCallback(PublishTo(ToState));
  publish("a", 1);
  Other.apply(routing::target_published{makeTarget("a")}, {0, 1});
  State.recordCold({placement::incarnationOf(makeTarget("a")), Now + 2s,
                    gateway::detail::cold_finding::MayBeCold});
  unsigned Messages = 0;
  while (Messages < 100 && !(ToOther.empty() && ToState.empty())) {
    Now += 300ms;
    for (const std::string &Message : std::exchange(ToOther, {}))
      Other.adoptState(Message);
    for (const std::string &Message : std::exchange(ToState, {}))
      State.adoptState(Message);
    ++Messages;
  }
  CHECK(Messages < 10);
}

// Guards against steering requests before a configuration and a target are
// available.
TEST(gateway_state, IsCompleteWithConfigurationAndTargets) {
  State.apply(routing::configuration_published{"7"}, {0, 1});
  CHECK(!State.isComplete());
  publish("a", 2);
  CHECK(State.isComplete());
}

// Guards against targets and evacuations that remain after a listing that no
// longer contains them.
TEST(gateway_state, ListingReplacesTheState) {
  publish("gone", 1);
  State.apply(routing::evacuation_started{Domain}, {0, 2});
  State.replaceAll({routing::target_published{makeTarget("a")}}, 5, {0, 9});
  CHECK(!acceptsRequests("gone"));
  CHECK(acceptsRequests("a"));
  LONGS_EQUAL(9, State.confirmedVersion().Revision);
}

// Guards against the removal of all targets whose records expire during a
// store outage: the targets publish them again soon after it.
TEST(gateway_state, KeepsRecordsThatExpiredDuringAnOutage) {
  publish("a", 1);
  State.confirmVersion({0, 1});
  State.reportFailure("no answer");
  Now += 10s;
  State.confirmVersion({0, 2});
  State.apply(routing::target_removed{base::target_id("a")}, {0, 3});
  CHECK(acceptsRequests("a"));
  Now += 3s;
  TargetRegistry.sweep(Now);
  CHECK(!acceptsRequests("a"));
}

// Guards against the same if the first response after the outage tells of the
// expired records.
TEST(gateway_state, KeepsRecordsWhoseRemovalIsTheFirstNewsAfterAnOutage) {
  publish("a", 1);
  State.confirmVersion({0, 1});
  State.reportFailure("no answer");
  Now += 10s;
  State.apply(routing::target_removed{base::target_id("a")}, {0, 3});
  State.confirmVersion({0, 3});
  CHECK(acceptsRequests("a"));
  Now += 3s;
  CHECK(!acceptsRequests("a"));
}

// Guards against removals that are still delayed long after an outage.
TEST(gateway_state, RemovesTargetsImmediatelyLongAfterAnOutage) {
  publish("a", 1);
  State.confirmVersion({0, 1});
  State.reportFailure("no answer");
  Now += 10s;
  State.confirmVersion({0, 2});
  Now += 10s;
  State.apply(routing::target_removed{base::target_id("a")}, {0, 3});
  CHECK(!acceptsRequests("a"));
}

// Guards against targets that still get requests after they are removed while
// the store is available.
TEST(gateway_state, RemovedTargetsGetNoRequests) {
  publish("a", 1);
  State.apply(routing::target_removed{base::target_id("a")}, {0, 2});
  CHECK(!acceptsRequests("a"));
}

// Guards against an entry that keeps an old state because the store rejects
// its calls.
TEST(gateway_state, AdoptsTheNewerStateOfAnotherEntry) {
  State.apply(routing::configuration_published{"7"}, {0, 1});
  publish("a", 2);
  State.apply(routing::evacuation_started{Domain}, {0, 3});
  State.confirmVersion({0, 3});
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  Other.reportFailure("status 503");
  CHECK(Other.adoptState(State.encodeSnapshot()));
  CHECK(Other.isComplete());
  LONGS_EQUAL(7, Other.routes()->version());
  LONGS_EQUAL(1, OtherRegistry.evacuatedDomains().size());
  CHECK(!Other.adoptState(State.encodeSnapshot()));
  CHECK(!Other.adoptState("foreign"));
  // The parser throws on an excessive size even though exceptions are
  // disabled in the call.
  CHECK(!Other.adoptState("\xBB\x61\x61\x61\x61\x61\x61\x61\x61"));
}

// Guards against an entry that fetches the whole state for each change, and
// against changes that are applied although earlier ones are missing.
TEST(gateway_state, AdoptsChangesThatContinueItsState) {
  publish("a", 2);
  State.confirmVersion({0, 2});
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  CHECK(Other.adoptState(State.encodeSnapshot()));
  State.apply(routing::configuration_published{"8"}, {0, 3});
  publish("b", 4);
  State.apply(routing::target_removed{base::target_id("a")}, {0, 5});
  State.apply(routing::evacuation_started{Domain}, {0, 6});
  State.confirmVersion({0, 7});
  CHECK(!Other.adoptState(State.encodeStateAfter({0, 5})));
  LONGS_EQUAL(2, Other.confirmedVersion().Revision);
  CHECK(Other.adoptState(State.encodeStateAfter({0, 2})));
  LONGS_EQUAL(7, Other.confirmedVersion().Revision);
  LONGS_EQUAL(8, Other.routes()->version());
  OtherRegistry.sweep(Now);
  CHECK(OtherRegistry.find(base::target_id("a")) == nullptr);
  CHECK(OtherRegistry.find(base::target_id("b")) != nullptr);
  LONGS_EQUAL(1, OtherRegistry.evacuatedDomains().size());
  CHECK(!Other.adoptState(State.encodeStateAfter({0, 2})));
}

// Guards against 404 for all routes after a listing, or a state of another
// entry, without the configuration.
TEST(gateway_state, AStateWithoutAConfigurationKeepsTheOneInForce) {
  State.apply(routing::configuration_published{"7"}, {0, 1});
  State.replaceAll({routing::target_published{makeTarget("a")}}, 5, {0, 9});
  LONGS_EQUAL(7, State.routes()->version());
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  Other.replaceAll({routing::target_published{makeTarget("a")}}, 5, {0, 12});
  CHECK(!Other.isComplete());
  CHECK(State.adoptState(Other.encodeSnapshot()));
  LONGS_EQUAL(7, State.routes()->version());
}

// Guards against changes that are lost between two entries because the log of
// changes is bounded.
TEST(gateway_state, SendsTheWholeStateToAnEntryThatIsFarBehind) {
  const auto Count = gateway::detail::change_log::MaxChanges + 10;
  for (std::size_t I = 1; I <= Count; ++I)
    publish(("t" + std::to_string(I)).c_str(), I);
  State.confirmVersion({0, Count});
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  CHECK(Other.adoptState(State.encodeStateAfter({0, 1})));
  LONGS_EQUAL(Count, OtherRegistry.size());
}

// Guards against targets that another entry removes at once although their
// records expired during a store outage and are back soon.
TEST(gateway_state, PassesOnWhenARemovalTakesEffect) {
  publish("a", 1);
  publish("b", 2);
  State.confirmVersion({0, 2});
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  CHECK(Other.adoptState(State.encodeSnapshot()));
  State.reportFailure("no answer");
  Now += 10s;
  State.confirmVersion({0, 2});
  State.apply(routing::target_removed{base::target_id("a")}, {0, 3});
  State.confirmVersion({0, 3});
  CHECK(Other.adoptState(State.encodeStateAfter({0, 2})));
  placement::target_registry ThirdRegistry{{{Domain, base::region_name("r")}}};
  steering_state Third{ThirdRegistry, decode, 2s, [this] { return Now; }};
  CHECK(Third.adoptState(State.encodeSnapshot()));
  for (auto *Registry : {&OtherRegistry, &ThirdRegistry}) {
    const auto *Removed = Registry->find(base::target_id("a"));
    CHECK(Removed != nullptr && Registry->acceptsRequests(*Removed, Now));
    CHECK(!Registry->acceptsRequests(*Removed, Now + 2s));
  }
}

// Guards against a target that is drained twice because of one record, and
// against a restarted target that inherits the state of its previous
// incarnation with the same id.
TEST(gateway_state, NewIncarnationResetsTheTarget) {
  auto Target = makeTarget("a");
  Target.StartedAtMs = 1;
  State.apply(routing::target_published{Target}, {0, 1});
  TargetRegistry.endSend(Target.Id, placement::send_result::WrongTarget, 0ms,
                         Now);
  CHECK(!acceptsRequests("a"));
  Target.StartedAtMs = 2;
  State.apply(routing::target_published{Target}, {0, 2});
  CHECK(acceptsRequests("a"));
}

// Guards against a leaving target that other entries do not hear of, and
// against a state that lists it as ready and clears the notice.
TEST(gateway_state, LeavingTargetsAreToldToOtherEntries) {
  placement::target_registry OtherRegistry{{{Domain, base::region_name("r")}}};
  steering_state Other{OtherRegistry, decode, 2s, [this] { return Now; }};
  const auto UsableUntil = [&](const char *Id) {
    const auto *Found = OtherRegistry.find(base::target_id(Id));
    return Found->UsableUntil.value_or(base::boot_time::max()) - Now;
  };
  const auto Leave = [&](const char *Id) {
    return State.recordLeaving({placement::incarnationOf(makeTarget(Id)),
                                placement::leaving_source::Response, Now,
                                Now + 2s});
  };
  for (const char *Id : {"a", "b", "c"})
    publish(Id, 1);
  State.confirmVersion({0, 1});
  CHECK(Leave("a"));
  CHECK(!Leave("a"));
  CHECK(Other.adoptState(State.encodeSnapshot()));
  CHECK(UsableUntil("a") == 2s);
  Leave("b");
  publish("b", 2);
  State.confirmVersion({0, 2});
  CHECK(Other.adoptState(State.encodeStateAfter({0, 1})));
  CHECK(UsableUntil("b") == 2s);
  int PassedOn = 0;
  Other.setLeavingCallback([&](const auto &) { ++PassedOn; });
  const std::string Update = encode(gateway::detail::leaving_update{
      {{placement::incarnationOf(makeTarget("c")), 500ms}}});
  CHECK(!Other.adoptState(Update) && !Other.adoptState(Update));
  CHECK(UsableUntil("c") == 500ms);
  LONGS_EQUAL(1, PassedOn);
  placement::target_registry StaleRegistry{{{Domain, base::region_name("r")}}};
  steering_state Stale{StaleRegistry, decode, 2s, [this] { return Now; }};
  Stale.replaceAll({routing::target_published{makeTarget("a")}}, 9, {0, 9});
  CHECK(Other.adoptState(Stale.encodeSnapshot()));
  CHECK(UsableUntil("a") == 2s);
}

TEST_GROUP(gateway_outcome) {
  gateway::header_names Headers{"Id",       "Deadline", "Key",  "Signature",
                                "Expected", "Not-Run",  "Load", {"Leaving"}};
  net::http_response Response{boost::beast::http::status::ok, 11};

  template <class Kind> bool is() {
    return std::holds_alternative<Kind>(
        gateway::detail::classifyResult(Response, Headers));
  }
};

// Guards against responses that count as not executed although the target did
// not say so, and against successes without a signature.
TEST(gateway_outcome, OnlyStatedNonExecutionCountsAsNotExecuted) {
  using namespace gateway::detail;
  CHECK(is<unknown_outcome>());
  Response.set("Signature", "x");
  CHECK(is<response_received>());
  Response.set("Content-Encoding", "gzip");
  CHECK(is<unknown_outcome>());
  Response = {boost::beast::http::status::service_unavailable, 11};
  CHECK(is<response_received>());
  Response.set("Not-Run", "1");
  CHECK(is<not_executed>());
  Response = {boost::beast::http::status::misdirected_request, 11};
  CHECK(is<not_executed>());
}

// Guards against a late second copy of a response that the next caller on the
// connection gets as its own.
TEST(gateway_outcome, ALateCopyIsNoResponseToTheNextRequest) {
  using gateway::detail::belongsToRequest;
  Response.set("Id", "earlier");
  CHECK(!belongsToRequest(Response, Headers, "current", false));
  CHECK(!belongsToRequest(Response, Headers, "current", true));
  Response.set("Id", "current");
  CHECK(belongsToRequest(Response, Headers, "current", false));
  Response.erase("Id");
  CHECK(!belongsToRequest(Response, Headers, "current", false));
  CHECK(belongsToRequest(Response, Headers, "current", true));
  CHECK(!belongsToRequest(Response, Headers, "", false));
  CHECK(belongsToRequest(Response, Headers, "", true));
}

// Guards against values of a faulty target that stop all requests to it or
// that are read as a pause, and against a pause that counts as a failure.
TEST(gateway_outcome, ReadsThePauseOfA503Only) {
  using gateway::detail::readTargetSignals;
  for (const unsigned Status : {200U, 421U, 429U, 500U}) {
    Response = {static_cast<boost::beast::http::status>(Status), 11};
    Response.set("Retry-After", "1.5");
    CHECK(!readTargetSignals(Response, Headers).Pause);
  }
  Response = {boost::beast::http::status::service_unavailable, 11};
  Response.set("Retry-After", "1.5");
  CHECK(readTargetSignals(Response, Headers).Pause == 1500ms);
  Response.set("Not-Run", "1");
  CHECK(readTargetSignals(Response, Headers).Pause == 1500ms);
  const auto Outcome = gateway::detail::classifyResult(Response, Headers);
  CHECK(std::get<gateway::detail::not_executed>(Outcome).Result ==
        placement::send_result::PauseRequested);
  Response.set("Retry-After", "0");
  CHECK(!readTargetSignals(Response, Headers).Pause);
  for (const char *Text : {"-1", "soon", "", ".", "1e9", "0x9", "1.2.3", "inf",
                           "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    Response.set("Retry-After", Text);
    const auto Signals = readTargetSignals(Response, Headers);
    CHECK(!Signals.Pause && Signals.UnusualRetryAfter == Text);
  }
  Response.set("Retry-After", "86400");
  const auto Signals = readTargetSignals(Response, Headers);
  CHECK(Signals.Pause == gateway::detail::MaxPause);
  CHECK(!Signals.UnusualRetryAfter.empty());
}

// Guards against a leaving target that is missed in some kind of response, and
// against one that another target at its address reports.
TEST(gateway_outcome, ReadsLeavingFromEveryResponseOfTheTarget) {
  using gateway::detail::readTargetSignals;
  for (const unsigned Status : {200U, 404U, 429U, 500U, 503U}) {
    Response.result(Status);
    Response.erase("Leaving");
    CHECK(!readTargetSignals(Response, Headers).Leaving);
    Response.set("Leaving", "1");
    CHECK(readTargetSignals(Response, Headers).Leaving);
  }
  Response.set("Leaving", "0");
  CHECK(!readTargetSignals(Response, Headers).Leaving);
  Response.set("Leaving", "1");
  Response.result(421);
  CHECK(!readTargetSignals(Response, Headers).Leaving);
}

TEST(gateway_outcome, ClosedConnectionsHaveAnUnknownOutcome) {
  using namespace gateway::detail;
  const auto IsUnknown = [this](net::channel_fault Fault, bool NothingSent) {
    return std::holds_alternative<unknown_outcome>(
        classifyResult(net::channel_error{Fault, NothingSent}, Headers));
  };
  CHECK(IsUnknown(net::channel_fault::ClosedBeforeResponse, false));
  CHECK(IsUnknown(net::channel_fault::DeadlinePassed, false));
  CHECK(IsUnknown(net::channel_fault::ExcessBytes, false));
  CHECK(IsUnknown(net::channel_fault::MemoryLimit, false));
  CHECK(!IsUnknown(net::channel_fault::ConnectRefused, true));
  CHECK(!IsUnknown(net::channel_fault::Withdrawn, true));
}

// Guards against hop-by-hop headers that are forwarded to a target, and
// against requests that another target could execute.
TEST(gateway_outcome, TargetRequestsCarryTargetAndTimeLeft) {
  net::http_request Request(boost::beast::http::verb::post, "/a?b=c", 11);
  Request.set("Host", "h");
  Request.set("Connection", "X-Hop, keep-alive");
  Request.set("X-Hop", "1");
  Request.set("X-Kept", "1");
  Request.set("Deadline", "9000");
  Request.body() = "body";
  auto TargetRequest = gateway::detail::toTargetRequest(
      Request, Headers, base::target_id("i-1"), 250ms);
  CHECK(TargetRequest["X-Hop"].empty());
  CHECK(TargetRequest["X-Kept"] == "1" && TargetRequest["Host"] == "h");
  CHECK(TargetRequest["Expected"] == "i-1" &&
        TargetRequest["Deadline"] == "250");
  // The channel sends the bytes of the request itself.
  CHECK(TargetRequest.body().empty() && TargetRequest["Content-Length"] == "4");
  gateway::detail::setTimeLeft(TargetRequest, Headers, 90ms);
  CHECK(TargetRequest["Deadline"] == "90");
  gateway::detail::setTimeLeft(TargetRequest, Headers, -5ms);
  CHECK(TargetRequest["Deadline"] == "0");
}

// Guards against an exception of the HTTP library, which refuses the body of a
// request that a caller may send.
TEST(gateway_outcome, ATraceRequestMayHaveABody) {
  net::http_request Request(boost::beast::http::verb::trace, "/a", 11);
  Request.body() = "body";
  const auto TargetRequest = gateway::detail::toTargetRequest(
      Request, Headers, base::target_id("i-1"), 250ms);
  CHECK(TargetRequest["Content-Length"] == "4");
}

// Guards against a traffic split that holds only on average: here it must
// hold in every 20 requests.
TEST(gateway_outcome, TrafficSplitHoldsInEverySequence) {
  routing::route Route;
  Route.Name = "r";
  Route.Services = {{base::service_name("a"), 90},
                    {base::service_name("b"), 10}};
  gateway::detail::weighted_round_robin Selector;
  for (int Run = 0; Run < 5; ++Run) {
    std::size_t RequestsToSecond = 0;
    for (int I = 0; I < 20; ++I)
      RequestsToSecond += Selector.next(Route);
    LONGS_EQUAL(2, RequestsToSecond);
  }
}

// Guards against shares that depend on earlier weights: a service whose weight
// was set to 0 must get nothing, whatever the scale of the weights before.
TEST(gateway_outcome, ChangedWeightsHoldFromTheFirstRequest) {
  routing::route Route;
  Route.Name = "r";
  Route.Services = {{base::service_name("a"), 50},
                    {base::service_name("b"), 50}};
  gateway::detail::weighted_round_robin Selector;
  Selector.next(Route);
  Route.Services = {{base::service_name("a"), 1}, {base::service_name("b"), 0}};
  for (int I = 0; I < 200; ++I)
    LONGS_EQUAL(0, Selector.next(Route));
  Route.Services = {{base::service_name("b"), 1}, {base::service_name("a"), 3}};
  std::size_t RequestsToSecond = 0;
  for (int I = 0; I < 40; ++I)
    RequestsToSecond += Selector.next(Route);
  LONGS_EQUAL(30, RequestsToSecond);
}

// Guards against idle connections of all entries that use up the connection
// limit of a target, so that it resets the connections of requests.
TEST(gateway_state, IdleConnectionsFitTheLimitOfATarget) {
  CHECK(100 * gateway::detail::idleConnectionLimit(360, 100) <= 360);
  CHECK(10 * gateway::detail::idleConnectionLimit(100, 10) <= 100);
  LONGS_EQUAL(1, gateway::detail::idleConnectionLimit(5, 100));
  CHECK(gateway::detail::idleConnectionLimit(360, 1) >= 8);
  CHECK(gateway::detail::idleConnectionLimit(std::nullopt, 100) >= 8);
}

// Guards against store calls that grow in proportion to the number of
// entries, and against delays after which a change takes effect too late.
TEST(gateway_state, ManyEntriesWatchTheStoreLessOften) {
  using gateway::detail::watchDelay;
  CHECK(watchDelay(9) == 250ms);
  CHECK(watchDelay(24) == 500ms);
  CHECK(watchDelay(1000) < 1s);
}

// Guards against a directory that returns a single entry to a whole region
// before the request rate is measured, and against a rate that is used before
// it covers the window.
TEST(gateway_state, SlotsDetermineTheRateUntilItIsMeasured) {
  auto Target = makeTarget("a");
  Target.Slots = 4;
  TargetRegistry.upsert(Target, Now);
  const base::service_name Service("s");
  const base::region_name Region("r");
  DOUBLES_EQUAL(8,
                gateway::detail::servableRate(TargetRegistry, Service, Region,
                                              500ms, Now),
                1e-9);
  DOUBLES_EQUAL(0,
                gateway::detail::servableRate(TargetRegistry, Service,
                                              base::region_name("q"), 500ms,
                                              Now),
                1e-9);
  gateway::detail::demand_history History;
  CHECK(!History.isMeasured("s", Now));
  History.recordRate("s", 3, Now);
  CHECK(!History.isMeasured("s", Now + 1s));
  CHECK(History.isMeasured("s", Now + gateway::detail::DemandWindow));
  History.recordRate("s", 0, Now + 5s);
  CHECK(!History.isMeasured("s", Now + 20s));
}
