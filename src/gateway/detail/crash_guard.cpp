#include "gateway/detail/crash_guard.hpp"

#include "gateway/detail/target_probe.hpp"
#include "skylarkdyke/base/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace skylarkdyke::gateway::detail {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Maximum number of fingerprints with crashes; each request has two.
static constexpr std::size_t MaxFingerprints = 4096;
/// After a block, one more crash blocks the request again.
static constexpr poison::block_rules Rules{3, 1, 30s, 0};
/// Maximum number of crashes in one datagram, and in one decision. If more
/// targets crash at a time, the rest is counted by this entry only.
static constexpr std::size_t MaxCrashesPerNotice = 6;
static constexpr std::size_t MaxPublishedCrashes = 48;
/// How often and when a notice is repeated.
static constexpr unsigned NoticeRepetitions = 2;
static constexpr milliseconds NoticePeriod{1000};
static constexpr std::size_t MaxRepeatedNotices = 64;
/// Time after which a relay stores the block of another entry.
static constexpr milliseconds RelayWriteDelay{2000};
/// Time after which the item of an ended block is removed from a store that has
/// returned. An entry that does not know the end could take an earlier removal
/// for the end of a lease during the outage, and store the block again.
static constexpr milliseconds RestoredRemovalDelay{4000};
/// A block that is removed from the store earlier than this before its end was
/// ended by an operator or because a target completed the request. Otherwise it
/// has expired, which the entries do at different times.
static constexpr milliseconds ExpiryMargin{15000};
/// Limits of a state that an entry that starts adopts.
static constexpr std::size_t MaxCrashesInSnapshot = 256;
static constexpr std::size_t MaxBlocksInSnapshot = 256;

static poison::block_rules rulesFor(std::uint64_t EntrySeed) {
  poison::block_rules EntryRules = Rules;
  EntryRules.EntrySeed = EntrySeed;
  return EntryRules;
}

std::uint64_t incarnationKey(const placement::target_incarnation &Target) {
  return poison::fingerprintOf({Target.Id.str(), base::toString(Target.Address),
                                std::to_string(Target.StartedAtMs)});
}

crash_guard::crash_guard(boost::asio::io_context &Loop,
                         metrics::registry &Metrics,
                         telemetry::decision_log &Log, std::uint64_t EntrySeed)
    : Loop(Loop), Metrics(Metrics), Log(Log),
      Register(MaxFingerprints, rulesFor(EntrySeed)), DecisionTimer(Loop) {}

const poison::blocked_request *
crash_guard::findBlock(const poison::request_identity &Request,
                       base::boot_time Now) const {
  const auto *Block = Register.findBlock(Request.OfCaller, Now);
  return Block != nullptr ? Block
                          : Register.findBlock(Request.OfAnyCaller, Now);
}

bool crash_guard::hasCrashedTarget(
    const poison::request_identity &Request) const {
  return Register.crashesOf(Request.OfCaller) > 0 ||
         Register.crashesOf(Request.OfAnyCaller) > 0;
}

void crash_guard::countEvent(const char *Name) {
  Metrics
      .counter("skylarkdyke_request_crashes_total",
               "Events of requests that may crash targets", {{"event", Name}})
      .add();
}

void crash_guard::addAttempt(const poison::unanswered_attempt &Attempt,
                             const base::endpoint &Address, bool Probe) {
  if (!Evidence.addAttempt(Attempt) || !Probe)
    return;
  countEvent("suspected");
  SKYLARKDYKE_DECISION(
      Log, CrashSuspected, Attempt.EndedAt,
      {{"target", Attempt.Target.str()},
       {"incarnation", poison::toString(Attempt.Incarnation)},
       {"fingerprint", poison::toString(Attempt.Request.OfAnyCaller)},
       {"summary", Attempt.Summary}});
  target_probe::start(
      Loop, Address,
      [this, Incarnation = Attempt.Incarnation](base::boot_time At) {
        Evidence.recordRefusal(Incarnation, At);
        scheduleDecision();
        return Evidence.isUnresolved(Incarnation);
      });
}

void crash_guard::recordResponse(const placement::target_incarnation &Target) {
  if (!Evidence.empty())
    Evidence.recordResponse(incarnationKey(Target), base::boot_clock::now());
}

void crash_guard::recordCompletion(const poison::request_identity &Request) {
  const auto Now = base::boot_clock::now();
  Evidence.forget(Request);
  crash_update Update;
  for (const std::uint64_t Fingerprint :
       {Request.OfCaller, Request.OfAnyCaller})
    if (clear(Fingerprint, source::Own, Now))
      Update.Cleared.push_back(Fingerprint);
  if (!Update.empty())
    publish(std::move(Update), Now);
}

const char *crash_guard::toReason(source Ender) {
  switch (Ender) {
  case source::Own:
    return "completed";
  case source::Entry:
    return "entry";
  case source::Store:
    return "removed";
  case source::RestoredStore:
    return "restored";
  }
  return "unknown";
}

/// \param Ender who has told of the end
/// \return whether anything was known of the fingerprint
bool crash_guard::clear(std::uint64_t Fingerprint, source Ender,
                        base::boot_time Now) {
  const bool WasBlocked = Register.isBlocked(Fingerprint, Now);
  if (!Register.clear(Fingerprint))
    return false;
  countEvent("cleared");
  if (!WasBlocked)
    return true;
  StoreTasks.erase(Fingerprint);
  noteEnded(Fingerprint, {Now, Ender == source::Own});
  logEnded(Fingerprint, Ender, Now);
  removeFromStore(Fingerprint, Ender, Now);
  return true;
}

/// Removes the item of an ended block. All entries learn of the end, so that
/// only the one that has found it out calls the store, and those that have
/// written the item, because their write may still be under way. The relays do
/// so later if the item is still there.
void crash_guard::removeFromStore(std::uint64_t Fingerprint, source Ender,
                                  base::boot_time Now) {
  const bool HasWritten = WrittenBlocks.erase(Fingerprint) != 0;
  if (Ender == source::Own || HasWritten) {
    if (Store.Remove)
      Store.Remove(Fingerprint);
  } else if (Ender == source::Entry) {
    StoreTasks[Fingerprint] = {item_removal{}, Now + RelayWriteDelay, false};
  }
}

void crash_guard::forgetWrittenBlocks(base::boot_time Now) {
  for (auto It = WrittenBlocks.begin(); It != WrittenBlocks.end();)
    It = Register.isBlocked(*It, Now) ? std::next(It) : WrittenBlocks.erase(It);
}

void crash_guard::logEnded(std::uint64_t Fingerprint, source Ender,
                           base::boot_time Now) {
  SKYLARKDYKE_DECISION(Log, BlockEnded, Now,
                       {{"fingerprint", poison::toString(Fingerprint)},
                        {"reason", toReason(Ender)}});
}

/// Remembers an end. Beyond the limit the earliest one is forgotten.
void crash_guard::noteEnded(std::uint64_t Fingerprint,
                            const ended_block &Ended) {
  EndedBlocks[Fingerprint] = Ended;
  if (EndedBlocks.size() <= MaxEndedBlocks)
    return;
  const auto EndedEarlier = [](const auto &Left, const auto &Right) {
    return Left.second.EndedAt < Right.second.EndedAt;
  };
  EndedBlocks.erase(
      std::min_element(EndedBlocks.begin(), EndedBlocks.end(), EndedEarlier));
}

void crash_guard::forgetEndedBlocks(base::boot_time Now) {
  for (auto It = EndedBlocks.begin(); It != EndedBlocks.end();) {
    const bool IsOld = It->second.EndedAt + EndedBlockRetention <= Now;
    It = IsOld ? EndedBlocks.erase(It) : std::next(It);
  }
}

void crash_guard::onTargetEnded(const placement::target_incarnation &Target) {
  Evidence.recordEnd(incarnationKey(Target), base::boot_clock::now());
  scheduleDecision();
}

void crash_guard::scheduleDecision() {
  if (const auto At = Evidence.nextDecisionAt())
    DecisionTimer.set(*At, [this] { decide(); });
}

void crash_guard::decide() {
  const auto Now = base::boot_clock::now();
  const auto Crashes = Evidence.takeCrashes(Register, Now);
  crash_update Update;
  std::size_t Published = 0;
  for (const poison::target_crash &Crash : Crashes) {
    if (!count(Crash, source::Own, Now) || ++Published > MaxPublishedCrashes)
      continue;
    // Others may have missed earlier notices.
    for (const poison::target_crash &Known :
         Register.crashesFor(Crash.Fingerprint))
      Update.Crashes.push_back(toEncoded(Known, Now));
    if (Update.Crashes.size() >= MaxCrashesPerNotice)
      publish(std::exchange(Update, {}), Now);
  }
  if (!Update.empty())
    publish(std::move(Update), Now);
  scheduleDecision();
}

const char *crash_guard::toText(source Source) {
  switch (Source) {
  case source::Own:
    return "own";
  case source::Entry:
    return "entry";
  case source::Store:
    return "store";
  case source::RestoredStore:
    return "restored";
  }
  return "unknown";
}

/// \return false if the crash is known already
bool crash_guard::count(const poison::target_crash &Crash, source Source,
                        base::boot_time Now) {
  const bool WasBlocked = Register.isBlocked(Crash.Fingerprint, Now);
  if (!Register.add(Crash, Now))
    return false;
  countEvent("crash");
  SKYLARKDYKE_DECISION(Log, TargetCrashed, Now,
                       {{"target", Crash.Target.str()},
                        {"fingerprint", poison::toString(Crash.Fingerprint)},
                        {"summary", Crash.Summary},
                        {"crashes", static_cast<std::int64_t>(
                                        Register.crashesOf(Crash.Fingerprint))},
                        {"age_ms", nanoseconds(Now - Crash.At)},
                        {"source", toText(Source)}});
  if (!WasBlocked && Register.isBlocked(Crash.Fingerprint, Now))
    onBlocked(Crash.Fingerprint, Source, Now);
  return true;
}

void crash_guard::onBlocked(std::uint64_t Fingerprint, source Source,
                            base::boot_time Now) {
  countEvent("blocked");
  logBlocked(*Register.findBlock(Fingerprint, Now), Source, Now);
  EndedBlocks.erase(Fingerprint);
  const bool IsOwn = Source == source::Own;
  const milliseconds Delay = IsOwn ? milliseconds(0) : RelayWriteDelay;
  StoreTasks[Fingerprint] = {block_write{false}, Now + Delay, IsOwn};
}

void crash_guard::logBlocked(const poison::blocked_request &Block,
                             source Source, base::boot_time Now) {
  SKYLARKDYKE_DECISION(Log, RequestBlocked, Now,
                       {{"fingerprint", poison::toString(Block.Fingerprint)},
                        {"summary", Block.Summary},
                        {"service", Block.Service.str()},
                        {"crashes", static_cast<std::int64_t>(Block.Crashes)},
                        {"blocked_ms", nanoseconds(Block.BlockedUntil - Now)},
                        {"source", toText(Source)}});
}

void crash_guard::publish(crash_update Update, base::boot_time Now) {
  if (Publish)
    Publish(Update, false);
  if (Notices.size() < MaxRepeatedNotices)
    Notices.push_back(
        {std::move(Update), Now + NoticePeriod, NoticeRepetitions});
}

void crash_guard::adopt(const crash_update &Update, bool IsNotice) {
  const auto Now = base::boot_clock::now();
  bool IsNew = false;
  for (const auto &[Encoded, Age] : Update.Crashes) {
    poison::target_crash Crash = Encoded;
    Crash.At = Now - Age;
    IsNew = count(Crash, source::Entry, Now) || IsNew;
  }
  for (const auto &[Encoded, EndsIn] : Update.Blocks) {
    poison::blocked_request Block = Encoded;
    Block.BlockedUntil = Now + EndsIn;
    // The other entry may have it from a copy of the store.
    if (EndedBlocks.count(Block.Fingerprint) != 0)
      continue;
    if (EndsIn.count() > 0 && Register.block(Block, Now)) {
      onBlocked(Block.Fingerprint, source::Entry, Now);
      IsNew = true;
    }
  }
  for (const std::uint64_t Fingerprint : Update.Cleared)
    IsNew = clear(Fingerprint, source::Entry, Now) || IsNew;
  if (IsNotice && IsNew && Publish)
    Publish(Update, true);
}

crash_update crash_guard::snapshot() const {
  const auto Now = base::boot_clock::now();
  crash_update Update;
  for (const auto &Crash : Register.latestCrashes(MaxCrashesInSnapshot))
    Update.Crashes.push_back(toEncoded(Crash, Now));
  for (const auto &Block : Register.blocked(Now))
    if (Update.Blocks.size() < MaxBlocksInSnapshot)
      Update.Blocks.push_back(toEncoded(Block, Now));
  return Update;
}

void crash_guard::onStoredBlock(const routing::request_blocked &Block) {
  putInForce(Block, source::Store);
}

/// Puts a block in force that the store holds.
void crash_guard::putInForce(const routing::request_blocked &Block,
                             source Source) {
  const auto Now = base::boot_clock::now();
  // The store tells how long a block lasts by removing it.
  const poison::blocked_request Request{Block.Fingerprint, Block.Service,
                                        Block.Summary, Block.Crashes,
                                        Now + poison::BlockDuration};
  if (!Register.isBlocked(Block.Fingerprint, Now) &&
      Register.block(Request, Now))
    onBlocked(Block.Fingerprint, Source, Now);
  StoreTasks.erase(Block.Fingerprint);
}

void crash_guard::onStoreRestored() {
  const auto Now = base::boot_clock::now();
  for (auto It = StoreTasks.begin(); It != StoreTasks.end();) {
    const bool IsRemoval =
        std::holds_alternative<item_removal>(It->second.Work);
    It = IsRemoval ? StoreTasks.erase(It) : std::next(It);
  }
  for (const poison::blocked_request &Block : Register.blocked(Now))
    if (Block.BlockedUntil - Now >= ExpiryMargin)
      StoreTasks.try_emplace(
          Block.Fingerprint,
          store_task{block_write{true}, Now + RelayWriteDelay, false});
}

void crash_guard::onRestoredBlock(const routing::request_blocked &Block) {
  const auto Ended = EndedBlocks.find(Block.Fingerprint);
  if (Ended == EndedBlocks.end())
    return putInForce(Block, source::RestoredStore);
  const auto Now = base::boot_clock::now();
  Ended->second.EndedAt = Now;
  const store_task Removal{item_removal{}, Now + RestoredRemovalDelay,
                           Ended->second.IsOwn};
  // Further listings may follow before the item is removed.
  if (StoreTasks.try_emplace(Block.Fingerprint, Removal).second)
    logEnded(Block.Fingerprint, source::RestoredStore, Now);
}

void crash_guard::onStoredBlockRemoved(std::uint64_t Fingerprint,
                                       bool MayHaveLapsed) {
  const auto Now = base::boot_clock::now();
  const auto *Block = Register.findBlock(Fingerprint, Now);
  if (Block == nullptr)
    StoreTasks.erase(Fingerprint);
  if (Block == nullptr || Block->BlockedUntil - Now < ExpiryMargin)
    return;
  if (MayHaveLapsed)
    StoreTasks[Fingerprint] = {block_write{false}, Now + RelayWriteDelay,
                               false};
  else
    clear(Fingerprint, source::Store, Now);
}

void crash_guard::tick(bool IsRelay, base::boot_time Now) {
  Evidence.forgetExpired(Now);
  forgetEndedBlocks(Now);
  forgetWrittenBlocks(Now);
  repeatNotices(Now);
  runStoreTasks(IsRelay, Now);
  Metrics
      .gauge("skylarkdyke_requests_blocked",
             "Requests that are refused because they crash targets")
      .set(static_cast<double>(Register.blocked(Now).size()));
}

void crash_guard::repeatNotices(base::boot_time Now) {
  while (!Notices.empty() && Notices.front().DueAt <= Now) {
    repeated_notice Notice = std::move(Notices.front());
    Notices.pop_front();
    if (Publish)
      Publish(Notice.Update, false);
    Notice.DueAt = Now + NoticePeriod;
    if (--Notice.Left > 0)
      Notices.push_back(std::move(Notice));
  }
}

void crash_guard::runStoreTasks(bool IsRelay, base::boot_time Now) {
  for (auto It = StoreTasks.begin(); It != StoreTasks.end();) {
    const auto &[Fingerprint, Task] = *It;
    if (Task.DueAt > Now) {
      ++It;
      continue;
    }
    if (IsRelay || Task.IsOwn)
      std::visit(base::overloaded{[&, Key = Fingerprint](block_write Write) {
                                    writeBlock(Key, Write.WasLost, Now);
                                  },
                                  [&, Key = Fingerprint](item_removal) {
                                    if (Store.Remove)
                                      Store.Remove(Key);
                                  }},
                 Task.Work);
    It = StoreTasks.erase(It);
  }
}

void crash_guard::writeBlock(std::uint64_t Fingerprint, bool WasLost,
                             base::boot_time Now) {
  const auto *Block = Register.findBlock(Fingerprint, Now);
  if (Block == nullptr || !Store.Write)
    return;
  if (WasLost)
    logBlocked(*Block, source::RestoredStore, Now);
  WrittenBlocks.insert(Fingerprint);
  Store.Write({Fingerprint, Block->Service, Block->Summary, Block->Crashes});
}

} // namespace skylarkdyke::gateway::detail
