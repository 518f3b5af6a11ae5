#include "platform/json_fields.hpp"
#include "platform/store_feed.hpp"
#include "platform/wire.hpp"
#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/query_field.hpp"

#include <algorithm>
#include <deque>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using base::store_version;
using nlohmann::json;

/// \brief What the client of the store has delivered.
struct recording_sink : gateway::change_sink {
  struct listing {
    std::vector<routing::store_change> Items;
    store_version AsOf;
  };

  void replaceAll(const std::vector<routing::store_change> &Items,
                  std::uint64_t /*NewestRevision*/,
                  const store_version &AsOf) override {
    Listings.push_back({Items, AsOf});
  }
  void apply(const routing::store_change & /*Change*/,
             const store_version &Version) override {
    Applied.push_back(Version);
  }
  void applyEarly(const routing::store_change & /*Change*/) override {
    ++EarlyItems;
  }
  void confirmVersion(const store_version &AsOf) override {
    Confirmed.push_back(AsOf);
  }
  void reportFailure(const std::string &Reason) override {
    Failures.push_back(Reason);
  }

  std::vector<listing> Listings;
  std::vector<store_version> Applied;
  std::vector<store_version> Confirmed;
  std::vector<std::string> Failures;
  std::size_t EarlyItems = 0;
};

/// \brief A call that the store has received.
struct received_call {
  std::string Target;
  json Body;
  std::shared_ptr<net::pending_request> Pending;

  bool isFor(const std::string &Path) const {
    return Target.compare(0, Path.size(), Path) == 0;
  }
};

/// \brief A store that answers by itself, but for watches and the calls that
/// are held.
struct scripted_store {
  boost::asio::io_context &Loop;
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  /// Stated in answers; without it the header is missing.
  std::optional<std::uint64_t> Era = 1;
  std::uint64_t Revision = 50;
  std::uint64_t NextLease = 10;
  /// Duration of the leases that it gives out.
  std::chrono::seconds LeaseDuration{600};
  /// Keys of items without a value.
  std::vector<std::string> Keys;
  /// Path of calls that are held besides watches.
  std::string HeldPath;
  /// Called for each page before it is answered.
  std::function<void(const std::string &Prefix)> OnPage = [](const auto &) {};
  std::vector<received_call> Calls;
  std::deque<received_call> Held;
  net::http_server Server{
      Loop, 64, [] { return base::message_limits(); },
      [this](const std::shared_ptr<net::pending_request> &Pending) {
        receive(Pending);
      }};

  explicit scripted_store(boost::asio::io_context &Loop) : Loop(Loop) {
    CHECK(Server.listen(Address));
  }

  void receive(const std::shared_ptr<net::pending_request> &Pending) {
    const net::http_request &Request = Pending->request();
    Calls.push_back({std::string(Request.target()),
                     platform::parseDocument(Request.body()), Pending});
    const received_call &Call = Calls.back();
    if (Call.isFor("/api/kv-watch") ||
        (!HeldPath.empty() && Call.isFor(HeldPath)))
      Held.push_back(Call);
    else
      answer(Call, 200, bodyFor(Call));
  }

  json bodyFor(const received_call &Call) {
    if (Call.isFor("/api/kv-lease"))
      return {{"lease", NextLease++}, {"ttl_s_time", LeaseDuration.count()}};
    if (Call.isFor("/api/kv-txn"))
      return {{"revision", ++Revision}};
    if (!Call.isFor("/api/kv-range"))
      return json::object();
    const std::string Prefix =
        test_support::queryField(Call.Target, "path_prefix");
    OnPage(Prefix);
    json Items = json::array();
    for (const std::string &Key : Keys)
      if (Key.compare(0, Prefix.size(), Prefix) == 0)
        Items.push_back({{"key", Key}, {"value", ""}, {"revision", 1}});
    return {{"items", Items}, {"has_more", false}, {"as_of", Revision}};
  }

  void answer(const received_call &Call, unsigned Status, const json &Body) {
    net::http_response Response =
        net::makeResponse(Status, Body.dump(), "application/json");
    if (Era)
      Response.set("Store-Era", std::to_string(*Era));
    Call.Pending->answer(std::move(Response));
  }

  /// Answers the call that was held first.
  void answerHeld(unsigned Status, const json &Body) {
    CHECK(!Held.empty());
    answer(Held.front(), Status, Body);
    Held.pop_front();
  }

  std::vector<received_call> callsFor(const std::string &Path) const {
    std::vector<received_call> Found;
    std::copy_if(Calls.begin(), Calls.end(), std::back_inserter(Found),
                 [&](const received_call &Call) { return Call.isFor(Path); });
    return Found;
  }
};

/// \brief Log lines that hold a text.
struct log_lines : google::LogSink {
  explicit log_lines(std::string Text) : Text(std::move(Text)) {
    google::AddLogSink(this);
  }
  ~log_lines() override { google::RemoveLogSink(this); }
  log_lines(const log_lines &) = delete;
  log_lines &operator=(const log_lines &) = delete;

  void send(google::LogSeverity /*Severity*/, const char * /*FullFilename*/,
            const char * /*BaseFilename*/, int /*Line*/,
            const struct ::tm * /*Time*/, const char *Message,
            std::size_t Size) override {
    std::string Line(Message, Size);
    if (Line.find(Text) != std::string::npos)
      Lines.push_back(std::move(Line));
  }

  std::string Text;
  std::vector<std::string> Lines;
};

static const std::string Evacuation = "op/evacuate/z1";

/// A response to a watch with one event.
static json watchBody(std::uint64_t EventRevision, std::uint64_t AsOf) {
  return {{"events", json::array({{{"key", Evacuation},
                                   {"value", ""},
                                   {"revision", EventRevision}}})},
          {"as_of", AsOf}};
}

/// The client of the store, which follows era 1 from revision 50 on.
TEST_GROUP(platform_store_feed) {
  boost::asio::io_context Loop;
  net::response_memory Memory{1U << 28U};
  scripted_store Store{Loop};
  recording_sink Sink;
  log_lines Restored{"StoreRestored"};
  platform::store_feed Feed{Loop, Store.Address, Memory};

  void setup() override {
    Feed.start(Sink, "edge-1", {"127.0.0.1", 1});
    Feed.setWatching(true);
  }

  void teardown() override {
    Feed.stop();
    Store.Server.stopAccepting();
    Store.Held.clear();
    Store.Calls.clear();
    Loop.restart();
    Loop.poll();
  }

  bool eventually(const std::function<bool()> &Condition) {
    const auto Deadline = base::boot_clock::now() + 4s;
    while (!Condition()) {
      if (base::boot_clock::now() > Deadline)
        return false;
      Loop.restart();
      Loop.run_one_for(10ms);
    }
    return true;
  }

  void run(std::chrono::milliseconds Time) {
    Loop.restart();
    Loop.run_for(Time);
  }

  /// Waits until the store holds a watch after a revision.
  void awaitWatchAfter(std::uint64_t Revision) {
    const auto Found = [&] {
      return std::any_of(
          Store.Held.begin(), Store.Held.end(), [&](const received_call &Call) {
            return Call.isFor("/api/kv-watch") &&
                   test_support::queryField(Call.Target, "after") ==
                       std::to_string(Revision);
          });
    };
    CHECK_TRUE_TEXT(
        eventually(Found),
        ("no watch after revision " + std::to_string(Revision)).c_str());
  }

  /// Waits until the entry is registered for the given number of times.
  void awaitRegistrations(std::size_t Count) {
    CHECK_TRUE_TEXT(
        eventually(
            [&] { return Store.callsFor("/api/kv-txn").size() >= Count; }),
        ("not registered " + std::to_string(Count) + " times").c_str());
    run(20ms);
  }

  std::uint64_t leaseOfRegistration(std::size_t Index) {
    const json Write =
        Store.callsFor("/api/kv-txn").at(Index).Body.at("writes").at(0);
    STRCMP_EQUAL("entries/edge-1", Write.at("key").get<std::string>().c_str());
    return Write.at("lease").get<std::uint64_t>();
  }

  /// The store comes back from a copy.
  void restore(std::uint64_t Era, std::uint64_t Revision) {
    Store.Era = Era;
    Store.Revision = Revision;
  }

  void checkVersion(std::uint64_t Era, std::uint64_t Revision,
                    const store_version &Version) {
    STRCMP_EQUAL(base::toString({Era, Revision}).c_str(),
                 base::toString(Version).c_str());
  }
};

// Guards against a return of the store after which the entry stays with the
// revisions of before: it lists, finds the listing too old and lists again.
TEST(platform_store_feed, AWatchThatHasNoHistoryAfterAReturnLeadsToTheNewEra) {
  awaitWatchAfter(50);
  restore(2, 45);
  Store.answerHeld(410, json::object());
  awaitWatchAfter(45);
  CHECK_EQUAL(2, Sink.Listings.size());
  checkVersion(1, 50, Sink.Listings.front().AsOf);
  checkVersion(2, 45, Sink.Listings.back().AsOf);
  CHECK_EQUAL(2, Feed.callCounts().Era);
}

// Guards against an entry that learns of the return from a refusal, and goes
// on with the history of before.
TEST(platform_store_feed, ARefusalStatesTheNewEraToo) {
  std::uint64_t Era = 1;
  for (const unsigned Status : {404U, 412U, 429U, 503U}) {
    awaitWatchAfter(Era == 1 ? 50 : 45);
    restore(++Era, 45);
    Store.answerHeld(Status, json::object());
    CHECK_TRUE(eventually([&] { return Sink.Listings.size() == Era; }));
    checkVersion(Era, 45, Sink.Listings.back().AsOf);
  }
}

// Guards against changes that are missed for good: the store has given out the
// revision after which the entry watches again, and answers from there on.
TEST(platform_store_feed, EventsAfterAReusedRevisionAreNotUsed) {
  awaitWatchAfter(50);
  restore(2, 60);
  Store.answerHeld(200, watchBody(58, 60));
  awaitWatchAfter(60);
  CHECK_EQUAL(0, Sink.Applied.size());
  CHECK_EQUAL(0, Sink.Confirmed.size());
  CHECK_EQUAL(2, Sink.Listings.size());
  checkVersion(2, 60, Sink.Listings.back().AsOf);
}

// Guards against the same without any event: the revision alone confirms
// nothing.
TEST(platform_store_feed, ARevisionOfTheNewEraConfirmsNothingOfTheOldOne) {
  awaitWatchAfter(50);
  restore(2, 50);
  Store.answerHeld(200, {{"events", json::array()}, {"as_of", 50}});
  CHECK_TRUE(eventually([&] { return Sink.Listings.size() == 2; }));
  CHECK_EQUAL(0, Sink.Confirmed.size());
  checkVersion(2, 50, Sink.Listings.back().AsOf);
}

// Guards against events of the new era that are delivered without it.
TEST(platform_store_feed, EventsCarryTheEraOfTheirHistory) {
  awaitWatchAfter(50);
  restore(2, 45);
  Store.answerHeld(410, json::object());
  awaitWatchAfter(45);
  Store.answerHeld(200, watchBody(46, 47));
  awaitWatchAfter(47);
  CHECK_EQUAL(1, Sink.Applied.size());
  checkVersion(2, 46, Sink.Applied.back());
  checkVersion(2, 47, Sink.Confirmed.back());
}

// Guards against a listing that is half of before the return and half of after
// it.
TEST(platform_store_feed, AListingBeginsAgainIfTheEraRisesBetweenTwoPages) {
  Store.Keys = {Evacuation};
  Store.OnPage = [&](const std::string &Prefix) {
    if (Prefix != platform::BlockPrefix || Store.Era == 2)
      return;
    restore(2, 45);
    Store.Keys.clear();
  };
  awaitWatchAfter(45);
  CHECK_EQUAL(1, Sink.EarlyItems);
  CHECK_EQUAL(1, Sink.Listings.size());
  checkVersion(2, 45, Sink.Listings.back().AsOf);
  CHECK_EQUAL(0, Sink.Listings.back().Items.size());
}

// Guards against a page that is kept although it belongs to the era before,
// because it does not state its revision.
TEST(platform_store_feed, APageWithoutARevisionBelongsToItsEraToo) {
  Store.Keys = {Evacuation};
  Store.Revision = 0;
  Store.OnPage = [&](const std::string &Prefix) {
    if (Prefix != platform::BlockPrefix || Store.Era == 2)
      return;
    restore(2, 45);
    Store.Keys.clear();
  };
  awaitWatchAfter(45);
  checkVersion(2, 45, Sink.Listings.back().AsOf);
  CHECK_EQUAL(0, Sink.Listings.back().Items.size());
}

// Guards against an entry that goes back to the era before because of a
// response that arrives late.
TEST(platform_store_feed, ALateWatchResponseOfAnEarlierEraIsAFailure) {
  awaitWatchAfter(50);
  restore(2, 45);
  Store.answerHeld(410, json::object());
  awaitWatchAfter(45);
  const std::size_t Failures = Sink.Failures.size();
  Store.Era = 1;
  Store.answerHeld(200, watchBody(70, 71));
  Store.Era = 2;
  awaitWatchAfter(45);
  CHECK_EQUAL(Failures + 1, Sink.Failures.size());
  CHECK_EQUAL(0, Sink.Applied.size());
  CHECK_EQUAL(0, Sink.Confirmed.size());
  CHECK_EQUAL(2, Sink.Listings.size());
  CHECK_EQUAL(2, Feed.callCounts().Era);
}

// Guards against the same in a listing.
TEST(platform_store_feed, ALatePageOfAnEarlierEraIsReadAgain) {
  awaitWatchAfter(50);
  restore(2, 45);
  bool WasLate = false;
  Store.OnPage = [&](const std::string &Prefix) {
    const bool IsLate = Prefix == platform::BlockPrefix && !WasLate;
    WasLate = WasLate || IsLate;
    restore(IsLate ? 1 : 2, IsLate ? 70 : 45);
    Store.Keys = IsLate ? std::vector<std::string>{"blocked/00000000000000ab"}
                        : std::vector<std::string>{};
  };
  Store.answerHeld(410, json::object());
  awaitWatchAfter(45);
  CHECK_TRUE(WasLate);
  CHECK_EQUAL(2, Sink.Listings.size());
  checkVersion(2, 45, Sink.Listings.back().AsOf);
  CHECK_EQUAL(0, Sink.EarlyItems);
}

// Guards against a response of something else than the store, which states no
// era.
TEST(platform_store_feed, AResponseWithoutAnEraIsAFailure) {
  awaitWatchAfter(50);
  Store.Era = std::nullopt;
  Store.answerHeld(200, watchBody(70, 71));
  Store.Era = 1;
  awaitWatchAfter(50);
  CHECK_EQUAL(1, Sink.Failures.size());
  CHECK_EQUAL(0, Sink.Applied.size());
  CHECK_EQUAL(0, Sink.Confirmed.size());
  CHECK_EQUAL(1, Sink.Listings.size());
}

// Guards against an entry that lists, or watches from the old revision,
// although another one has told it of the new era, and against the use of
// events after the old revision: those between are missing.
TEST(platform_store_feed, AStateOfANewerEraDuringAWatchIsContinuedFrom) {
  awaitWatchAfter(50);
  Feed.skipTo({2, 40});
  restore(2, 60);
  Store.answerHeld(200, watchBody(58, 60));
  awaitWatchAfter(40);
  CHECK_EQUAL(0, Sink.Applied.size());
  CHECK_EQUAL(0, Sink.Confirmed.size());
  CHECK_EQUAL(1, Sink.Listings.size());
  Store.answerHeld(200, watchBody(58, 60));
  awaitWatchAfter(60);
  checkVersion(2, 58, Sink.Applied.back());
}

// Guards against the same if the store has answered before its return.
TEST(platform_store_feed, AnEarlierResponseAfterAStateOfANewerEraIsNotUsed) {
  awaitWatchAfter(50);
  Feed.skipTo({2, 40});
  Store.answerHeld(200, watchBody(58, 60));
  Store.Era = 2;
  awaitWatchAfter(40);
  CHECK_EQUAL(0, Sink.Applied.size());
  CHECK_EQUAL(0, Sink.Confirmed.size());
}

// Guards against a state of the era before that stops the listing of the new
// one: where entries learn of the return at different times, each such state
// would delay it.
TEST(platform_store_feed, AStateOfAnEarlierEraDoesNotStopTheListing) {
  awaitWatchAfter(50);
  restore(2, 45);
  Store.HeldPath = "/api/kv-range";
  Store.answerHeld(410, json::object());
  CHECK_TRUE(eventually([&] { return !Store.Held.empty(); }));
  Feed.skipTo({1, 55});
  Store.HeldPath.clear();
  Store.answerHeld(200, {{"items", json::array()},
                         {"has_more", false},
                         {"as_of", Store.Revision}});
  awaitWatchAfter(45);
  CHECK_EQUAL(2, Store.callsFor("/api/kv-watch").size());
  checkVersion(2, 45, Sink.Listings.back().AsOf);
}

// Guards against a second return that is taken for the first one.
TEST(platform_store_feed, TwoReturnsInARowLeadToTheSecondOne) {
  awaitRegistrations(1);
  awaitWatchAfter(50);
  restore(2, 45);
  Store.OnPage = [&](const std::string &Prefix) {
    if (Prefix == platform::TargetPrefix && Store.Era == 2)
      restore(3, 40);
  };
  Store.answerHeld(410, json::object());
  awaitWatchAfter(40);
  CHECK_EQUAL(2, Sink.Listings.size());
  checkVersion(3, 40, Sink.Listings.back().AsOf);
  CHECK_EQUAL(2, Restored.Lines.size());
  awaitRegistrations(2);
}

// Guards against an entry that nobody finds after a return of the store: its
// registration, or the lease of it, is gone. Ids of leases are given out again.
TEST(platform_store_feed, TheRegistrationIsWrittenAgainUnderANewLease) {
  awaitRegistrations(1);
  CHECK_EQUAL(10, leaseOfRegistration(0));
  awaitWatchAfter(50);
  restore(2, 45);
  Store.NextLease = 10;
  Store.answerHeld(410, json::object());
  awaitRegistrations(2);
  CHECK_EQUAL(2, Store.callsFor("/api/kv-lease").size());
  CHECK_EQUAL(10, leaseOfRegistration(1));
  run(500ms);
  CHECK_EQUAL(2, Store.callsFor("/api/kv-txn").size());
  CHECK_EQUAL(0, Store.callsFor("/api/kv-keep").size());
  CHECK_EQUAL(0, Store.callsFor("/api/kv-lease-end").size());
}

// Guards against the same where another entry watches the store and this one
// does not.
TEST(platform_store_feed, AStateOfANewerEraRenewsTheRegistration) {
  awaitRegistrations(1);
  Feed.setWatching(false);
  restore(2, 45);
  Feed.skipTo({2, 45});
  awaitRegistrations(2);
  CHECK_EQUAL(11, leaseOfRegistration(1));
}

// Guards against a registration that was accepted before the return, and whose
// response arrives after it: it must not count as written.
TEST(platform_store_feed, ARegistrationUnderWayAtTheReturnIsWrittenAgain) {
  Store.HeldPath = "/api/kv-txn";
  awaitWatchAfter(50);
  const received_call Watch = Store.Held.front();
  Store.Held.clear();
  awaitRegistrations(1);
  const received_call Write = Store.Held.front();
  Store.Held.clear();
  Store.HeldPath.clear();
  restore(2, 45);
  Store.answer(Watch, 410, json::object());
  CHECK_TRUE(eventually([&] { return Feed.callCounts().Era == 2; }));
  Store.Era = 1;
  Store.answer(Write, 200, {{"revision", 51}});
  Store.Era = 2;
  awaitRegistrations(2);
  CHECK_EQUAL(11, leaseOfRegistration(1));
}

// Guards against a registration under the lease id of the era before that the
// store carries out in the new one: the lease belongs to somebody else.
TEST(platform_store_feed, AWriteInAnotherEraThanItsLeaseIsDoneAgain) {
  Store.HeldPath = "/api/kv-txn";
  awaitRegistrations(1);
  Store.HeldPath.clear();
  restore(2, 45);
  const auto Write =
      std::find_if(Store.Held.begin(), Store.Held.end(),
                   [](const auto &Call) { return Call.isFor("/api/kv-txn"); });
  Store.answer(*Write, 200, {{"revision", 46}});
  awaitRegistrations(2);
  CHECK_EQUAL(11, leaseOfRegistration(1));
}

// Guards against the same if the entry has a lease of the new era by then: the
// late write has replaced its registration.
TEST(platform_store_feed, ALateWriteUnderAnEarlierLeaseIsReplaced) {
  Store.HeldPath = "/api/kv-txn";
  awaitWatchAfter(50);
  awaitRegistrations(1);
  const received_call Watch = Store.Held.at(0);
  const received_call Write = Store.Held.at(1);
  Store.Held.clear();
  Store.HeldPath.clear();
  restore(2, 45);
  Store.answer(Watch, 410, json::object());
  awaitRegistrations(2);
  Store.answer(Write, 200, {{"revision", 60}});
  awaitRegistrations(3);
  CHECK_EQUAL(12, leaseOfRegistration(2));
}

// Guards against a lease of the era before whose id is used in the new one.
TEST(platform_store_feed, ALeaseUnderWayAtTheReturnIsNotUsed) {
  Store.HeldPath = "/api/kv-lease";
  awaitWatchAfter(50);
  CHECK_TRUE(eventually([&] { return Store.Held.size() == 2; }));
  const received_call Watch = Store.Held.at(0);
  const received_call Lease = Store.Held.at(1);
  Store.Held.clear();
  Store.HeldPath.clear();
  restore(2, 45);
  Store.answer(Watch, 410, json::object());
  CHECK_TRUE(eventually([&] { return Feed.callCounts().Era == 2; }));
  Store.Era = 1;
  Store.answer(Lease, 200, {{"lease", 99}, {"ttl_s_time", 600}});
  Store.Era = 2;
  awaitRegistrations(1);
  CHECK_EQUAL(10, leaseOfRegistration(0));
}

// Guards against a lease that ends before it is renewed, because the store has
// granted less time than it was asked for.
TEST(platform_store_feed, ALeaseIsRenewedWithinTheTimeThatTheStoreGrants) {
  Store.LeaseDuration = 4s;
  awaitRegistrations(1);
  CHECK_TRUE(
      eventually([&] { return !Store.callsFor("/api/kv-keep/10").empty(); }));
}

// Guards against the renewal of a lease of the era before: its id may belong to
// somebody else by then, and the entry's own lease ends unnoticed.
TEST(platform_store_feed, OnlyTheLeaseOfTheNewEraIsRenewed) {
  Store.LeaseDuration = 4s;
  awaitRegistrations(1);
  awaitWatchAfter(50);
  restore(2, 45);
  Store.answerHeld(410, json::object());
  CHECK_TRUE(
      eventually([&] { return !Store.callsFor("/api/kv-keep/11").empty(); }));
  CHECK_EQUAL(1, Store.callsFor("/api/kv-keep").size());
  CHECK_EQUAL(2, Store.callsFor("/api/kv-txn").size());
}

// Guards against a renewal that counts although the store has carried it out in
// the next era, and against two registrations for one return.
TEST(platform_store_feed, ARenewalInAnotherEraThanItsLeaseRegistersAgain) {
  Store.LeaseDuration = 4s;
  Store.HeldPath = "/api/kv-keep";
  awaitRegistrations(1);
  awaitWatchAfter(50);
  CHECK_TRUE(
      eventually([&] { return !Store.callsFor("/api/kv-keep/10").empty(); }));
  Store.HeldPath.clear();
  restore(2, 45);
  Store.answer(Store.callsFor("/api/kv-keep/10").back(), 200, json::object());
  run(30ms);
  CHECK_EQUAL(1, Store.callsFor("/api/kv-lease").size());
  awaitRegistrations(2);
  CHECK_EQUAL(11, leaseOfRegistration(1));
  run(500ms);
  CHECK_EQUAL(2, Store.callsFor("/api/kv-lease").size());
}

// Guards against a late renewal that takes the place of the next one of the new
// lease, or that registers the entry once more.
TEST(platform_store_feed, ARenewalUnderWayAtTheReturnChangesNothing) {
  Store.LeaseDuration = 4s;
  Store.HeldPath = "/api/kv-keep";
  awaitRegistrations(1);
  CHECK_TRUE(
      eventually([&] { return !Store.callsFor("/api/kv-keep/10").empty(); }));
  const received_call Renewal = Store.callsFor("/api/kv-keep/10").back();
  Store.HeldPath.clear();
  restore(2, 45);
  Feed.skipTo({2, 45});
  awaitRegistrations(2);
  Store.answer(Renewal, 404, json::object());
  CHECK_TRUE(
      eventually([&] { return !Store.callsFor("/api/kv-keep/11").empty(); }));
  CHECK_EQUAL(2, Store.callsFor("/api/kv-lease").size());
}

// Guards against a return that operators cannot see in the log, or see twice.
TEST(platform_store_feed, AReturnIsLoggedOnceWithTheVersionOfBefore) {
  log_lines Listed{"StoreListed"};
  log_lines Registered{"RegistrationWritten"};
  awaitRegistrations(1);
  awaitWatchAfter(50);
  restore(2, 45);
  Store.answerHeld(410, json::object());
  awaitWatchAfter(45);
  awaitRegistrations(2);
  CHECK_EQUAL(1, Restored.Lines.size());
  STRCMP_CONTAINS("era=2 before=1 revision=50", Restored.Lines.at(0).c_str());
  CHECK_EQUAL(2, Listed.Lines.size());
  STRCMP_CONTAINS("2.45", Listed.Lines.at(1).c_str());
  CHECK_EQUAL(2, Registered.Lines.size());
  STRCMP_CONTAINS("era=1", Registered.Lines.at(0).c_str());
  STRCMP_CONTAINS("era=2", Registered.Lines.at(1).c_str());
}

// Guards against a line that states the revision of the new era as that of
// before.
TEST(platform_store_feed, AReturnToldByAnotherEntryIsLoggedOnceToo) {
  awaitWatchAfter(50);
  Feed.skipTo({2, 40});
  restore(2, 40);
  Store.answerHeld(410, json::object());
  awaitWatchAfter(40);
  CHECK_EQUAL(1, Restored.Lines.size());
  STRCMP_CONTAINS("era=2 before=1 revision=50", Restored.Lines.at(0).c_str());
}
