#ifndef SKYLARKDYKE_GATEWAY_DETAIL_STATE_CODEC_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_STATE_CODEC_HPP

#include "gateway/detail/change_log.hpp"
#include "gateway/detail/crash_update.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/placement/target_registry.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief A target in a message between entries. Times are relative, because
/// the clocks of entries differ.
struct encoded_target {
  routing::target Target;
  /// Time after which the target is removed; nothing if its record exists.
  std::optional<std::chrono::milliseconds> RemovedIn;
};

/// \brief A target that leaves, in a message between entries.
struct encoded_leaving {
  placement::target_incarnation Target;
  /// Time for which the target may get requests that no other can take.
  std::chrono::milliseconds UsableFor{0};
};

/// \brief A change in a message between entries.
struct encoded_change {
  recorded_change Recorded;
  /// For the removal of a target, and for a change that is held back: time
  /// after which it takes effect.
  std::chrono::milliseconds EffectiveIn{0};
};

/// \brief The complete steering state of an entry.
struct state_snapshot {
  base::store_version ConfirmedVersion;
  /// Of the same era.
  base::store_version ChangeVersion;
  /// Configuration document; empty if there is none.
  std::string Document;
  std::vector<encoded_target> Targets;
  std::vector<base::domain_name> EvacuatedDomains;
  /// Time since the store had nothing newer; nothing if not known.
  std::optional<std::chrono::milliseconds> Age;
  std::vector<encoded_leaving> LeavingTargets;
  crash_update Crashes;
  /// What the store shows and the entry does not believe yet, without
  /// revisions.
  std::vector<encoded_change> HeldChanges;
  /// Time for which listings of the store may show a copy that is older than
  /// what the sender knows.
  std::chrono::milliseconds RestoredFor{0};
  /// Time for which the sender looks for the state of an entry that knows more,
  /// because its own rests on a listing of the store alone.
  std::chrono::milliseconds PeerStateFor{0};
};

/// \brief All changes after one version, up to another of the same era.
struct state_changes {
  base::store_version After;
  base::store_version ConfirmedVersion;
  std::vector<encoded_change> Changes;
  /// Time since the store had nothing newer; nothing if not known.
  std::optional<std::chrono::milliseconds> Age;
  std::vector<encoded_leaving> LeavingTargets;
};

/// \brief Targets that an entry has just learned to leave.
struct leaving_update {
  std::vector<encoded_leaving> LeavingTargets;
};

/// \brief What is known of the cold time of a target.
enum class cold_finding {
  /// The target has said that it is cold.
  Cold,
  /// The target is late to say whether it is cold, or has said that it is not
  /// after it was late.
  MayBeCold,
};

/// \brief A target that an entry has just learned to be cold, or to be late to
/// say so.
struct cold_update {
  placement::target_incarnation Target;
  /// Zero if a target that was late is not cold.
  std::chrono::milliseconds ColdFor{0};
  cold_finding Finding = cold_finding::Cold;
};

using state_message = std::variant<state_snapshot, state_changes,
                                   leaving_update, crash_update, cold_update>;

/// \brief Returns a target as it is passed on to other entries.
encoded_target toEncoded(const placement::target_state &State,
                         base::boot_time Now);

encoded_leaving toEncoded(const placement::leaving_notice &Notice,
                          base::boot_time Now);

/// \brief Encodes a message as CBOR.
std::string encode(const state_snapshot &Snapshot);
std::string encode(const state_changes &Changes);
std::string encode(const leaving_update &Update);
std::string encode(const crash_update &Update);
std::string encode(const cold_update &Update);

/// \brief Decodes a message.
/// \return the message, or the reason why the bytes are not one
base::result<state_message, std::string> decodeState(const std::string &Bytes);

} // namespace skylarkdyke::gateway::detail

#endif
