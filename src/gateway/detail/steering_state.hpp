#ifndef SKYLARKDYKE_GATEWAY_DETAIL_STEERING_STATE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_STEERING_STATE_HPP

#include "gateway/detail/change_log.hpp"
#include "gateway/detail/crash_update.hpp"
#include "gateway/detail/restore_guard.hpp"
#include "gateway/detail/state_codec.hpp"
#include "gateway/detail/state_freshness.hpp"
#include "skylarkdyke/gateway/change_source.hpp"
#include "skylarkdyke/gateway/gateway.hpp"
#include "skylarkdyke/placement/target_registry.hpp"
#include "skylarkdyke/routing/route_table.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace skylarkdyke::gateway::detail {

/// \brief What another entry says of its state in a heartbeat.
struct other_state {
  /// Store version of the newest change in it.
  base::store_version ChangeVersion;
  std::uint64_t ConfigurationVersion = 0;
  /// Time since the store had nothing newer; nothing if not known.
  std::optional<std::chrono::milliseconds> Age;
};

/// \brief A target has said that it is cold, or is late to say so.
struct cold_notice {
  placement::target_incarnation Target;
  base::boot_time ColdUntil;
  cold_finding Finding = cold_finding::Cold;
};

/// \brief Configuration, targets and evacuated failure domains, as received
/// from the store or from another entry. The configuration version never
/// decreases, also if the store comes back from a copy.
class steering_state : public change_sink {
public:
  using clock = std::function<base::boot_time()>;
  /// Called with the mesh address of an entry that registered itself in the
  /// store.
  using entry_callback = std::function<void(const base::endpoint &)>;
  /// Called with a notice that other entries may not have.
  using leaving_callback =
      std::function<void(const placement::leaving_notice &)>;

  /// Called with a notice that other entries may not have.
  /// \param PassedOn another entry has said so
  using cold_callback =
      std::function<void(const cold_notice &Notice, bool PassedOn)>;

  steering_state(placement::target_registry &TargetRegistry,
                 configuration_decoder Decoder,
                 std::chrono::milliseconds RecordRecoveryTime, clock Clock);

  void setEntryCallback(entry_callback Callback) {
    OnEntryRegistered = std::move(Callback);
  }

  /// \brief Sets a callback that runs after changes of the store were applied.
  void setConfirmedCallback(std::function<void()> Callback) {
    OnConfirmed = std::move(Callback);
  }

  /// \brief Sets a callback for targets that are newly known to leave, from a
  /// response or a message of its own of another entry.
  void setLeavingCallback(leaving_callback Callback) {
    OnLeaving = std::move(Callback);
  }

  /// \brief Sets a callback for targets that are newly known to be cold, from a
  /// health check or a message of another entry.
  void setColdCallback(cold_callback Callback) { OnCold = std::move(Callback); }

  /// \brief Records that a target has said that it is cold, or is late to say
  /// so.
  /// \return true if it was not known to be
  bool recordCold(const cold_notice &Notice);

  /// \brief Sets what receives the news of requests that crash targets; must
  /// outlive the state.
  void setCrashSink(crash_sink &Sink) { Crashes = &Sink; }

  /// \brief Records that a target has said in a response that it leaves.
  /// \return true if it was not known to leave
  bool recordLeaving(const placement::leaving_notice &Notice);

  void replaceAll(const std::vector<routing::store_change> &Items,
                  std::uint64_t NewestRevision,
                  const base::store_version &AsOf) override;
  void apply(const routing::store_change &Change,
             const base::store_version &Version) override;
  void applyEarly(const routing::store_change &Change) override;
  void confirmVersion(const base::store_version &AsOf) override;
  void reportFailure(const std::string &Reason) override;

  /// \brief Applies what was held back after a return of the store from a copy
  /// and is due.
  void applyHeld();

  /// \brief Returns the active routes; null before the first configuration.
  const std::shared_ptr<const routing::route_table> &routes() const {
    return Routes;
  }
  /// \brief Returns whether requests can be steered: a configuration and at
  /// least one target have been received.
  bool isComplete() const { return Routes && HasTargets; }
  /// \brief Returns the store version of the newest change applied.
  const base::store_version &changeVersion() const { return ChangeVersion; }
  /// \brief Returns the store version up to which all changes are applied.
  const base::store_version &confirmedVersion() const {
    return ConfirmedVersion;
  }

  /// \brief Returns whether the latest call to the store failed.
  bool isStoreDown() const { return StoreDown; }

  /// \param Age time within which a change must be in force
  void setMaxAge(std::chrono::milliseconds Age) { Freshness.setMaxAge(Age); }
  /// \brief Records what another entry says of its own state.
  void noteOtherState(const other_state &Other);
  /// \brief Returns whether a newer configuration may be in force elsewhere.
  bool mayBeOutdated(base::boot_time Now) const {
    return Freshness.isOutdated(version(), Now);
  }
  /// \return configuration version in force; zero before the first
  std::uint64_t version() const { return Routes ? Routes->version() : 0; }
  /// \return newest configuration version that is known to exist
  std::uint64_t newestVersion() const { return Freshness.newestVersion(); }
  /// \return the time by the clock of this state
  base::boot_time now() const { return Clock(); }
  /// \return time since the version in force was installed; zero before the
  /// first
  std::chrono::nanoseconds configurationAge(base::boot_time Now) const {
    return Routes ? Now - InstalledAt : std::chrono::nanoseconds(0);
  }
  /// \return time since the state was last known to be the newest; nothing if
  /// it never was
  std::optional<std::chrono::milliseconds> age(base::boot_time Now) const {
    return Freshness.age(Now);
  }
  /// \return the same time as far as other entries may rely on it
  std::optional<std::chrono::milliseconds>
  reportedAge(base::boot_time Now) const {
    return Freshness.reportedAge(Now);
  }

  /// \brief Encodes the complete state as CBOR for another entry.
  std::string encodeSnapshot() const;

  /// Stands for a configuration version that needs no newer one.
  static constexpr std::uint64_t AnyConfiguration =
      std::numeric_limits<std::uint64_t>::max();

  /// \brief Returns whether the changes after a version are known one by one
  /// and lead to the configuration in force.
  /// \param ConfigurationVersion configuration in force at that version
  bool
  hasChangesAfter(const base::store_version &Version,
                  std::uint64_t ConfigurationVersion = AnyConfiguration) const;

  /// \brief Encodes for another entry what has changed after a version: the
  /// changes, or the complete state if hasChangesAfter() is false.
  std::string
  encodeStateAfter(const base::store_version &Version,
                   std::uint64_t ConfigurationVersion = AnyConfiguration) const;

  /// \brief Returns whether a configuration would replace the one in force, as
  /// far as is known.
  bool lacksConfiguration(std::uint64_t Version) const {
    return Version > newestExaminedVersion();
  }
  /// \return newest configuration version that was installed or refused
  std::uint64_t newestExaminedVersion() const {
    return std::max(version(), RefusedVersion);
  }

  /// \brief Returns whether the state rests on a listing of the store alone. It
  /// may be a copy, and other entries may know what was withdrawn since.
  bool needsPeerState() const { return Clock() < PeerStateUntil; }

  /// \brief Adopts the state or the changes that another entry encoded, if
  /// they are newer. A newer configuration and targets that leave are taken
  /// over in any case.
  /// \return false if nothing was adopted: they are not newer, do not continue
  /// the own state or cannot be decoded
  bool adoptState(const std::string &Bytes);

private:
  /// Who shows the complete content of the store.
  enum class listing_source { Store, Entry };

  void installConfiguration(const std::string &Document);
  base::boot_time removalTime() const;
  void reportEnd(const base::target_id &Target);
  void onBlockRemoved(std::uint64_t Fingerprint);
  void noteStoreAvailable();
  void record(const routing::store_change &Change,
              const base::store_version &Version);
  void replaceItems(const std::vector<routing::store_change> &Items,
                    const base::store_version &Newest,
                    const base::store_version &AsOf, listing_source Source);
  bool joinEra(std::uint64_t Era);
  void beginEra(const base::store_version &AsOf);
  bool mayShowCopy() const { return Clock() < RestoredUntil; }
  base::boot_time holdEndOf(const routing::store_change &Item) const;
  bool applyListed(const routing::store_change &Item, std::uint64_t Era);
  bool applyListedTarget(const routing::target &Target, std::uint64_t Era);
  bool endUnlistedEvacuations(const std::set<base::domain_name> &Listed);
  bool removeUnlistedTargets(const std::set<base::target_id> &Listed,
                             base::boot_time At);
  void removeTarget(const base::target_id &Id, base::boot_time At);
  void adoptHeld(const state_snapshot &Snapshot);
  bool adoptSnapshot(const state_snapshot &Snapshot);
  void adoptBehindListing(const state_snapshot &Snapshot);
  void adopt(const state_snapshot &Snapshot);
  void adopt(const state_changes &Changes);
  void confirmAt(std::optional<std::chrono::milliseconds> Age);
  void applyChange(const routing::store_change &Change);
  bool recordInRegistry(const cold_notice &Notice, base::boot_time Now);
  void adopt(const cold_update &Update);
  void noteColdNews(const routing::target &Target, base::boot_time Now) const;
  void adoptLeaving(const std::vector<encoded_leaving> &Targets, bool PassOn);

  placement::target_registry &TargetRegistry;
  configuration_decoder Decoder;
  std::chrono::milliseconds RecordRecoveryTime;
  clock Clock;
  entry_callback OnEntryRegistered;
  std::function<void()> OnConfirmed;
  leaving_callback OnLeaving;
  cold_callback OnCold;
  crash_sink *Crashes = nullptr;
  std::shared_ptr<const routing::route_table> Routes;
  base::boot_time InstalledAt{};
  state_freshness Freshness;
  std::string Document;
  change_log Log;
  bool HasTargets = false;
  bool StoreDown = false;
  base::boot_time OutageStartedAt{};
  base::boot_time OutageEndedAt{};
  base::store_version ChangeVersion;
  base::store_version ConfirmedVersion;
  restore_guard Guard;
  /// Time until which listings may show a copy that is older than what is known
  /// from an earlier era.
  base::boot_time RestoredUntil{};
  /// Time until which the state of another entry is taken over although it is
  /// not newer, see needsPeerState().
  base::boot_time PeerStateUntil{};
  /// Least version of such a state.
  base::store_version PeerStateFrom;
  /// Newest configuration version that was refused.
  std::uint64_t RefusedVersion = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
