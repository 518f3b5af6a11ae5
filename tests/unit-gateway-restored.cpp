#include "gateway/detail/steering_state.hpp"

#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::steering_state;

/// Time after which a listing that contradicts an earlier era is believed.
static constexpr auto HoldTime = 10s;
/// Time for which an ended evacuation that is listed again is held back.
static constexpr auto EvacuationHoldTime = 3s;
static constexpr auto RecordRecoveryTime = 2s;
static const base::domain_name Domain("z");

/// Versions of the store before and after it returns from a copy.
static const base::store_version Known{1, 384};
static const base::store_version Restored{2, 320};

static routing::target_published
record(const char *Id, std::int64_t StartedAtMs = 1000, bool Draining = false) {
  routing::target Target;
  Target.Id = base::target_id(Id);
  Target.Service = base::service_name("s");
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = Domain;
  Target.Draining = Draining;
  Target.StartedAtMs = StartedAtMs;
  return {Target};
}

static routing::target_removed removal(const char *Id) {
  return {base::target_id(Id)};
}

static routing::configuration_published configuration(const char *Version) {
  return {Version};
}

/// Decodes a test document, which consists of its version number only.
static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  if (Document == "broken")
    return gateway::refused_configuration{99, {{"/", "broken"}}};
  Configuration.Version = std::stoull(Document);
  return Configuration;
}

namespace {

/// State of one entry with its targets.
struct entry_state {
  explicit entry_state(const base::boot_time &Now) : Now(Now) {}

  bool acceptsRequests(const char *Id) const {
    const auto *Found = Targets.find(base::target_id(Id));
    return Found != nullptr && Targets.acceptsRequests(*Found, Now);
  }
  bool isEvacuated() const {
    return Targets.evacuatedDomains().count(Domain) != 0;
  }
  std::int64_t startTimeOf(const char *Id) const {
    const auto *Found = Targets.find(base::target_id(Id));
    return Found == nullptr ? 0 : Found->Target.StartedAtMs;
  }

  void list(const std::vector<routing::store_change> &Items,
            const base::store_version &AsOf) {
    State.replaceAll(Items, AsOf.Revision, AsOf);
  }
  void apply(const routing::store_change &Change,
             const base::store_version &Version) {
    State.apply(Change, Version);
    State.confirmVersion(Version);
  }

  const base::boot_time &Now;
  placement::target_registry Targets{{{Domain, base::region_name("r")}}};
  steering_state State{Targets, decode, RecordRecoveryTime,
                       [this] { return Now; }};
};

} // namespace

TEST_GROUP(gateway_restored) {
  base::boot_time Now{1h};
  entry_state Own{Now};
  entry_state Other{Now};

  /// Both entries know the same state of the first era.
  void setup() override {
    for (entry_state *Entry : {&Own, &Other})
      Entry->list({configuration("7"), record("a"), record("b")}, Known);
  }

  void advance(std::chrono::milliseconds Time) {
    Now += Time;
    for (entry_state *Entry : {&Own, &Other}) {
      Entry->State.applyHeld();
      Entry->Targets.sweep(Now);
    }
  }
};

// Guards against an entry that drops all listings after a return, because the
// revisions are below the one that it has confirmed.
TEST(gateway_restored, AListingOfANewerEraBelowTheOldRevisionIsUsed) {
  Own.list({configuration("7"), record("a"), record("b"), record("c")},
           Restored);
  CHECK(Own.State.confirmedVersion() == Restored);
  CHECK(Own.acceptsRequests("c"));
  Own.apply(record("d"), {2, 321});
  CHECK(Own.State.confirmedVersion() == base::store_version({2, 321}));
  CHECK(Own.acceptsRequests("d"));
}

// Guards against a change of a new era that is taken for a continuation of the
// old one: what lies between is missing then.
TEST(gateway_restored, ChangesOfANewEraNeedAListingFirst) {
  Own.apply(record("c"), {2, 390});
  CHECK(!Own.acceptsRequests("c"));
  CHECK(Own.State.confirmedVersion() == Known);
}

// Guards against a late response from before a return.
TEST(gateway_restored, ChangesOfAnEarlierEraAreNotUsed) {
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  Own.apply(removal("a"), {1, 390});
  Own.list({configuration("9"), record("a")}, {1, 391});
  CHECK(Own.acceptsRequests("a") && Own.acceptsRequests("b"));
  CHECK(Own.State.confirmedVersion() == Restored);
  LONGS_EQUAL(7, Own.State.version());
}

// Guards against a route that disappears again because a copy of the store
// holds an older configuration.
TEST(gateway_restored, AnOlderConfigurationIsNotApplied) {
  Own.list({configuration("5"), record("a"), record("b")}, Restored);
  LONGS_EQUAL(7, Own.State.version());
  CHECK(Own.State.confirmedVersion() == Restored);
  Own.apply(configuration("6"), {2, 321});
  LONGS_EQUAL(7, Own.State.version());
  advance(HoldTime);
  LONGS_EQUAL(7, Own.State.version());
}

// Guards against a new configuration that is not in force because its revision
// was given out before.
TEST(gateway_restored, ANewerConfigurationIsApplied) {
  Own.list({configuration("8"), record("a"), record("b")}, Restored);
  LONGS_EQUAL(8, Own.State.version());
  Own.apply(configuration("11"), {2, 321});
  LONGS_EQUAL(11, Own.State.version());
}

// Guards against all targets that started after the copy was taken: they write
// their records again within the recovery time.
TEST(gateway_restored, AnUnlistedTargetIsUsedForAWhile) {
  Own.list({configuration("7"), record("a")}, Restored);
  CHECK(Own.acceptsRequests("b"));
  advance(RecordRecoveryTime - 1ms);
  CHECK(Own.acceptsRequests("b"));
  advance(1ms);
  CHECK(Own.acceptsRequests("a"));
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against a target that is removed although it has written its record
// again.
TEST(gateway_restored, ATargetThatIsWrittenAgainStays) {
  Own.list({configuration("7"), record("a")}, Restored);
  advance(RecordRecoveryTime / 2);
  Own.apply(record("b"), {2, 321});
  advance(HoldTime);
  CHECK(Own.acceptsRequests("b"));
}

// Guards against requests to a target that has gone, because a copy of the
// store still shows it.
TEST(gateway_restored, ARemovedTargetThatIsListedAgainGetsNothing) {
  Own.apply(removal("b"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(!Own.acceptsRequests("b"));
  advance(HoldTime - 1ms);
  CHECK(!Own.acceptsRequests("b"));
  CHECK(Own.acceptsRequests("a"));
}

// Guards against a target that is left out for good after a return.
TEST(gateway_restored, ARemovedTargetThatStaysListedIsBelievedLater) {
  Own.apply(removal("b"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(!Own.acceptsRequests("b"));
  advance(HoldTime);
  CHECK(Own.acceptsRequests("b"));
}

// Guards against a wait for the hold time although the target itself has
// written its record.
TEST(gateway_restored, AnEventOfTheNewEraBringsARemovedTargetBack) {
  Own.apply(removal("b"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(!Own.acceptsRequests("b"));
  Own.apply(record("b"), {2, 321});
  CHECK(Own.acceptsRequests("b"));
}

// Guards against a target that is used after the hold time although its record
// has expired meanwhile.
TEST(gateway_restored, AHeldTargetThatExpiresIsNeverUsed) {
  Own.apply(removal("b"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  Own.apply(removal("b"), {2, 321});
  CHECK(!Own.acceptsRequests("b"));
  advance(HoldTime + 1s);
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against a new incarnation that waits because an earlier one of the
// same name was removed.
TEST(gateway_restored, ANewerIncarnationOfARemovedTargetIsUsed) {
  Own.apply(removal("b"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b", 2000)}, Restored);
  CHECK(Own.acceptsRequests("b"));
}

// Guards against a target that was back before the return, and is held back
// because of a removal before that.
TEST(gateway_restored, ATargetThatWasListedAfterItsRemovalIsNotHeldBack) {
  Own.apply(removal("b"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, {1, 395});
  CHECK(Own.acceptsRequests("b"));
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  advance(RecordRecoveryTime);
  CHECK(Own.acceptsRequests("b"));
}

// Guards against requests to a target whose leaving was acknowledged, because
// a copy of the store shows it as it was before.
TEST(gateway_restored, ADrainingTargetThatIsListedReadyGetsNothing) {
  Own.apply(record("b", 1000, true), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(!Own.acceptsRequests("b"));
  advance(RecordRecoveryTime);
  CHECK(!Own.acceptsRequests("b"));
  Own.apply(record("b", 2000), {2, 321});
  CHECK(Own.acceptsRequests("b"));
}

// Guards against a restarted target that is replaced by its own past.
TEST(gateway_restored, AnOlderStartTimeIsNotBelieved) {
  Own.apply(record("b", 2000), {1, 390});
  Own.list({configuration("7"), record("a"), record("b", 1000)}, Restored);
  LONGS_EQUAL(2000, Own.startTimeOf("b"));
  CHECK(Own.acceptsRequests("b"));
  Own.apply(record("b", 2000), {2, 321});
  advance(HoldTime);
  LONGS_EQUAL(2000, Own.startTimeOf("b"));
  CHECK(Own.acceptsRequests("b"));
}

// Guards against an incarnation that has gone and is used after all, because
// the store is listed a second time.
TEST(gateway_restored, ASecondListingDoesNotBringAnOlderStartTimeBack) {
  const std::vector<routing::store_change> Copy = {
      configuration("7"), record("a"), record("b", 1000)};
  Own.apply(record("b", 2000), {1, 390});
  Own.list(Copy, Restored);
  advance(RecordRecoveryTime + 1s);
  Own.list(Copy, {2, 325});
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against requests to a failure domain whose evacuation was
// acknowledged, because a copy of the store lacks it.
TEST(gateway_restored, AnUnlistedEvacuationHoldsForAWhile) {
  Own.apply(routing::evacuation_started{Domain}, {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  advance(HoldTime - 1ms);
  CHECK(Own.isEvacuated());
  advance(1ms);
  CHECK(!Own.isEvacuated());
}

// Guards against an evacuation that ends although the operator has written it
// again.
TEST(gateway_restored, AnEvacuationThatIsWrittenAgainStays) {
  Own.apply(routing::evacuation_started{Domain}, {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  advance(1s);
  Own.apply(routing::evacuation_started{Domain}, {2, 321});
  advance(HoldTime);
  CHECK(Own.isEvacuated());
}

// Guards against an evacuation that goes on although the operator has ended it
// in the new era.
TEST(gateway_restored, AnUnlistedEvacuationEndsWithAnEvent) {
  Own.apply(routing::evacuation_started{Domain}, {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(Own.isEvacuated());
  Own.apply(routing::evacuation_ended{Domain}, {2, 322});
  CHECK(!Own.isEvacuated());
}

// Guards against an evacuation that starts again by itself, because a copy of
// the store still shows it.
TEST(gateway_restored, AnEndedEvacuationThatIsListedAgainIsHeldBack) {
  Own.apply(routing::evacuation_started{Domain}, {1, 390});
  Own.apply(routing::evacuation_ended{Domain}, {1, 391});
  Own.list({configuration("7"), record("a"), record("b"),
            routing::evacuation_started{Domain}},
           Restored);
  CHECK(!Own.isEvacuated());
  advance(EvacuationHoldTime - 1ms);
  CHECK(!Own.isEvacuated());
  advance(1ms);
  CHECK(Own.isEvacuated());
}

// Guards against the same with a listing that is still being read.
TEST(gateway_restored, AnEndedEvacuationIsNotAppliedEarly) {
  Own.apply(routing::evacuation_started{Domain}, {1, 390});
  Own.apply(routing::evacuation_ended{Domain}, {1, 391});
  Own.State.applyEarly(routing::evacuation_started{Domain});
  CHECK(!Own.isEvacuated());
}

// Guards against an older configuration in a listing that is still being read.
TEST(gateway_restored, AnOlderConfigurationIsNotAppliedEarly) {
  Own.State.applyEarly(configuration("5"));
  LONGS_EQUAL(7, Own.State.version());
  Own.State.applyEarly(configuration("9"));
  LONGS_EQUAL(9, Own.State.version());
}

// Guards against an evacuation in force that is dropped: it was ended and
// started again before the return.
TEST(gateway_restored, AnEvacuationThatWasListedAfterItsEndStays) {
  const std::vector<routing::store_change> Items = {
      configuration("7"), record("a"), routing::evacuation_started{Domain}};
  Own.apply(routing::evacuation_started{Domain}, {1, 385});
  Own.apply(routing::evacuation_ended{Domain}, {1, 390});
  Own.list(Items, {1, 395});
  Own.list(Items, Restored);
  CHECK(Own.isEvacuated());
  advance(HoldTime);
  CHECK(Own.isEvacuated());
}

// Guards against a removal that is forgotten because it is told once more, in
// the new era: a second return may show an older copy.
TEST(gateway_restored, ARemovalThatIsToldAgainIsRemembered) {
  Own.apply(removal("b"), {1, 390});
  advance(1s);
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  Own.apply(removal("b"), {2, 321});
  Own.list({configuration("7"), record("a"), record("b")}, {3, 310});
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against a second return that makes the first one forgotten.
TEST(gateway_restored, TwoReturnsInARowHoldUntilTheSecondHoldEnds) {
  Own.apply(removal("b"), {1, 390});
  Own.apply(routing::evacuation_started{Domain}, {1, 391});
  const std::vector<routing::store_change> Copy = {configuration("7"),
                                                   record("a"), record("b")};
  Own.list(Copy, Restored);
  advance(HoldTime - 1s);
  Own.list(Copy, {3, 310});
  CHECK(Own.State.confirmedVersion() == base::store_version({3, 310}));
  advance(HoldTime - 1ms);
  CHECK(!Own.acceptsRequests("b"));
  CHECK(Own.isEvacuated());
  advance(1ms);
  CHECK(!Own.isEvacuated());
  CHECK(Own.acceptsRequests("b"));
}

// Guards against what was held back in one era and is applied in the next one,
// whose copy does not show it.
TEST(gateway_restored, ASecondReturnReplacesWhatIsHeldBack) {
  Own.apply(removal("b"), {1, 390});
  Own.apply(routing::evacuation_started{Domain}, {1, 391});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  Own.list(
      {configuration("7"), record("a"), routing::evacuation_started{Domain}},
      {3, 395});
  advance(HoldTime);
  CHECK(!Own.acceptsRequests("b"));
  CHECK(Own.isEvacuated());
}

// Guards against an entry that goes back to the history before the return,
// because its revisions are greater.
TEST(gateway_restored, AStateOfAnEarlierEraIsNotAdopted) {
  Other.apply(removal("a"), {1, 390});
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(!Own.State.adoptState(Other.State.encodeSnapshot()));
  CHECK(!Own.State.adoptState(Other.State.encodeStateAfter(Known)));
  CHECK(!Own.State.adoptState(Other.State.encodeStateAfter({1, 320})));
  CHECK(Own.acceptsRequests("a"));
  CHECK(Own.State.confirmedVersion() == Restored);
}

// Guards against an entry that does not learn of a return from another one.
TEST(gateway_restored, AStateOfANewerEraIsAdopted) {
  Other.list({configuration("7"), record("a"), record("b"), record("c")},
             Restored);
  CHECK(Other.State.changeVersion() > Own.State.confirmedVersion());
  CHECK(Own.State.adoptState(
      Other.State.encodeStateAfter(Own.State.confirmedVersion(), 7)));
  CHECK(Own.acceptsRequests("c"));
  CHECK(Own.State.confirmedVersion() == Restored);
  Other.apply(record("d"), {2, 321});
  CHECK(Own.State.adoptState(Other.State.encodeStateAfter(Restored, 7)));
  CHECK(Own.acceptsRequests("d"));
}

// Guards against changes of a new era that are applied to a state of the old
// one because their revisions seem to continue it.
TEST(gateway_restored, ChangesOfANewerEraDoNotContinueAnOlderState) {
  Other.list({configuration("7"), record("a"), record("b")}, {2, 380});
  Other.apply(record("c"), {2, 390});
  CHECK(!Own.State.adoptState(Other.State.encodeStateAfter({2, 380})));
  CHECK(!Own.acceptsRequests("c"));
  CHECK(Own.State.confirmedVersion() == Known);
}

// Guards against the loss of a configuration that was acknowledged before the
// return, and of which only one entry has heard.
TEST(gateway_restored, AConfigurationIsAdoptedFromAnEntryOfAnEarlierEra) {
  Other.apply(configuration("9"), {1, 390});
  Own.list({configuration("5"), record("a"), record("b")}, Restored);
  Own.State.adoptState(
      Other.State.encodeStateAfter(Own.State.confirmedVersion(), 7));
  LONGS_EQUAL(9, Own.State.version());
  CHECK(Own.State.confirmedVersion() == Restored);
}

// Guards against the same between entries that are both in the new era, where
// the configuration is no change.
TEST(gateway_restored, AConfigurationIsPassedOnWithinTheNewEra) {
  const std::vector<routing::store_change> Copy = {configuration("5"),
                                                   record("a"), record("b")};
  Other.apply(configuration("9"), {1, 390});
  Other.list(Copy, Restored);
  Own.list(Copy, Restored);
  Own.State.adoptState(Other.State.encodeStateAfter(Restored, 7));
  LONGS_EQUAL(9, Own.State.version());
}

// Guards against an entry without a configuration although another one has it:
// the copy is older than the first configuration.
TEST(gateway_restored, AFirstConfigurationIsAdoptedFromAnEarlierEra) {
  entry_state Started{Now};
  Started.list({record("a")}, Restored);
  Started.State.adoptState(Other.State.encodeStateAfter({}, 0));
  LONGS_EQUAL(7, Started.State.version());
  CHECK(Started.State.confirmedVersion() == Restored);
}

// Guards against entries of which one sends requests to a target that the
// other one holds back, and against different ends of the hold.
TEST(gateway_restored, AStateCarriesWhatIsHeldBack) {
  for (entry_state *Entry : {&Other, &Own})
    Entry->apply(routing::evacuation_started{Domain}, {1, 385});
  Other.apply(removal("b"), {1, 390});
  Other.apply(routing::evacuation_ended{Domain}, {1, 391});
  Other.list({configuration("7"), record("a"), record("b"),
              routing::evacuation_started{Domain}},
             Restored);
  advance(2s);
  CHECK(Own.State.adoptState(
      Other.State.encodeStateAfter(Own.State.confirmedVersion(), 7)));
  CHECK(!Own.acceptsRequests("b"));
  CHECK(!Own.isEvacuated());
  advance(EvacuationHoldTime - 2s - 1ms);
  CHECK(!Own.isEvacuated());
  advance(1ms);
  CHECK(Own.isEvacuated());
  advance(HoldTime - EvacuationHoldTime - 1ms);
  CHECK(Own.Targets.find(base::target_id("b")) == nullptr);
  advance(1ms);
  CHECK(Own.Targets.find(base::target_id("b")) != nullptr);
}

// Guards against an evacuation that ends at once at an entry that hears of the
// return from another one.
TEST(gateway_restored, AStateCarriesAnEvacuationThatTheCopyLacks) {
  Other.apply(routing::evacuation_started{Domain}, {1, 390});
  Other.list({configuration("7"), record("a"), record("b")}, Restored);
  advance(4s);
  CHECK(Own.State.adoptState(
      Other.State.encodeStateAfter(Own.State.confirmedVersion(), 7)));
  CHECK(Own.isEvacuated());
  advance(HoldTime - 4s - 1ms);
  CHECK(Own.isEvacuated());
  advance(1ms);
  CHECK(!Own.isEvacuated());
}

// Guards against a removed target that an entry uses after the hold time: the
// state of another entry contains it until its last request there has ended.
TEST(gateway_restored, ARemovedTargetInAStateIsNotHeldBack) {
  for (entry_state *Entry : {&Other, &Own})
    Entry->apply(removal("b"), {1, 390});
  Own.Targets.sweep(Now);
  Other.list({configuration("7"), record("a")}, Restored);
  CHECK(Own.State.adoptState(
      Other.State.encodeStateAfter(Own.State.confirmedVersion(), 7)));
  advance(HoldTime + 1s);
  CHECK(Own.acceptsRequests("a"));
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against an entry that takes over what another one holds back, and
// believes its own listing of the same era.
TEST(gateway_restored, AHeldTargetInAStateIsHeldBackInALaterListing) {
  const std::vector<routing::store_change> Copy = {configuration("7"),
                                                   record("a"), record("b")};
  for (entry_state *Entry : {&Other, &Own})
    Entry->apply(removal("b"), {1, 390});
  Other.list(Copy, Restored);
  CHECK(Own.State.adoptState(
      Other.State.encodeStateAfter(Own.State.confirmedVersion(), 7)));
  Own.list(Copy, {2, 325});
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against an entry that forgets a removal because it has heard of it
// with a complete state.
TEST(gateway_restored, ARemovalInAStateIsRemembered) {
  Other.apply(removal("b"), {1, 390});
  CHECK(Own.State.adoptState(Other.State.encodeSnapshot()));
  CHECK(!Own.acceptsRequests("b"));
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(!Own.acceptsRequests("b"));
}

// Guards against a new entry that takes a copy for the present, although
// others know better.
TEST(gateway_restored,
     AnEntryThatListedTheStoreItselfTakesOverWhatIsWithdrawn) {
  const std::vector<routing::store_change> Copy = {
      configuration("5"), record("a"), record("b"), record("c"),
      routing::evacuation_started{Domain}};
  Other.apply(record("c"), {1, 386});
  Other.apply(routing::evacuation_started{Domain}, {1, 387});
  Other.apply(routing::evacuation_ended{Domain}, {1, 390});
  Other.apply(removal("b"), {1, 391});
  Other.apply(record("c", 1000, true), {1, 392});
  Other.list(Copy, Restored);
  entry_state Started{Now};
  Started.list(Copy, Restored);
  CHECK(Started.State.adoptState(Other.State.encodeStateAfter({}, 5)));
  CHECK(!Started.isEvacuated());
  CHECK(Started.acceptsRequests("a"));
  CHECK(!Started.acceptsRequests("b"));
  CHECK(!Started.acceptsRequests("c"));
  LONGS_EQUAL(7, Started.State.version());
  Now += HoldTime;
  Started.State.applyHeld();
  CHECK(Started.isEvacuated());
  CHECK(Started.Targets.find(base::target_id("b")) != nullptr);
}

// Guards against an evacuation that was ended, and that an entry which missed
// the end keeps until the store is believed.
TEST(gateway_restored, AnEvacuationThatAnotherEntryKnowsToHaveEndedEnds) {
  for (entry_state *Entry : {&Other, &Own})
    Entry->apply(routing::evacuation_started{Domain}, {1, 385});
  Other.apply(routing::evacuation_ended{Domain}, {1, 390});
  const std::vector<routing::store_change> Copy = {
      configuration("7"), record("a"), routing::evacuation_started{Domain}};
  Other.list(Copy, Restored);
  Own.list(Copy, Restored);
  Other.apply(record("b"), {2, 330});
  CHECK(Own.State.adoptState(Other.State.encodeSnapshot()));
  CHECK(!Own.isEvacuated());
}

// Guards against an entry that counts as up to date because of the word of
// another one that follows another history.
TEST(gateway_restored, AnEntryOfAnotherEraConfirmsNothing) {
  Own.list({configuration("7"), record("a"), record("b")}, Restored);
  Now += 3s;
  Own.State.noteOtherState({{1, 300}, 7, 0ms});
  CHECK(Own.State.age(Now) == 3000ms);
  Own.State.noteOtherState({{3, 310}, 7, 0ms});
  CHECK(Own.State.age(Now) == 3000ms);
  Own.State.noteOtherState({{2, 320}, 7, 1000ms});
  CHECK(Own.State.age(Now) == 1000ms);
  Own.State.confirmVersion({1, 400});
  CHECK(Own.State.age(Now) == 1000ms);
  Own.State.noteOtherState({{1, 390}, 9, 0ms});
  LONGS_EQUAL(9, Own.State.newestVersion());
  CHECK(Own.State.mayBeOutdated(Now));
}

namespace {

const std::vector<routing::store_change> Copy = {
    configuration("7"), record("a"), record("b"), record("c")};

} // namespace

TEST_GROUP(gateway_restored_newcomer) {
  base::boot_time Now{1h};
  /// Starts with nothing.
  entry_state Newcomer{Now};
  /// Knows of a removal and of a drain that the copy lacks.
  entry_state Other{Now};

  void setup() override {
    Other.list(Copy, Known);
    Other.apply(removal("b"), {1, 390});
    Other.apply(record("c", 1000, true), {1, 391});
    Other.Targets.sweep(Now);
    Other.list(Copy, Restored);
  }
};

// Guards against a listing that makes an entry forget what it was told to hold
// back.
TEST(gateway_restored_newcomer,
     AListingAfterAnAdoptedStateKeepsWhatIsHeldBack) {
  CHECK(Newcomer.State.adoptState(Other.State.encodeSnapshot()));
  CHECK(!Newcomer.acceptsRequests("b"));
  Newcomer.list(Copy, {2, 325});
  CHECK(!Newcomer.acceptsRequests("b"));
}

// Guards against a listing that makes an entry forget that a target drains.
TEST(gateway_restored_newcomer, AListingAfterAnAdoptedStateKeepsADrain) {
  CHECK(Newcomer.State.adoptState(Other.State.encodeSnapshot()));
  CHECK(!Newcomer.acceptsRequests("c"));
  Newcomer.list(Copy, {2, 325});
  CHECK(!Newcomer.acceptsRequests("c"));
}

// Guards against entries that start at the same time and ask only each other.
TEST(gateway_restored_newcomer, AStateThatRestsOnAListingAloneIsNotEnough) {
  entry_state Started{Now};
  Started.list(Copy, Restored);
  Newcomer.list(Copy, Restored);
  CHECK(Newcomer.State.adoptState(Started.State.encodeSnapshot()));
  CHECK(Newcomer.State.needsPeerState());
  entry_state Empty{Now};
  CHECK(Empty.State.adoptState(Started.State.encodeSnapshot()));
  CHECK(Empty.State.needsPeerState());
  Now += 5s;
  CHECK(!Empty.State.needsPeerState());
}

// Guards against targets that are dropped at once on the word of an entry that
// has never known them.
TEST(gateway_restored_newcomer,
     ATargetThatANewEntryDoesNotKnowIsUsedForAWhile) {
  entry_state Old{Now};
  Old.list({configuration("7"), record("a"), record("d")}, Known);
  Newcomer.list({configuration("7"), record("a")}, Restored);
  CHECK(Old.State.adoptState(Newcomer.State.encodeSnapshot()));
  CHECK(Old.acceptsRequests("d"));
  Now += RecordRecoveryTime;
  CHECK(!Old.acceptsRequests("d"));
}

// Guards against a late write that takes back a drain.
TEST(gateway_restored_newcomer, AnEventDoesNotEndADrain) {
  Other.apply(record("c"), {2, 322});
  CHECK(!Other.acceptsRequests("c"));
}

// Guards against changes that are held back because the store has begun to
// state its era.
TEST(gateway_restored_newcomer, AFirstEraIsNoReturn) {
  entry_state Old{Now};
  Old.list(
      {configuration("7"), record("a"), routing::evacuation_started{Domain}},
      {0, 384});
  Old.list({configuration("7"), record("a")}, {1, 385});
  CHECK(!Old.isEvacuated());
}

// Guards against a withdrawal of a later incarnation that is forgotten because
// another entry holds an earlier one back.
TEST(gateway_restored_newcomer, AHeldIncarnationDoesNotHideALaterWithdrawal) {
  const std::vector<routing::store_change> Earlier = {
      configuration("7"), record("a"), record("b", 500)};
  entry_state First{Now};
  entry_state Second{Now};
  for (entry_state *Entry : {&First, &Second}) {
    Entry->list(Copy, Known);
    Entry->apply(removal("b"), {1, 390});
  }
  First.Targets.sweep(Now);
  Second.list(Earlier, Restored);
  First.State.adoptState(Second.State.encodeSnapshot());
  First.list(Earlier, Restored);
  CHECK(!First.acceptsRequests("b"));
}

// Guards against an evacuation of the new era that waits for the end of the
// hold.
TEST(gateway_restored_newcomer,
     AnEvacuationThatIsFirstSeenInAListingIsInForce) {
  entry_state Old{Now};
  Old.list(Copy, Known);
  Old.apply(routing::evacuation_started{Domain}, {1, 386});
  Old.apply(routing::evacuation_ended{Domain}, {1, 390});
  Now += 30s;
  Old.list(
      {configuration("7"), record("a"), routing::evacuation_started{Domain}},
      {2, 321});
  Now += 5s;
  Old.State.applyHeld();
  CHECK(Old.isEvacuated());
}
