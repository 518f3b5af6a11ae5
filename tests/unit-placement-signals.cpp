#include "skylarkdyke/placement/placer.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using placement::leaving_source;
using placement::send_result;

static const base::region_name North("north");
static const base::domain_name NorthA("north-a");
static const base::domain_name SouthA("south-a");
static const base::service_name Stock("stock");

static routing::target makeTarget(const std::string &Id,
                                  std::int64_t StartedAtMs = 1) {
  routing::target Target;
  Target.Id = base::target_id(Id);
  Target.Service = Stock;
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = NorthA;
  Target.Slots = 4;
  Target.StartedAtMs = StartedAtMs;
  return Target;
}

static placement::leaving_notice
leavingNotice(const routing::target &Target, base::boot_time Now,
              std::chrono::milliseconds UsableFor = 2s) {
  return {placement::incarnationOf(Target), leaving_source::Response, Now,
          Now + UsableFor};
}

/// The placement of one entry.
struct entry_placement {
  placement::target_registry Registry{
      {{NorthA, North}, {SouthA, base::region_name("south")}}};
  placement::placer Placer{Registry, North};
  routing::route Route;
  routing::service Service;

  entry_placement() {
    Route.Name = "route";
    Route.Repeatability = routing::repeatability::Idempotent;
    Route.LatencyObjective = 600ms;
    Service.Name = Stock;
  }
  placement::placement_result choose(std::uint64_t Object,
                                     base::boot_time Now) {
    return Placer.choose({&Route,
                          &Service,
                          Object * 0x9E3779B97F4A7C15U,
                          Now + 1500ms,
                          Now + 600ms,
                          {}},
                         Now);
  }
  std::string chosenId(std::uint64_t Object, base::boot_time Now) {
    const auto Result = choose(Object, Now);
    const auto *Chosen = std::get_if<placement::chosen_target>(&Result);
    return Chosen == nullptr ? "" : Chosen->Id.str();
  }
  bool everChooses(const std::string &Id, base::boot_time Now) {
    for (std::uint64_t Object = 1; Object < 30; ++Object)
      if (chosenId(Object, Now) == Id)
        return true;
    return false;
  }
};

TEST_GROUP(placement_signals) {
  entry_placement Entry;
  placement::target_registry &Registry = Entry.Registry;
  base::boot_time Now{1h};

  void setup() override {
    for (const char *Id : {"a", "b"})
      Registry.upsert(makeTarget(Id), Now);
  }
};

// Guards against a target that gets requests after it has said that it leaves,
// because an older record says ready or its record comes back.
TEST(placement_signals, NoRecordOfTheIncarnationClearsLeaving) {
  Registry.recordLeaving(leavingNotice(makeTarget("a"), Now));
  Registry.upsert(makeTarget("a"), Now);
  CHECK(!Entry.everChooses("a", Now + 1s));
  Registry.remove(base::target_id("a"), Now);
  Registry.sweep(Now + 1s);
  Registry.upsert(makeTarget("a"), Now + 2s);
  Registry.remove(base::target_id("b"), Now);
  STRCMP_EQUAL("", Entry.chosenId(1, Now + 3s).c_str());
}

// Guards against a restarted target that is taken for the one that left, and
// against the return of the one that left.
TEST(placement_signals, LeavingBelongsToOneIncarnation) {
  Registry.recordLeaving(leavingNotice(makeTarget("a"), Now));
  Registry.upsert(makeTarget("a", 2), Now);
  CHECK(Entry.everChooses("a", Now + 3s));
  Registry.upsert(makeTarget("a", 1), Now);
  CHECK(!Entry.everChooses("a", Now + 3s));
  auto Moved = makeTarget("a", 1);
  Moved.Address.Port = 81;
  Registry.upsert(Moved, Now);
  CHECK(Entry.everChooses("a", Now + 3s));
}

// Guards against a notice that is lost because it comes before the record, and
// against a later one that extends the time of use.
TEST(placement_signals, TheFirstBoundOfALeavingTargetHolds) {
  CHECK(Registry.recordLeaving(leavingNotice(makeTarget("c"), Now)));
  CHECK(!Registry.recordLeaving(leavingNotice(makeTarget("c"), Now + 1s)));
  Registry.upsert(makeTarget("c"), Now);
  const auto *State = Registry.find(base::target_id("c"));
  CHECK(State->UsableUntil == Now + 2s);
}

// Guards against notices that are kept for ever, and against one that is
// dropped while its target is registered.
TEST(placement_signals, NoticesExpireOnceTheRecordIsGone) {
  Registry.recordLeaving(leavingNotice(makeTarget("a"), Now));
  Registry.recordLeaving(leavingNotice(makeTarget("never-seen"), Now));
  Registry.sweep(Now + 9min);
  LONGS_EQUAL(2, Registry.leavingTargets().size());
  Registry.sweep(Now + 11min);
  LONGS_EQUAL(1, Registry.leavingTargets().size());
  for (int I = 0; I < 5000; ++I)
    Registry.recordLeaving(
        leavingNotice(makeTarget("t" + std::to_string(I)), Now));
  LONGS_EQUAL(placement::leaving_targets::MaxNotices,
              Registry.leavingTargets().size());
}

// Guards against a service that is refused because all its targets leave, and
// against a preference for them while there are others, even ejected ones.
TEST(placement_signals, LeavingTargetsServeOnlyWhatNoOtherCan) {
  Registry.recordLeaving(leavingNotice(makeTarget("a"), Now));
  CHECK(!Entry.everChooses("a", Now));
  Registry.endSend(base::target_id("b"), send_result::Unreachable, 0ms, Now);
  STRCMP_EQUAL("a", Entry.chosenId(1, Now).c_str());
  Registry.recordLeaving(leavingNotice(makeTarget("b"), Now));
  CHECK(!Entry.chosenId(1, Now + 1999ms).empty());
  STRCMP_EQUAL("", Entry.chosenId(1, Now + 2s).c_str());
}

// Guards against requests to a target that pauses, a pause that counts as a
// failure, and callers that are told to return before the end of it.
TEST(placement_signals, PausingTargetsGetNothingAndAreNotFaulty) {
  for (const char *Id : {"a", "b"}) {
    for (int I = 0; I < 20; ++I)
      Registry.endSend(base::target_id(Id), send_result::PauseRequested, 0ms,
                       Now);
    Entry.Placer.recordPause(Entry.Service,
                             placement::incarnationOf(makeTarget(Id)),
                             Now + (Id[0] == 'a' ? 3s : 5s));
  }
  DOUBLES_EQUAL(0, Registry.find(base::target_id("a"))->FailureRate, 0);
  const auto Result = Entry.choose(1, Now + 1s);
  const auto *Refusal = std::get_if<placement::no_target>(&Result);
  CHECK(Refusal != nullptr);
  CHECK(Refusal->Reason == placement::no_target_reason::Paused);
  CHECK(Refusal->RetryAfter >= 2s && Refusal->RetryAfter < 2600ms);
  Entry.Placer.recordPause(Entry.Service,
                           placement::incarnationOf(makeTarget("a")), Now + 1s);
  STRCMP_EQUAL("", Entry.chosenId(1, Now + 2999ms).c_str());
  STRCMP_EQUAL("a", Entry.chosenId(1, Now + 3s).c_str());
  Registry.remove(base::target_id("b"), Now);
  Registry.sweep(Now + 4s);
  Registry.upsert(makeTarget("b"), Now + 4s);
  CHECK(!Entry.everChooses("b", Now + 4s));
}

// Guards against a region that keeps its callers' requests because the slots of
// targets that pause or leave count as its own.
TEST(placement_signals, DecliningTargetsAddNoSlotsToTheirRegion) {
  auto South = makeTarget("s");
  South.Domain = SouthA;
  Registry.upsert(South, Now);
  Registry.recordPause(placement::incarnationOf(makeTarget("a")), Now + 2s);
  Registry.recordLeaving(leavingNotice(makeTarget("b"), Now));
  STRCMP_EQUAL("s", Entry.chosenId(1, Now).c_str());
  int SentSouth = 0;
  for (std::uint64_t Object = 1; Object <= 100; ++Object)
    SentSouth += Entry.chosenId(Object, Now + 2s) == "s" ? 1 : 0;
  CHECK(SentSouth > 80 && SentSouth < 100);
}

// Guards against any order of responses, records, removals and notices of other
// entries after which a target gets a request later than its bound.
TEST(placement_signals, NoPlacementReturnsATargetAfterItsBound) {
  CHECK(rc::check([] {
    entry_placement Random;
    base::boot_time Time{1h};
    std::map<placement::target_incarnation, base::boot_time> Bounds;
    for (int Step = 0; Step < 60; ++Step) {
      const auto Target = makeTarget(
          std::string(1, *rc::gen::inRange('a', 'd')), *rc::gen::inRange(1, 3));
      const int Action = *rc::gen::inRange(0, 8);
      if (Action < 3) {
        Random.Registry.upsert(Target, Time);
      } else if (Action == 3) {
        Random.Registry.remove(Target.Id, Time);
      } else if (Action == 4) {
        Random.Registry.sweep(Time);
      } else if (Action == 5) {
        const auto Notice = leavingNotice(
            Target, Time,
            std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
        Random.Registry.recordLeaving(Notice);
        const auto It = Bounds.emplace(Notice.Target, Notice.UsableUntil).first;
        It->second = std::min(It->second, Notice.UsableUntil);
      } else {
        Time += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
      }
      const auto Result = Random.choose(*rc::gen::inRange(1, 9), Time);
      if (const auto *Chosen = std::get_if<placement::chosen_target>(&Result)) {
        const auto Bound = Bounds.find(Chosen->incarnation());
        RC_ASSERT(Bound == Bounds.end() || Time < Bound->second);
      }
    }
  }));
}

namespace {

/// Entries that send to the same targets in steps. Each response takes a step.
struct sending_fleet {
  static constexpr auto Step = 50ms;

  explicit sending_fleet(std::size_t Size) : Entries(Size) {
    for (std::size_t I = 0; I < Size; ++I) {
      placement::rate_division Division;
      Division.Own = {I, 1, {}};
      for (std::size_t Other = 0; Other < Size; ++Other)
        if (Other != I)
          Division.Others.push_back({Other, 1, {}});
      Entries[I].Placer.setRateDivision(std::move(Division));
      for (const char *Id : {"a", "b", "c"})
        Entries[I].Registry.upsert(makeTarget(Id), Now);
    }
  }

  /// Lets every entry send one request in each step.
  /// \param OnArrival called with the entry and the target of each request
  template <class Handler>
  void run(std::chrono::milliseconds Time, const Handler &OnArrival) {
    for (const auto End = Now + Time; Now < End; Now += Step)
      for (entry_placement &Entry : Entries) {
        const auto Result = Entry.choose(++NextObject, Now);
        const auto *Chosen = std::get_if<placement::chosen_target>(&Result);
        if (Chosen == nullptr)
          continue;
        Entry.Registry.beginSend(Chosen->Id, Now);
        Entry.Registry.endSend(Chosen->Id,
                               OnArrival(Entry, *Chosen)
                                   ? send_result::PauseRequested
                                   : send_result::Answered,
                               0ms, Now);
      }
  }

  std::deque<entry_placement> Entries;
  base::boot_time Now{1h};
  std::uint64_t NextObject = 0;
};

} // namespace

// Guards against entries of a large fleet that send to a target in its pause,
// or that all return to it at the same time.
TEST(placement_signals, AFleetRespectsPausesAndReturnsSpread) {
  for (const std::size_t Size : {10, 70, 295}) {
    sending_fleet Fleet(Size);
    std::map<entry_placement *, base::boot_time> PausedUntil;
    std::map<entry_placement *, base::boot_time> ReturnedAt;
    std::map<base::boot_time, std::size_t> Returns;
    int SentInPause = 0;
    Fleet.run(8s, [&](entry_placement &Entry, const auto &Chosen) {
      if (Chosen.Id.str() != "a")
        return false;
      const auto [It, IsFirst] = PausedUntil.emplace(&Entry, Fleet.Now + 2s);
      if (IsFirst) {
        Entry.Placer.recordPause(Entry.Service, Chosen.incarnation(),
                                 It->second);
        return true;
      }
      SentInPause += Fleet.Now < It->second ? 1 : 0;
      if (ReturnedAt.emplace(&Entry, Fleet.Now).second)
        ++Returns[Fleet.Now];
      return false;
    });
    LONGS_EQUAL(0, SentInPause);
    LONGS_EQUAL(Size, ReturnedAt.size());
    for (const auto &[Time, Count] : Returns)
      CHECK(Size < 100 || Count < Size / 5);
  }
}

// Guards against entries of a large fleet that send to a leaving target after
// their bound, whether they got the response or heard of it.
TEST(placement_signals, AFleetSendsNothingAfterTheBound) {
  for (const std::size_t Size : {10, 70, 295}) {
    sending_fleet Fleet(Size);
    std::map<entry_placement *, base::boot_time> Bounds;
    int SentAfterBound = 0;
    int SentToLeaving = 0;
    Fleet.run(6s, [&](entry_placement &Entry, const auto &Chosen) {
      if (Chosen.Id.str() != "a")
        return false;
      const bool First = Bounds.empty();
      const auto Bound = Bounds.emplace(&Entry, Fleet.Now + 2s).first->second;
      SentAfterBound += Fleet.Now >= Bound ? 1 : 0;
      ++SentToLeaving;
      for (entry_placement &Other : Fleet.Entries)
        if (First || &Other == &Entry)
          Other.Registry.recordLeaving(
              leavingNotice(makeTarget("a"), Fleet.Now));
      return false;
    });
    LONGS_EQUAL(0, SentAfterBound);
    LONGS_EQUAL(1, SentToLeaving);
  }
}
