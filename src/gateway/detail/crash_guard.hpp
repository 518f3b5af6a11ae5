#ifndef SKYLARKDYKE_GATEWAY_DETAIL_CRASH_GUARD_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_CRASH_GUARD_HPP

#include "gateway/detail/crash_update.hpp"
#include "skylarkdyke/metrics/registry.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"
#include "skylarkdyke/placement/leaving_targets.hpp"
#include "skylarkdyke/poison/crash_evidence.hpp"
#include "skylarkdyke/telemetry/decision_log.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <variant>

namespace skylarkdyke::gateway::detail {

/// \return a key of one incarnation of a target that is the same at all entries
std::uint64_t incarnationKey(const placement::target_incarnation &Target);

/// \brief Keeps requests that crash targets from being sent again and again.
///
/// Finds out which targets have crashed because of a request, tells the other
/// entries, blocks requests after three crashes, and has the blocks stored.
/// Not thread-safe: all calls must come from the thread of the event loop.
class crash_guard : public crash_sink {
public:
  /// Maximum number of ended blocks that are remembered, and for how long. The
  /// store may return from a copy that still holds them.
  static constexpr std::size_t MaxEndedBlocks = 1024;
  static constexpr std::chrono::minutes EndedBlockRetention{2};

  /// Sends an update to other entries.
  /// \param PassedOn it came from another entry
  using publisher =
      std::function<void(const crash_update &Update, bool PassedOn)>;
  /// How blocks are stored.
  struct block_store {
    std::function<void(const routing::request_blocked &Block)> Write;
    std::function<void(std::uint64_t Fingerprint)> Remove;
  };

  /// \param EntrySeed differs between entries
  crash_guard(boost::asio::io_context &Loop, metrics::registry &Metrics,
              telemetry::decision_log &Log, std::uint64_t EntrySeed);

  void setPublisher(publisher NewPublisher) {
    Publish = std::move(NewPublisher);
  }
  void setBlockStore(block_store NewStore) { Store = std::move(NewStore); }

  /// \return whether any request is known to have crashed a target
  bool knowsCrashes() const { return !Register.empty(); }

  /// \return the block of a request; null if it may be sent
  const poison::blocked_request *
  findBlock(const poison::request_identity &Request, base::boot_time Now) const;

  /// \return whether a target has crashed because of the request, so that it
  /// must not be sent a second time by the same exchange
  bool hasCrashedTarget(const poison::request_identity &Request) const;

  /// \brief Records an attempt without a complete response.
  /// \param Probe whether to find out now if the target refuses connections
  void addAttempt(const poison::unanswered_attempt &Attempt,
                  const base::endpoint &Address, bool Probe);

  /// \brief Records a response of a target to any request.
  void recordResponse(const placement::target_incarnation &Target);

  /// \brief Records that a target has run a request to its end.
  void recordCompletion(const poison::request_identity &Request);

  void adopt(const crash_update &Update, bool IsNotice) override;
  crash_update snapshot() const override;
  void onStoredBlock(const routing::request_blocked &Block) override;
  void onStoreRestored() override;
  void onRestoredBlock(const routing::request_blocked &Block) override;
  void onStoredBlockRemoved(std::uint64_t Fingerprint,
                            bool MayHaveLapsed) override;
  void onTargetEnded(const placement::target_incarnation &Target) override;

  /// \brief Repeats notices, and stores blocks and removes items that are due.
  /// \param IsRelay this entry also does so for blocks that others have found
  /// out or ended
  void tick(bool IsRelay, base::boot_time Now);

private:
  /// Who has told of a crash, a block or its end.
  enum class source { Own, Entry, Store, RestoredStore };
  /// A notice that is sent once more, because datagrams may be lost.
  struct repeated_notice {
    crash_update Update;
    base::boot_time DueAt;
    unsigned Left;
  };
  /// Stores a block that is not known to be in the store.
  struct block_write {
    /// The store has lost it by its return from a copy.
    bool WasLost;
  };
  /// Removes the item of an ended block that the store holds.
  struct item_removal {};
  struct store_task {
    std::variant<block_write, item_removal> Work;
    base::boot_time DueAt;
    /// This entry has found out the last crash, or that a target has completed
    /// the request.
    bool IsOwn;
  };
  /// A block that was ended before its time.
  struct ended_block {
    base::boot_time EndedAt;
    /// This entry has found out that a target has completed the request.
    bool IsOwn;
  };

  void scheduleDecision();
  void decide();
  static const char *toText(source Source);
  bool count(const poison::target_crash &Crash, source Source,
             base::boot_time Now);
  void onBlocked(std::uint64_t Fingerprint, source Source, base::boot_time Now);
  void logBlocked(const poison::blocked_request &Block, source Source,
                  base::boot_time Now);
  static const char *toReason(source Ender);
  void logEnded(std::uint64_t Fingerprint, source Ender, base::boot_time Now);
  void putInForce(const routing::request_blocked &Block, source Source);
  bool clear(std::uint64_t Fingerprint, source Ender, base::boot_time Now);
  void removeFromStore(std::uint64_t Fingerprint, source Ender,
                       base::boot_time Now);
  void forgetWrittenBlocks(base::boot_time Now);
  void noteEnded(std::uint64_t Fingerprint, const ended_block &Ended);
  void repeatNotices(base::boot_time Now);
  void runStoreTasks(bool IsRelay, base::boot_time Now);
  void writeBlock(std::uint64_t Fingerprint, bool WasLost, base::boot_time Now);
  void forgetEndedBlocks(base::boot_time Now);
  void publish(crash_update Update, base::boot_time Now);
  void countEvent(const char *Name);

  boost::asio::io_context &Loop;
  metrics::registry &Metrics;
  telemetry::decision_log &Log;
  poison::crash_evidence Evidence;
  poison::crash_register Register;
  net::one_shot_timer DecisionTimer;
  publisher Publish;
  block_store Store;
  std::deque<repeated_notice> Notices;
  /// By fingerprint.
  std::map<std::uint64_t, store_task> StoreTasks;
  /// Fingerprints of the blocks in force that this entry has stored.
  std::set<std::uint64_t> WrittenBlocks;
  /// By fingerprint. None of them is in force.
  std::map<std::uint64_t, ended_block> EndedBlocks;
};

} // namespace skylarkdyke::gateway::detail

#endif
