#ifndef SKYLARKDYKE_GATEWAY_DETAIL_CRASH_UPDATE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_CRASH_UPDATE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/placement/leaving_targets.hpp"
#include "skylarkdyke/poison/crash_register.hpp"
#include "skylarkdyke/routing/target.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief A crash in a message between entries. Times are relative, because the
/// clocks of entries differ.
struct encoded_crash {
  /// Without time.
  poison::target_crash Crash;
  std::chrono::milliseconds Age{0};
};

/// \brief A blocked request in a message between entries.
struct encoded_block {
  /// Without end.
  poison::blocked_request Request;
  std::chrono::milliseconds EndsIn{0};
};

/// \brief What entries tell each other of requests that crash targets.
struct crash_update {
  std::vector<encoded_crash> Crashes;
  std::vector<encoded_block> Blocks;
  /// Fingerprints of requests that a target has completed.
  std::vector<std::uint64_t> Cleared;

  bool empty() const {
    return Crashes.empty() && Blocks.empty() && Cleared.empty();
  }
};

encoded_crash toEncoded(const poison::target_crash &Crash, base::boot_time Now);
encoded_block toEncoded(const poison::blocked_request &Request,
                        base::boot_time Now);

/// \brief Converts an update to the array that entries exchange.
nlohmann::json toJson(const crash_update &Update);
/// \brief Converts it back. Times are limited to the length of a block.
/// \throws nlohmann::json::exception if the array is not an update
crash_update crashUpdateFromJson(const nlohmann::json &Fields);

/// \brief Receives what the store, other entries and the records of targets
/// tell of requests that crash targets.
class crash_sink {
public:
  virtual ~crash_sink() = default;

  /// \brief Adopts what another entry tells.
  /// \param IsNotice the entry has just learned it, and others may not know it
  virtual void adopt(const crash_update &Update, bool IsNotice) = 0;

  /// \brief Returns what an entry that starts must know.
  virtual crash_update snapshot() const = 0;

  /// \brief Adopts a block that was written to the store.
  virtual void onStoredBlock(const routing::request_blocked &Block) = 0;

  /// \brief Handles the return of the store from a copy, which may lack blocks
  /// and may hold blocks that have ended since. To be called once for each new
  /// era, before onRestoredBlock() for the blocks that the store holds.
  virtual void onStoreRestored() = 0;

  /// \brief Handles a block that a store that was restored from a copy holds.
  virtual void onRestoredBlock(const routing::request_blocked &Block) = 0;

  /// \brief Handles the removal of a block from the store.
  /// \param MayHaveLapsed the store was away, so that the block may have been
  /// lost there before its time
  virtual void onStoredBlockRemoved(std::uint64_t Fingerprint,
                                    bool MayHaveLapsed) = 0;

  /// \brief Handles a record in the store that shows the unplanned end of an
  /// incarnation.
  virtual void onTargetEnded(const placement::target_incarnation &Target) = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
