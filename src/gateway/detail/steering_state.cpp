#include "gateway/detail/steering_state.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/base/overloaded.hpp"

#include <algorithm>
#include <set>

namespace skylarkdyke::gateway::detail {

using base::overloaded;
using std::chrono::milliseconds;

/// Discovery records do not expire during a store outage of up to this
/// duration.
static constexpr milliseconds ToleratedOutage{2500};
/// Maximum number of leaving targets in a complete state.
static constexpr std::size_t MaxLeavingInSnapshot = 1024;
/// Maximum number of leaving targets that are repeated with changes, and time
/// for which they are: a message of its own tells of each, but may be lost.
static constexpr std::size_t MaxLeavingInChanges = 8;
static constexpr milliseconds LeavingRepeatTime{10000};
/// By how much less time an entry passes on that a target may be cold, so that
/// late messages do not prolong it.
static constexpr milliseconds PassOnTime{500};

steering_state::steering_state(placement::target_registry &TargetRegistry,
                               configuration_decoder Decoder,
                               milliseconds RecordRecoveryTime, clock Clock)
    : TargetRegistry(TargetRegistry), Decoder(std::move(Decoder)),
      RecordRecoveryTime(RecordRecoveryTime), Clock(std::move(Clock)) {}

void steering_state::installConfiguration(const std::string &Text) {
  auto Decoded = Decoder(Text);
  if (!Decoded) {
    const refused_configuration &Refused = Decoded.error();
    Freshness.noteVersion(Refused.Version);
    SKYLARKDYKE_LOG(ERROR, ConfigInvalid)
        << "version=" << Refused.Version << " in_force=" << version() << ' '
        << base::toString(Refused.Findings);
    return;
  }
  const std::uint64_t Version = Decoded.value().Version;
  if (Routes && Version <= Routes->version()) {
    if (Version < Routes->version())
      SKYLARKDYKE_LOG(INFO, ConfigStaleIgnored)
          << "version=" << Version << " in_force=" << Routes->version();
    return;
  }
  Document = Text;
  InstalledAt = Clock();
  Freshness.noteVersion(Version);
  Routes =
      std::make_shared<const routing::route_table>(std::move(Decoded.value()));
  SKYLARKDYKE_LOG(INFO, ConfigInstalled) << "version=" << Version;
}

base::boot_time steering_state::removalTime() const {
  // Targets republish the records that expired during a store outage soon
  // after it, so their removal is delayed until then.
  const auto Now = Clock();
  const bool AfterOutage = OutageEndedAt - OutageStartedAt > ToleratedOutage &&
                           OutageEndedAt > base::boot_time{};
  return AfterOutage ? std::max(Now, OutageEndedAt + RecordRecoveryTime) : Now;
}

/// Reports the end of an incarnation that its record does not announce.
void steering_state::reportEnd(const base::target_id &Target) {
  const auto *State = TargetRegistry.find(Target);
  if (Crashes != nullptr && State != nullptr && !State->RemovedAt &&
      !State->Target.Draining && !State->UsableUntil)
    Crashes->onTargetEnded(placement::incarnationOf(State->Target));
}

void steering_state::onBlockRemoved(std::uint64_t Fingerprint) {
  // Leases may run out while the store is away.
  if (Crashes != nullptr)
    Crashes->onStoredBlockRemoved(Fingerprint,
                                  StoreDown || removalTime() > Clock());
}

void steering_state::applyChange(const routing::store_change &Change) {
  const auto Now = Clock();
  std::visit(
      overloaded{[&](const routing::configuration_published &Update) {
                   installConfiguration(Update.Document);
                 },
                 [&](const routing::target_published &Update) {
                   const auto *Known = TargetRegistry.find(Update.Target.Id);
                   const bool IsRestarted =
                       Known != nullptr &&
                       placement::incarnationOf(Known->Target) !=
                           placement::incarnationOf(Update.Target);
                   if (IsRestarted)
                     reportEnd(Update.Target.Id);
                   if (!TargetRegistry.upsert(Update.Target, Now))
                     LOG(WARNING) << "target " << Update.Target.Id.str()
                                  << " is in an unknown failure domain";
                 },
                 [&](const routing::target_removed &Update) {
                   if (removalTime() <= Now)
                     reportEnd(Update.Id);
                   TargetRegistry.remove(Update.Id, removalTime());
                 },
                 [&](const routing::evacuation_started &Update) {
                   TargetRegistry.startEvacuation(Update.Domain);
                 },
                 [&](const routing::evacuation_ended &Update) {
                   milliseconds ColdTime{0};
                   if (Routes)
                     for (const routing::service &Service : Routes->services())
                       ColdTime = std::max(ColdTime, Service.ColdTime);
                   TargetRegistry.endEvacuation(Update.Domain, ColdTime, Now);
                 },
                 [&](const routing::entry_announced &Update) {
                   if (OnEntryRegistered)
                     OnEntryRegistered(Update.MeshAddress);
                 },
                 [&](const routing::request_blocked &Update) {
                   if (Crashes != nullptr)
                     Crashes->onStoredBlock(Update);
                 },
                 [&](const routing::block_removed &Update) {
                   onBlockRemoved(Update.Fingerprint);
                 }},
      Change);
}

void steering_state::replaceAll(const std::vector<routing::store_change> &Items,
                                std::uint64_t NewestRevision,
                                const base::store_version &AsOf) {
  noteStoreAvailable();
  if (AsOf < ConfirmedVersion) {
    SKYLARKDYKE_LOG(WARNING, StoreListingDropped)
        << "as_of=" << base::toString(AsOf)
        << " confirmed=" << base::toString(ConfirmedVersion);
    return;
  }
  replaceItems(Items, {AsOf.Era, NewestRevision}, AsOf);
  Freshness.confirm(Clock());
}

void steering_state::replaceItems(
    const std::vector<routing::store_change> &Items,
    const base::store_version &Newest, const base::store_version &AsOf) {
  ConfirmedVersion = AsOf;
  Log.restartAfter(AsOf);
  std::set<base::target_id> Listed;
  std::set<base::domain_name> Evacuated;
  for (const auto &Item : Items) {
    applyChange(Item);
    if (const auto *Target = std::get_if<routing::target_published>(&Item))
      Listed.insert(Target->Target.Id);
    if (const auto *Domain = std::get_if<routing::evacuation_started>(&Item))
      Evacuated.insert(Domain->Domain);
  }
  bool HasRemovals = TargetRegistry.removeUnlisted(Listed, removalTime()) > 0;
  const auto EvacuatedBefore = TargetRegistry.evacuatedDomains();
  for (const base::domain_name &Domain : EvacuatedBefore)
    if (Evacuated.count(Domain) == 0) {
      applyChange(routing::evacuation_ended{Domain});
      HasRemovals = true;
    }
  HasTargets = HasTargets || !Listed.empty();
  // A removal leaves no item behind whose revision would tell other entries of
  // it.
  ChangeVersion = std::max(
      {ChangeVersion, Newest, HasRemovals ? AsOf : base::store_version()});
}

void steering_state::apply(const routing::store_change &Change,
                           const base::store_version &Version) {
  noteStoreAvailable();
  // A slow response of the store may hold what a newer state of another entry
  // has replaced.
  if (Version <= ConfirmedVersion)
    return;
  applyChange(Change);
  record(Change, Version);
}

void steering_state::record(const routing::store_change &Change,
                            const base::store_version &Version) {
  Log.add(Change, Version);
  HasTargets =
      HasTargets || std::holds_alternative<routing::target_published>(Change);
  if (!std::holds_alternative<routing::entry_announced>(Change))
    ChangeVersion = std::max(ChangeVersion, Version);
}

void steering_state::applyEarly(const routing::store_change &Change) {
  if (std::holds_alternative<routing::configuration_published>(Change) ||
      std::holds_alternative<routing::evacuation_started>(Change) ||
      std::holds_alternative<routing::entry_announced>(Change))
    applyChange(Change);
}

void steering_state::confirmVersion(const base::store_version &AsOf) {
  noteStoreAvailable();
  ConfirmedVersion = std::max(ConfirmedVersion, AsOf);
  Freshness.confirm(Clock());
  if (OnConfirmed)
    OnConfirmed();
}

void steering_state::noteOtherState(const other_state &Other) {
  Freshness.noteVersion(Other.ConfigurationVersion);
  if (Other.ChangeVersion <= ConfirmedVersion)
    confirmAt(Other.Age);
}

/// Records what another entry has confirmed some time ago.
void steering_state::confirmAt(std::optional<milliseconds> Age) {
  if (Age)
    Freshness.confirmByReport(Clock() - *Age);
}

void steering_state::noteStoreAvailable() {
  if (!StoreDown)
    return;
  StoreDown = false;
  OutageEndedAt = Clock();
  SKYLARKDYKE_LOG(INFO, StoreAvailable)
      << "version=" << base::toString(ConfirmedVersion);
}

void steering_state::reportFailure(const std::string &Reason) {
  if (StoreDown)
    return;
  StoreDown = true;
  OutageStartedAt = Clock();
  SKYLARKDYKE_LOG(WARNING, StoreUnavailable) << "reason=" << Reason;
}

bool steering_state::recordLeaving(const placement::leaving_notice &Notice) {
  if (!TargetRegistry.recordLeaving(Notice))
    return false;
  if (OnLeaving)
    OnLeaving(Notice);
  return true;
}

bool steering_state::recordInRegistry(const cold_notice &Notice,
                                      base::boot_time Now) {
  return Notice.Finding == cold_finding::Cold
             ? TargetRegistry.recordCold(Notice.Target, Notice.ColdUntil, Now)
             : TargetRegistry.recordMayBeCold(Notice.Target, Notice.ColdUntil,
                                              Now);
}

bool steering_state::recordCold(const cold_notice &Notice) {
  if (!recordInRegistry(Notice, Clock()))
    return false;
  if (OnCold)
    OnCold(Notice, false);
  return true;
}

void steering_state::adopt(const cold_update &Update) {
  const auto Now = Clock();
  const cold_notice Notice{Update.Target, Now + Update.ColdFor, Update.Finding};
  if (!recordInRegistry(Notice, Now))
    return;
  SKYLARKDYKE_LOG(INFO, TargetCold)
      << "target=" << Update.Target.Id.str()
      << " source=entry confirmed=" << (Update.Finding == cold_finding::Cold)
      << " cold_ms=" << Update.ColdFor.count();
  cold_notice PassedOn = Notice;
  if (Update.Finding == cold_finding::MayBeCold && Notice.ColdUntil > Now) {
    PassedOn.ColdUntil -= PassOnTime;
    if (PassedOn.ColdUntil <= Now)
      return;
  }
  if (OnCold)
    OnCold(PassedOn, true);
}

/// \param PassOn whether other entries may not have heard of them
void steering_state::adoptLeaving(const std::vector<encoded_leaving> &Targets,
                                  bool PassOn) {
  const auto Now = Clock();
  for (const encoded_leaving &Leaving : Targets) {
    const placement::leaving_notice Notice{Leaving.Target,
                                           placement::leaving_source::Entry,
                                           Now, Now + Leaving.UsableFor};
    const bool IsNew =
        PassOn ? recordLeaving(Notice) : TargetRegistry.recordLeaving(Notice);
    if (IsNew)
      SKYLARKDYKE_LOG(INFO, TargetLeaving)
          << "target=" << Leaving.Target.Id.str()
          << " source=entry usable_ms=" << Leaving.UsableFor.count();
  }
}

std::string steering_state::encodeSnapshot() const {
  const auto Now = Clock();
  state_snapshot Snapshot;
  Snapshot.ConfirmedVersion = ConfirmedVersion;
  Snapshot.ChangeVersion = ChangeVersion;
  Snapshot.Age = Freshness.reportedAge(Now);
  Snapshot.Document = Document;
  TargetRegistry.forEach([&](const placement::target_state &State) {
    Snapshot.Targets.push_back(toEncoded(State, Now));
  });
  const auto &Evacuated = TargetRegistry.evacuatedDomains();
  Snapshot.EvacuatedDomains.assign(Evacuated.begin(), Evacuated.end());
  for (const auto &Notice :
       TargetRegistry.leavingTargets().newest(MaxLeavingInSnapshot))
    Snapshot.LeavingTargets.push_back(toEncoded(Notice, Now));
  if (Crashes != nullptr)
    Snapshot.Crashes = Crashes->snapshot();
  return encode(Snapshot);
}

std::string
steering_state::encodeStateAfter(const base::store_version &Version) const {
  if (!hasChangesAfter(Version))
    return encodeSnapshot();
  const auto Now = Clock();
  state_changes Changes;
  Changes.After = Version;
  Changes.ConfirmedVersion = ConfirmedVersion;
  Changes.Age = Freshness.reportedAge(Now);
  for (recorded_change &Recorded : Log.changesAfter(Version)) {
    encoded_change Encoded{std::move(Recorded), milliseconds(0)};
    if (const auto *Removed =
            std::get_if<routing::target_removed>(&Encoded.Recorded.Change))
      if (const auto *State = TargetRegistry.find(Removed->Id))
        Encoded.EffectiveIn =
            toEncoded(*State, Now).RemovedIn.value_or(milliseconds(0));
    Changes.Changes.push_back(std::move(Encoded));
  }
  for (const auto &Notice :
       TargetRegistry.leavingTargets().newest(MaxLeavingInChanges))
    if (Now - Notice.LearnedAt < LeavingRepeatTime)
      Changes.LeavingTargets.push_back(toEncoded(Notice, Now));
  return encode(Changes);
}

void steering_state::adopt(const state_snapshot &Snapshot) {
  const auto Now = Clock();
  std::vector<routing::store_change> Items;
  if (!Snapshot.Document.empty())
    Items.emplace_back(routing::configuration_published{Snapshot.Document});
  for (const encoded_target &Encoded : Snapshot.Targets)
    Items.emplace_back(routing::target_published{Encoded.Target});
  for (const base::domain_name &Domain : Snapshot.EvacuatedDomains)
    Items.emplace_back(routing::evacuation_started{Domain});
  replaceItems(Items, Snapshot.ChangeVersion, Snapshot.ConfirmedVersion);
  confirmAt(Snapshot.Age);
  for (const encoded_target &Encoded : Snapshot.Targets)
    if (Encoded.RemovedIn)
      TargetRegistry.remove(Encoded.Target.Id, Now + *Encoded.RemovedIn);
}

void steering_state::adopt(const state_changes &Changes) {
  const auto Now = Clock();
  for (const encoded_change &Encoded : Changes.Changes) {
    const recorded_change &Recorded = Encoded.Recorded;
    const base::store_version Version{Changes.ConfirmedVersion.Era,
                                      Recorded.Revision};
    if (Version <= ConfirmedVersion)
      continue;
    if (const auto *Removed =
            std::get_if<routing::target_removed>(&Recorded.Change))
      TargetRegistry.remove(Removed->Id, Now + Encoded.EffectiveIn);
    else
      applyChange(Recorded.Change);
    record(Recorded.Change, Version);
  }
  ConfirmedVersion = Changes.ConfirmedVersion;
  confirmAt(Changes.Age);
}

bool steering_state::adoptState(const std::string &Bytes) {
  const auto Decoded = decodeState(Bytes);
  if (!Decoded) {
    SKYLARKDYKE_LOG(WARNING, PeerMessageRefused) << Decoded.error();
    return false;
  }
  return std::visit(
      overloaded{[this](const state_snapshot &Snapshot) {
                   adoptLeaving(Snapshot.LeavingTargets, false);
                   if (Crashes != nullptr)
                     Crashes->adopt(Snapshot.Crashes, false);
                   if (Snapshot.ConfirmedVersion <= ConfirmedVersion)
                     return false;
                   adopt(Snapshot);
                   return true;
                 },
                 [this](const leaving_update &Update) {
                   adoptLeaving(Update.LeavingTargets, true);
                   return false;
                 },
                 [this](const cold_update &Update) {
                   adopt(Update);
                   return false;
                 },
                 [this](const crash_update &Update) {
                   if (Crashes != nullptr)
                     Crashes->adopt(Update, true);
                   return false;
                 },
                 [this](const state_changes &Changes) {
                   adoptLeaving(Changes.LeavingTargets, false);
                   if (Changes.After > ConfirmedVersion ||
                       Changes.ConfirmedVersion <= ConfirmedVersion)
                     return false;
                   adopt(Changes);
                   return true;
                 }},
      Decoded.value());
}

} // namespace skylarkdyke::gateway::detail
