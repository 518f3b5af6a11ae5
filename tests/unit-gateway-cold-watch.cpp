#include "gateway/detail/cold_watch.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"

#include <fcntl.h>
#include <unistd.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::cold_watch;

static const base::domain_name Domain("z");
static const base::region_name Region("r");
static const base::target_id Id("i-1");

static gateway::header_names headerNames() {
  gateway::header_names Headers;
  Headers.RequestId = "Id";
  Headers.Deadline = "Deadline";
  Headers.ExpectedTarget = "Expected";
  Headers.TargetId = "Target";
  Headers.ColdTimeLeft = "Cold";
  Headers.NotExecuted = "NotExecuted";
  return Headers;
}

static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  Configuration.Version = std::stoull(Document);
  Configuration.Services.push_back(
      {base::service_name("s"), "/health", 9, 3s, 1});
  return Configuration;
}

TEST_GROUP(gateway_cold_watch) {
  boost::asio::io_context Loop;
  net::response_memory Memory{1U << 28U};
  gateway::header_names Headers = headerNames();
  base::boot_time Now = base::boot_clock::now();
  placement::target_registry TargetRegistry{{{Domain, Region}}};
  gateway::detail::steering_state State{TargetRegistry, decode, 2s,
                                        [this] { return Now; }};
  gateway::detail::channel_pool Pool{Loop, Memory};
  metrics::registry Metrics;
  int LogFile = open("/dev/null", O_WRONLY | O_CLOEXEC);
  telemetry::decision_log Log{LogFile, "test"};
  const cold_watch::checker Own{{"10.0.0.1", 1}, Region};
  const cold_watch::checker Other{{"10.0.0.2", 1}, Region};
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::string ColdMs = "20000";
  std::string TargetId = "i-1";
  int Checks = 0;
  bool Full = false;
  bool Rejects = false;
  /// Checks that wait for a slot of the full target.
  std::vector<std::shared_ptr<net::pending_request>> Waiting;
  net::http_server Target{
      Loop, 10, [] { return base::message_limits(); },
      [this](const std::shared_ptr<net::pending_request> &Request) {
        ++Checks;
        if (Full)
          Waiting.push_back(Request);
        else
          answer(Request);
      }};

  void answer(const std::shared_ptr<net::pending_request> &Request) {
    auto Response = net::makeResponse(Rejects ? 503 : 200);
    Response.set("Id", Request->request()["Id"]);
    Response.set("Target", TargetId);
    if (Rejects)
      Response.set("NotExecuted", "1");
    else
      Response.set("Cold", ColdMs);
    Request->answer(std::move(Response));
  }

  void setup() override {
    Target.listen(Address);
    State.apply(routing::configuration_published{"7"}, {0, 1});
    routing::target Record;
    Record.Id = Id;
    Record.Service = base::service_name("s");
    Record.Address = Address;
    Record.Domain = Domain;
    State.apply(routing::target_published{Record}, {0, 2});
    State.confirmVersion({0, 2});
  }
  void teardown() override {
    Waiting.clear();
    Target.stopAccepting();
    Pool.closeIdle(Id);
    Loop.restart();
    Loop.poll();
    close(LogFile);
  }

  void check(cold_watch & Watch,
             const std::vector<cold_watch::checker> &Others = {}) {
    Watch.tick(Others, Now);
    Loop.restart();
    Loop.run_for(100ms);
  }
  bool isCold() { return TargetRegistry.find(Id)->ColdUntil > Now; }
  bool mayBeCold() { return TargetRegistry.find(Id)->MayBeColdUntil > Now; }
  cold_watch watchOf(const cold_watch::checker &Entry) {
    return {Headers, State, TargetRegistry, Pool, Metrics, Log, Entry};
  }
};

// Guards against cold targets that get the load of warm ones, because the store
// is silent and nobody asks the targets.
TEST(gateway_cold_watch, TargetsAreAskedWhileTheStoreIsSilent) {
  cold_watch Watch = watchOf(Own);
  check(Watch);
  LONGS_EQUAL(0, Checks);
  Now += 4s;
  check(Watch);
  LONGS_EQUAL(1, Checks);
  CHECK(isCold());
  // A cold target has no requests to spare for checks.
  check(Watch);
  LONGS_EQUAL(1, Checks);
}

// Guards against targets that all entries check, which a cold one does not
// tolerate, and against targets that none checks.
TEST(gateway_cold_watch, OneEntryChecksATarget) {
  Now += 4s;
  ColdMs = "0";
  cold_watch First = watchOf(Own);
  cold_watch Second = watchOf(Other);
  check(First, {Other, {{"10.0.0.3", 1}, base::region_name("q")}});
  check(Second, {Own, {{"10.0.0.3", 1}, base::region_name("q")}});
  LONGS_EQUAL(1, Checks);
  CHECK(!isCold());
}

// Guards against a target that counts as cold because another one, at its
// address, says so, and against values that are no time.
TEST(gateway_cold_watch, OtherTargetsAndOddValuesAreIgnored) {
  Now += 4s;
  cold_watch Watch = watchOf(Own);
  TargetId = "i-2";
  check(Watch);
  TargetId = "i-1";
  for (const char *Odd : {"-5", "soon", "nan", "1e999x"}) {
    ColdMs = Odd;
    check(Watch);
  }
  LONGS_EQUAL(5, Checks);
  CHECK(!isCold());
  ColdMs = "1e300";
  check(Watch);
  CHECK(isCold());
  CHECK(TargetRegistry.find(Id)->ColdUntil <= Now + 10min + 1s);
}

// Guards against entries that are not told of a cold target, and against a
// message for an earlier incarnation.
TEST(gateway_cold_watch, OtherEntriesAreTold) {
  std::vector<std::string> Messages;
  State.setColdCallback(
      [&](const gateway::detail::cold_notice &Notice, bool PassedOn) {
        CHECK(!PassedOn);
        Messages.push_back(gateway::detail::encode(
            gateway::detail::cold_update{Notice.Target, 2s}));
      });
  Now += 4s;
  cold_watch Watch = watchOf(Own);
  check(Watch);
  LONGS_EQUAL(1, Messages.size());
  placement::target_registry OtherRegistry{{{Domain, Region}}};
  gateway::detail::steering_state OtherState{OtherRegistry, decode, 2s,
                                             [this] { return Now; }};
  CHECK(OtherState.adoptState(State.encodeSnapshot()));
  OtherRegistry.find(Id)->ColdUntil = {};
  OtherState.adoptState(Messages[0]);
  CHECK(OtherRegistry.find(Id)->ColdUntil == Now + 2s);
  OtherRegistry.find(Id)->ColdUntil = {};
  OtherRegistry.find(Id)->Target.StartedAtMs = 9;
  OtherState.adoptState(Messages[0]);
  CHECK(OtherRegistry.find(Id)->ColdUntil == base::boot_time{});
}

// Guards against a full target that becomes cold and gets the load of a warm
// one until it answers a check, which waits for a slot behind that load.
TEST(gateway_cold_watch, ATargetThatIsLateMayBeCold) {
  std::vector<std::string> Messages;
  State.setColdCallback([&](const gateway::detail::cold_notice &Notice, bool) {
    Messages.push_back(gateway::detail::encode(gateway::detail::cold_update{
        Notice.Target,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(Notice.ColdUntil, Now) - Now),
        Notice.Finding}));
  });
  placement::target_registry OtherRegistry{{{Domain, Region}}};
  gateway::detail::steering_state OtherState{OtherRegistry, decode, 2s,
                                             [this] { return Now; }};
  CHECK(OtherState.adoptState(State.encodeSnapshot()));
  const auto IsLimitedElsewhere = [&] {
    return placement::target_registry::isCold(*OtherRegistry.find(Id), Now);
  };
  Now += 4s;
  Full = true;
  ColdMs = "0";
  cold_watch Watch = watchOf(Own);
  check(Watch);
  CHECK(!mayBeCold());
  Now += 250ms;
  check(Watch);
  LONGS_EQUAL(1, Checks);
  CHECK(mayBeCold());
  LONGS_EQUAL(1, Messages.size());
  OtherState.adoptState(Messages[0]);
  CHECK(IsLimitedElsewhere());
  answer(Waiting[0]);
  Loop.restart();
  Loop.run_for(100ms);
  CHECK(!mayBeCold());
  LONGS_EQUAL(2, Messages.size());
  OtherState.adoptState(Messages[1]);
  CHECK(!IsLimitedElsewhere());
}

// Guards against a full target that counts as warm because it rejects the check
// or does not answer it.
TEST(gateway_cold_watch, ATargetThatRejectsACheckMayBeCold) {
  Now += 4s;
  Rejects = true;
  cold_watch Watch = watchOf(Own);
  check(Watch);
  CHECK(mayBeCold());
  CHECK(!isCold());
  Rejects = false;
  ColdMs = "0";
  check(Watch);
  CHECK(!mayBeCold());
  Target.stopAccepting();
  Pool.closeIdle(Id);
  check(Watch);
  CHECK(mayBeCold());
}
