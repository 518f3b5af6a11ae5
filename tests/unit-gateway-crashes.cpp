#include "gateway/detail/crash_guard.hpp"
#include "gateway/detail/state_codec.hpp"
#include "support/free_port.hpp"

#include <array>
#include <memory>
#include <sys/mman.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::crash_guard;
using gateway::detail::crash_update;

static constexpr poison::request_identity Bad{10, 11};
static constexpr poison::request_identity BadOfOtherCaller{12, 11};

/// Passes an update on as entries do.
static crash_update overTheWire(const crash_update &Update) {
  const auto Decoded =
      gateway::detail::decodeState(gateway::detail::encode(Update));
  CHECK(Decoded.has_value());
  return std::get<crash_update>(Decoded.value());
}

static poison::target_crash crash(std::uint64_t Fingerprint,
                                  std::uint64_t Incarnation) {
  return {poison::crashIdOf(Fingerprint, Incarnation),
          Fingerprint,
          base::service_name("s"),
          base::target_id("t" + std::to_string(Incarnation)),
          "GET /x",
          base::boot_clock::now()};
}

static routing::request_blocked storedBlock(std::uint64_t Fingerprint) {
  return {Fingerprint, base::service_name("s"), "GET /x", 3};
}

static crash_update crashesOf(const poison::request_identity &Request,
                              std::uint64_t Incarnation) {
  crash_update Update;
  for (const std::uint64_t Fingerprint :
       {Request.OfCaller, Request.OfAnyCaller})
    Update.Crashes.push_back({crash(Fingerprint, Incarnation), 0ms});
  return Update;
}

namespace {

struct guarded_entry {
  guarded_entry(boost::asio::io_context &Loop, telemetry::decision_log &Log,
                std::uint64_t Seed)
      : Guard(Loop, Metrics, Log, Seed) {
    Guard.setPublisher([this](const crash_update &Update, bool PassedOn) {
      if (!PassedOn)
        Published.push_back(Update);
    });
    Guard.setBlockStore({[this](const routing::request_blocked &Block) {
                           Written.push_back(Block.Fingerprint);
                         },
                         [this](std::uint64_t Fingerprint) {
                           Removed.push_back(Fingerprint);
                         }});
  }

  bool isBlocked(const poison::request_identity &Request = Bad) const {
    return Guard.findBlock(Request, base::boot_clock::now()) != nullptr;
  }
  void adoptThreeCrashes() {
    for (const std::uint64_t Incarnation : {1, 2, 3})
      Guard.adopt(overTheWire(crashesOf(Bad, Incarnation)), true);
  }

  metrics::registry Metrics;
  crash_guard Guard;
  std::vector<crash_update> Published;
  std::vector<std::uint64_t> Written;
  std::vector<std::uint64_t> Removed;
};

} // namespace

TEST_GROUP(gateway_crashes) {
  boost::asio::io_context Loop;
  int LogFile = memfd_create("log", MFD_CLOEXEC);
  telemetry::decision_log Log{LogFile, "test"};
  std::vector<std::unique_ptr<guarded_entry>> Entries;

  void addEntries(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Entries.push_back(std::make_unique<guarded_entry>(Loop, Log, I));
  }
  void teardown() override {
    Entries.clear();
    close(LogFile);
  }

  /// Reads the lines of the log from its start on.
  std::string logText() {
    Log.flush();
    std::array<char, 65536> Text{};
    const ssize_t Size = pread(LogFile, Text.data(), Text.size(), 0);
    CHECK(Size >= 0);
    return {Text.data(), static_cast<std::size_t>(Size)};
  }

  /// Loses a connection of the bad request at a target that has ended.
  void loseTarget(guarded_entry & Entry, std::uint64_t Incarnation) {
    Entry.Guard.addAttempt({Bad, base::service_name("s"),
                            base::target_id("t" + std::to_string(Incarnation)),
                            Incarnation, "GET /x",
                            poison::attempt_end::ConnectionLost,
                            base::boot_clock::now()},
                           {"127.0.0.1", test_support::freePort()}, true);
    Loop.restart();
    Loop.run_for(700ms);
  }
};

// Guards against entries that do not refuse a request which has ended one
// target from each of three entries.
TEST(gateway_crashes, ThreeCrashesAtThreeEntriesBlockARequestAtAll) {
  addEntries(4);
  for (std::size_t I = 0; I < 3; ++I) {
    CHECK(!Entries[I]->isBlocked());
    loseTarget(*Entries[I], I + 1);
    for (const crash_update &Update : Entries[I]->Published)
      for (auto &Other : Entries)
        Other->Guard.adopt(overTheWire(Update), true);
    Entries[I]->Published.clear();
  }
  for (auto &Entry : Entries) {
    CHECK(Entry->isBlocked());
    CHECK(Entry->isBlocked(BadOfOtherCaller));
    CHECK(!Entry->isBlocked({5, 6}));
  }
}

// Guards against notices that only some entries of a large fleet count, and
// against a crash that counts once for each entry that reports it.
TEST(gateway_crashes, EachIncarnationCountsOnceInFleetsOfAnySize) {
  for (const std::size_t Size : {10, 70, 295}) {
    Entries.clear();
    addEntries(Size);
    for (const std::uint64_t Incarnation : {1, 2, 3}) {
      for (auto &Entry : Entries) {
        CHECK(!Entry->isBlocked());
        for (int Copy = 0; Copy < 3; ++Copy)
          Entry->Guard.adopt(overTheWire(crashesOf(Bad, Incarnation)), true);
      }
    }
    for (auto &Entry : Entries)
      CHECK(Entry->isBlocked());
  }
}

// Guards against a lost datagram that leaves an entry without a crash.
TEST(gateway_crashes, NoticesAreRepeated) {
  addEntries(1);
  loseTarget(*Entries[0], 1);
  LONGS_EQUAL(1, Entries[0]->Published.size());
  auto Now = base::boot_clock::now();
  for (int Step = 0; Step < 20; ++Step)
    Entries[0]->Guard.tick(false, Now += 250ms);
  LONGS_EQUAL(3, Entries[0]->Published.size());
}

// Guards against an entry that starts without the blocks of the others.
TEST(gateway_crashes, AnEntryThatStartsAdoptsBlocks) {
  addEntries(2);
  Entries[0]->adoptThreeCrashes();
  Entries[1]->Guard.adopt(overTheWire(Entries[0]->Guard.snapshot()), false);
  CHECK(Entries[1]->isBlocked());
}

// Guards against a proper request that stays blocked although a target has
// completed it, and against its return with a late report.
TEST(gateway_crashes, ACompletedRequestIsNoLongerBlockedAnywhere) {
  addEntries(2);
  for (auto &Entry : Entries)
    Entry->adoptThreeCrashes();
  Entries[0]->Guard.recordCompletion(Bad);
  CHECK(!Entries[0]->isBlocked());
  LONGS_EQUAL(2, Entries[0]->Removed.size());
  Entries[1]->Guard.adopt(overTheWire(Entries[0]->Published.at(0)), true);
  Entries[1]->adoptThreeCrashes();
  CHECK(!Entries[1]->isBlocked());
}

// Guards against a call of every entry when a block ends: all of them learn of
// it, so that the calls would grow with the fleet beyond what the store
// accepts.
TEST(gateway_crashes, TheEndOfABlockCostsFewCallsInFleetsOfAnySize) {
  static constexpr std::size_t Relays = 9;
  for (const std::size_t Size : {12, 300, 1000}) {
    Entries.clear();
    addEntries(Size);
    for (auto &Entry : Entries)
      Entry->adoptThreeCrashes();
    Entries[Relays]->Guard.recordCompletion(Bad);
    const auto Notice = overTheWire(Entries[Relays]->Published.at(0));
    for (auto &Entry : Entries)
      Entry->Guard.adopt(Notice, true);
    const auto Now = base::boot_clock::now();
    std::size_t Removals = 0;
    for (std::size_t I = 0; I < Size; ++I) {
      CHECK(!Entries[I]->isBlocked());
      Entries[I]->Guard.tick(I < Relays, Now + 5s);
      Removals += Entries[I]->Removed.size();
    }
    // The request has two fingerprints.
    LONGS_EQUAL(2 * (1 + Relays), Removals);
  }
}

// Guards against calls of the relays for an item that is gone already, and
// against a call of every entry when an operator ends a block.
TEST(gateway_crashes, AnItemThatIsGoneIsNotRemovedAgain) {
  addEntries(2);
  for (auto &Entry : Entries) {
    Entry->Guard.onStoredBlock(storedBlock(Bad.OfCaller));
    Entry->Guard.onStoredBlock(storedBlock(Bad.OfAnyCaller));
  }
  Entries[0]->Guard.recordCompletion(Bad);
  Entries[1]->Guard.adopt(overTheWire(Entries[0]->Published.at(0)), true);
  for (const std::uint64_t Fingerprint : {Bad.OfCaller, Bad.OfAnyCaller})
    Entries[1]->Guard.onStoredBlockRemoved(Fingerprint, false);
  Entries[1]->Guard.onStoredBlock(storedBlock(5));
  Entries[1]->Guard.onStoredBlockRemoved(5, false);
  Entries[1]->Guard.tick(true, base::boot_clock::now() + 5s);
  LONGS_EQUAL(0, Entries[1]->Removed.size());
}

// Guards against a write that is still under way when the block ends elsewhere:
// it would put the block in force again at all entries.
TEST(gateway_crashes, AnEntryThatHasStoredABlockRemovesItWhenItEnds) {
  addEntries(2);
  Entries[0]->adoptThreeCrashes();
  Entries[0]->Guard.tick(true, base::boot_clock::now() + 5s);
  LONGS_EQUAL(2, Entries[0]->Written.size());
  // The other entry knows two crashes, so that the request is not blocked there
  // and it has nothing to remove.
  for (const std::uint64_t Incarnation : {1, 2})
    Entries[1]->Guard.adopt(overTheWire(crashesOf(Bad, Incarnation)), true);
  Entries[1]->Guard.recordCompletion(Bad);
  LONGS_EQUAL(0, Entries[1]->Removed.size());
  Entries[0]->Guard.adopt(overTheWire(Entries[1]->Published.at(0)), true);
  LONGS_EQUAL(2, Entries[0]->Removed.size());
}

// Guards against blocks that are forgotten when all entries are killed, and
// against all entries writing the same block.
TEST(gateway_crashes, TheEntryThatSeesTheLastCrashStoresTheBlock) {
  addEntries(2);
  for (const std::uint64_t Incarnation : {1, 2})
    for (auto &Entry : Entries)
      Entry->Guard.adopt(crashesOf(Bad, Incarnation), true);
  loseTarget(*Entries[0], 3);
  Entries[1]->Guard.adopt(Entries[0]->Published.at(0), true);
  const auto Now = base::boot_clock::now();
  for (auto &Entry : Entries)
    Entry->Guard.tick(false, Now);
  LONGS_EQUAL(2, Entries[0]->Written.size());
  for (auto &Entry : Entries)
    Entry->Guard.tick(false, Now + 5s);
  LONGS_EQUAL(0, Entries[1]->Written.size());
}

// Guards against a block that is not stored because the entry that saw the last
// crash is killed.
TEST(gateway_crashes, ARelayStoresABlockThatNobodyHasStored) {
  addEntries(1);
  Entries[0]->adoptThreeCrashes();
  const auto Now = base::boot_clock::now();
  Entries[0]->Guard.tick(true, Now);
  LONGS_EQUAL(0, Entries[0]->Written.size());
  Entries[0]->Guard.onStoredBlock(
      {Bad.OfCaller, base::service_name("s"), "GET /x", 3});
  Entries[0]->Guard.tick(true, Now + 5s);
  LONGS_EQUAL(1, Entries[0]->Written.size());
}

// Guards against blocks that an outage of the store ends, and against blocks
// that an operator cannot end.
TEST(gateway_crashes, OnlyARemovalWhileTheStoreIsThereEndsABlock) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  Guard.onStoredBlock({Bad.OfCaller, base::service_name("s"), "GET /x", 3});
  CHECK(Entries[0]->isBlocked());
  Guard.onStoredBlockRemoved(Bad.OfCaller, true);
  CHECK(Entries[0]->isBlocked());
  Guard.tick(true, base::boot_clock::now() + 5s);
  LONGS_EQUAL(1, Entries[0]->Written.size());
  Guard.onStoredBlockRemoved(Bad.OfCaller, false);
  CHECK(!Entries[0]->isBlocked());
}

// Guards against blocks that are lost for entries that start later, because the
// copy from which the store has returned is older.
TEST(gateway_crashes, ABlockThatTheStoreHasLostIsStoredAgainByRelays) {
  addEntries(2);
  for (auto &Entry : Entries) {
    Entry->Guard.onStoredBlock(storedBlock(Bad.OfCaller));
    Entry->Guard.onStoreRestored();
  }
  const auto Now = base::boot_clock::now();
  for (auto &Entry : Entries)
    Entry->Guard.tick(Entry == Entries[0], Now + 1s);
  LONGS_EQUAL(0, Entries[0]->Written.size());
  for (auto &Entry : Entries)
    Entry->Guard.tick(Entry == Entries[0], Now + 5s);
  LONGS_EQUAL(1, Entries[0]->Written.size());
  LONGS_EQUAL(0, Entries[1]->Written.size());
  CHECK(Entries[1]->isBlocked());
  STRCMP_CONTAINS("\"source\":\"restored\"", logText().c_str());
}

// Guards against writes of blocks that the copy holds, and of blocks that
// another entry has stored again.
TEST(gateway_crashes, ABlockThatTheRestoredStoreHoldsIsNotWritten) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  Guard.onStoredBlock(storedBlock(Bad.OfCaller));
  Guard.onStoredBlock(storedBlock(Bad.OfAnyCaller));
  Guard.onStoreRestored();
  Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  Guard.onStoredBlock(storedBlock(Bad.OfAnyCaller));
  Guard.tick(true, base::boot_clock::now() + 5s);
  LONGS_EQUAL(0, Entries[0]->Written.size());
  LONGS_EQUAL(0, Entries[0]->Removed.size());
  CHECK(Entries[0]->isBlocked());
}

// Guards against an entry that sees its first listing after the return and
// lets a request through that is blocked.
TEST(gateway_crashes, ARestoredBlockOfWhichNoEndIsKnownIsInForce) {
  addEntries(1);
  Entries[0]->Guard.onStoreRestored();
  Entries[0]->Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  CHECK(Entries[0]->isBlocked());
  STRCMP_CONTAINS("\"source\":\"restored\"", logText().c_str());
}

// Guards against a block that returns with the copy although an operator has
// ended it, and against an item that stays and blocks the request at each entry
// that starts.
TEST(gateway_crashes, ABlockThatAnOperatorHasEndedStaysEnded) {
  addEntries(2);
  for (auto &Entry : Entries) {
    Entry->Guard.onStoredBlock(storedBlock(Bad.OfCaller));
    Entry->Guard.onStoredBlockRemoved(Bad.OfCaller, false);
    Entry->Removed.clear();
    Entry->Guard.onStoreRestored();
    Entry->Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
    CHECK(!Entry->isBlocked());
  }
  const auto Now = base::boot_clock::now();
  for (auto &Entry : Entries)
    Entry->Guard.tick(Entry == Entries[0], Now + 10s);
  LONGS_EQUAL(1, Entries[0]->Removed.size());
  LONGS_EQUAL(0, Entries[1]->Removed.size());
  LONGS_EQUAL(0, Entries[0]->Written.size());
  STRCMP_CONTAINS("\"reason\":\"restored\"", logText().c_str());
}

// Guards against an item that stays in the store because no relay knows that a
// target has completed the request.
TEST(gateway_crashes, TheEntryThatEndedABlockRemovesItFromARestoredStore) {
  addEntries(2);
  for (auto &Entry : Entries)
    Entry->adoptThreeCrashes();
  Entries[0]->Guard.recordCompletion(Bad);
  Entries[1]->Guard.adopt(overTheWire(Entries[0]->Published.at(0)), true);
  const auto Now = base::boot_clock::now();
  for (auto &Entry : Entries) {
    Entry->Removed.clear();
    Entry->Guard.onStoreRestored();
    Entry->Guard.onRestoredBlock(storedBlock(Bad.OfAnyCaller));
    CHECK(!Entry->isBlocked());
    Entry->Guard.tick(false, Now + 10s);
  }
  LONGS_EQUAL(1, Entries[0]->Removed.size());
  LONGS_EQUAL(0, Entries[1]->Removed.size());
}

// Guards against a removal that other entries take for the end of a lease
// during the outage, so that they store the block again.
TEST(gateway_crashes, ARestoredBlockIsRemovedAfterLeasesHaveRecovered) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  Guard.onStoredBlock(storedBlock(Bad.OfCaller));
  Guard.onStoredBlockRemoved(Bad.OfCaller, false);
  Entries[0]->Removed.clear();
  Guard.onStoreRestored();
  Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  Guard.tick(true, base::boot_clock::now() + 3s);
  LONGS_EQUAL(0, Entries[0]->Removed.size());
  // Another entry was faster.
  Guard.onStoredBlockRemoved(Bad.OfCaller, false);
  Guard.tick(true, base::boot_clock::now() + 10s);
  LONGS_EQUAL(0, Entries[0]->Removed.size());
}

// Guards against an item that is never removed because the store is listed
// again and again, and against a line for each listing.
TEST(gateway_crashes, FurtherListingsDoNotRepeatTheRemoval) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  Guard.onStoredBlock(storedBlock(Bad.OfCaller));
  Guard.onStoredBlockRemoved(Bad.OfCaller, false);
  Entries[0]->Removed.clear();
  Guard.onStoreRestored();
  Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  const auto Now = base::boot_clock::now();
  std::this_thread::sleep_for(20ms);
  Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  Guard.tick(true, Now + 4s);
  LONGS_EQUAL(1, Entries[0]->Removed.size());
  const std::string Text = logText();
  const std::size_t First = Text.find("\"reason\":\"restored\"");
  CHECK(First != std::string::npos);
  CHECK(Text.find("\"reason\":\"restored\"", First + 1) == std::string::npos);
}

// Guards against a block that is about to expire and lasts ten more minutes at
// entries that start, because it was stored again.
TEST(gateway_crashes, ABlockThatIsAboutToExpireIsNotStoredAgain) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  crash_update Update;
  for (const auto &[Fingerprint, EndsIn] :
       {std::pair(std::uint64_t{1}, 10s), std::pair(std::uint64_t{2}, 60s)})
    Update.Blocks.push_back(
        {{Fingerprint, base::service_name("s"), "GET /x", 3, base::boot_time{}},
         EndsIn});
  Guard.adopt(overTheWire(Update), false);
  CHECK(Entries[0]->isBlocked({1, 1}));
  Guard.tick(false, base::boot_clock::now() + 5s);
  Guard.onStoreRestored();
  Guard.tick(true, base::boot_clock::now() + 5s);
  LONGS_EQUAL(1, Entries[0]->Written.size());
  LONGS_EQUAL(2, Entries[0]->Written.at(0));
}

// Guards against an entry that has adopted the restored block, whose state
// blocks the request again at those that know better.
TEST(gateway_crashes, AStateOfAnotherEntryDoesNotRestoreAnEndedBlock) {
  addEntries(2);
  Entries[0]->Guard.onStoreRestored();
  Entries[0]->Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  Entries[1]->Guard.onStoredBlock(storedBlock(Bad.OfCaller));
  Entries[1]->Guard.onStoredBlockRemoved(Bad.OfCaller, false);
  Entries[1]->Guard.onStoreRestored();
  Entries[1]->Guard.adopt(overTheWire(Entries[0]->Guard.snapshot()), false);
  CHECK(!Entries[1]->isBlocked());
}

// Guards against the memory of an end that keeps a request from being blocked
// after new crashes, or removes the new block from the store.
TEST(gateway_crashes, ABlockAfterTheReturnHoldsAlthoughAnEarlierOneHasEnded) {
  addEntries(2);
  for (auto &Entry : Entries) {
    Entry->Guard.onStoredBlock(storedBlock(Bad.OfCaller));
    Entry->Guard.onStoredBlockRemoved(Bad.OfCaller, false);
    Entry->Removed.clear();
    Entry->Guard.onStoreRestored();
    Entry->Guard.onRestoredBlock(storedBlock(Bad.OfCaller));
  }
  Entries[0]->adoptThreeCrashes();
  Entries[1]->Guard.onStoredBlock(storedBlock(Bad.OfCaller));
  for (auto &Entry : Entries) {
    CHECK(Entry->isBlocked());
    Entry->Guard.tick(true, base::boot_clock::now() + 10s);
    LONGS_EQUAL(0, Entry->Removed.size());
  }
  LONGS_EQUAL(2, Entries[0]->Written.size());
}

// Guards against a second return that undoes what the entries wrote after the
// first one.
TEST(gateway_crashes, EachReturnOfTheStoreIsRepaired) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  Guard.onStoredBlock(storedBlock(1));
  Guard.onStoredBlock(storedBlock(2));
  Guard.onStoredBlockRemoved(2, false);
  Entries[0]->Removed.clear();
  for (std::size_t Return = 1; Return <= 2; ++Return) {
    Guard.onStoreRestored();
    Guard.onRestoredBlock(storedBlock(2));
    Guard.tick(true, base::boot_clock::now() + 10s);
    LONGS_EQUAL(Return, Entries[0]->Written.size());
    LONGS_EQUAL(Return, Entries[0]->Removed.size());
    Guard.onStoredBlock(storedBlock(1));
    Guard.onStoredBlockRemoved(2, false);
  }
  CHECK(!Entries[0]->isBlocked({2, 2}));
}

// Guards against tasks of an earlier return that are carried out although the
// store no longer needs them.
TEST(gateway_crashes, ASecondReturnReplacesTheTasksOfTheFirst) {
  addEntries(1);
  crash_guard &Guard = Entries[0]->Guard;
  Guard.onStoredBlock(storedBlock(1));
  Guard.onStoredBlock(storedBlock(2));
  Guard.onStoredBlockRemoved(2, false);
  Entries[0]->Removed.clear();
  Guard.onStoreRestored();
  Guard.onRestoredBlock(storedBlock(2));
  Guard.onStoreRestored();
  Guard.onRestoredBlock(storedBlock(1));
  Guard.tick(true, base::boot_clock::now() + 10s);
  LONGS_EQUAL(0, Entries[0]->Written.size());
  LONGS_EQUAL(0, Entries[0]->Removed.size());
}

// Guards against the memory of ends that grows without bound.
TEST(gateway_crashes, EndsAreForgottenByNumberAndTime) {
  addEntries(2);
  crash_guard &Guard = Entries[0]->Guard;
  static constexpr std::uint64_t Last = crash_guard::MaxEndedBlocks + 1;
  for (std::uint64_t Fingerprint = 1; Fingerprint <= Last; ++Fingerprint) {
    Guard.onStoredBlock(storedBlock(Fingerprint));
    Guard.onStoredBlockRemoved(Fingerprint, false);
  }
  Guard.onStoreRestored();
  for (const std::uint64_t Fingerprint : {std::uint64_t{1}, Last})
    Guard.onRestoredBlock(storedBlock(Fingerprint));
  CHECK(Entries[0]->isBlocked({1, 1}));
  CHECK(!Entries[0]->isBlocked({Last, Last}));

  Entries[1]->Guard.onStoredBlock(storedBlock(1));
  Entries[1]->Guard.onStoredBlockRemoved(1, false);
  Entries[1]->Guard.tick(false, base::boot_clock::now() +
                                    crash_guard::EndedBlockRetention);
  Entries[1]->Guard.onStoreRestored();
  Entries[1]->Guard.onRestoredBlock(storedBlock(1));
  CHECK(Entries[1]->isBlocked({1, 1}));
}
