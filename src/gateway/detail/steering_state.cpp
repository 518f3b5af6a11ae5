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
/// Time before the news of a cold target in which a send of this entry is
/// logged: the limits of cold targets count a second.
static constexpr milliseconds LateSendWindow{1000};
/// Time after its first listing in which an entry takes over the state of
/// another one although it is not newer.
static constexpr milliseconds PeerStateTime{5000};

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
    RefusedVersion = std::max(RefusedVersion, Refused.Version);
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
      overloaded{
          [&](const routing::configuration_published &Update) {
            installConfiguration(Update.Document);
          },
          [&](const routing::target_published &Update) {
            const auto *Known = TargetRegistry.find(Update.Target.Id);
            const bool IsRestarted =
                Known != nullptr && placement::incarnationOf(Known->Target) !=
                                        placement::incarnationOf(Update.Target);
            if (IsRestarted)
              reportEnd(Update.Target.Id);
            routing::target Target = Update.Target;
            // A target that drains never gets ready again, but a copy of the
            // store and late writes may say so.
            if (mayShowCopy() && Known != nullptr && !IsRestarted)
              Target.Draining = Target.Draining || Known->Target.Draining;
            noteColdNews(Target, Now);
            if (!TargetRegistry.upsert(Target, Now))
              LOG(WARNING) << "target " << Update.Target.Id.str()
                           << " is in an unknown failure domain";
          },
          [&](const routing::target_removed &Update) {
            if (removalTime() <= Now)
              reportEnd(Update.Id);
            removeTarget(Update.Id, removalTime());
          },
          [&](const routing::evacuation_started &Update) {
            TargetRegistry.startEvacuation(Update.Domain);
          },
          [&](const routing::evacuation_ended &Update) {
            Guard.noteEvacuationEnded(Update.Domain, ConfirmedVersion.Era, Now);
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

/// Logs sends to a target that may have been cold already, to be called before
/// the news is recorded.
void steering_state::noteColdNews(const routing::target &Target,
                                  base::boot_time Now) const {
  const auto *Known = TargetRegistry.find(Target.Id);
  if (Known == nullptr || Target.RemainingColdTime <= milliseconds(0) ||
      placement::target_registry::isCold(*Known, Now) ||
      Now - Known->LastSendAt > LateSendWindow)
    return;
  SKYLARKDYKE_LOG(INFO, ColdNewsLate)
      << "target=" << Target.Id.str() << " started_ms=" << Target.StartedAtMs
      << " known_started_ms=" << Known->Target.StartedAtMs << " sent_ago_ms="
      << std::chrono::duration_cast<milliseconds>(Now - Known->LastSendAt)
             .count()
      << " cold_ms=" << Target.RemainingColdTime.count();
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
  const bool IsFirst = ConfirmedVersion.Revision == 0;
  replaceItems(Items, {AsOf.Era, NewestRevision}, AsOf, listing_source::Store);
  Freshness.confirm(Clock());
  // A store that states no era never comes back from a copy.
  if (IsFirst && AsOf.Era != 0) {
    PeerStateUntil = Clock() + PeerStateTime;
    // The pages are no snapshot.
    PeerStateFrom = std::max(AsOf, {AsOf.Era, NewestRevision});
  }
}

/// Removes a target and remembers it: a copy of the store may show it again.
void steering_state::removeTarget(const base::target_id &Id,
                                  base::boot_time At) {
  if (const auto *Known = TargetRegistry.find(Id))
    Guard.noteRemoved(placement::incarnationOf(Known->Target),
                      ConfirmedVersion.Era, Clock());
  TargetRegistry.remove(Id, At);
}

/// Takes the era of the first change.
/// \return whether a change of an era continues the state
bool steering_state::joinEra(std::uint64_t Era) {
  if (ConfirmedVersion.Revision == 0 && ConfirmedVersion.Era != Era) {
    ConfirmedVersion.Era = Era;
    Log.restartAfter(ConfirmedVersion);
  }
  return ConfirmedVersion.Era == Era;
}

/// Notes that the store has come back from a copy since the known version.
void steering_state::beginEra(const base::store_version &AsOf) {
  if (AsOf.Era <= ConfirmedVersion.Era || ConfirmedVersion.Era == 0 ||
      ConfirmedVersion.Revision == 0)
    return;
  const auto Now = Clock();
  RestoredUntil = Now + restore_guard::HoldTime;
  TargetRegistry.postponeRemovals(Now, Now + RecordRecoveryTime);
  if (Crashes != nullptr)
    Crashes->onStoreRestored();
}

/// Returns the time from which the store is believed that an item exists.
base::boot_time
steering_state::holdEndOf(const routing::store_change &Item) const {
  const auto Earlier =
      restore_guard::HoldTime - restore_guard::EvacuationHoldTime;
  return std::holds_alternative<routing::evacuation_started>(Item)
             ? RestoredUntil - Earlier
             : RestoredUntil;
}

/// Applies an item of a listing, or of the state of another entry, unless it
/// contradicts what is known from an earlier era.
/// \return whether the item is believed
bool steering_state::applyListed(const routing::store_change &Item,
                                 std::uint64_t Era) {
  if (mayShowCopy() && Guard.isWithdrawn(Item, Era, Clock())) {
    Guard.hold(Item, holdEndOf(Item));
    return false;
  }
  Guard.release(Item);
  if (const auto *Target = std::get_if<routing::target_published>(&Item))
    return applyListedTarget(Target->Target, Era);
  const auto *Block = std::get_if<routing::request_blocked>(&Item);
  if (Block != nullptr && Crashes != nullptr && mayShowCopy()) {
    Crashes->onRestoredBlock(*Block);
    return true;
  }
  applyChange(Item);
  return true;
}

bool steering_state::applyListedTarget(const routing::target &Target,
                                       std::uint64_t Era) {
  const auto *Known = TargetRegistry.find(Target.Id);
  if (mayShowCopy() && Known != nullptr) {
    if (Target.StartedAtMs < Known->Target.StartedAtMs) {
      Guard.noteRemoved(placement::incarnationOf(Target), Era - 1, Clock());
      Guard.hold(routing::target_published{Target}, RestoredUntil);
      return false;
    }
  }
  applyChange(routing::target_published{Target});
  return true;
}

/// \return whether an evacuation has ended
bool steering_state::endUnlistedEvacuations(
    const std::set<base::domain_name> &Listed) {
  bool HasEnded = false;
  const auto EvacuatedBefore = TargetRegistry.evacuatedDomains();
  for (const base::domain_name &Domain : EvacuatedBefore) {
    if (Listed.count(Domain) != 0)
      continue;
    const routing::evacuation_ended Ended{Domain};
    if (mayShowCopy()) {
      Guard.hold(Ended, RestoredUntil);
      continue;
    }
    applyChange(Ended);
    HasEnded = true;
  }
  return HasEnded;
}

/// \return whether a removal was not known before
bool steering_state::removeUnlistedTargets(
    const std::set<base::target_id> &Listed, base::boot_time At) {
  if (mayShowCopy())
    return TargetRegistry.removeUnlisted(Listed, At) > 0;
  std::vector<base::target_id> Unlisted;
  TargetRegistry.forEach([&](const placement::target_state &State) {
    if (Listed.count(State.Target.Id) == 0 && !State.RemovedAt)
      Unlisted.push_back(State.Target.Id);
  });
  for (const base::target_id &Id : Unlisted)
    removeTarget(Id, At);
  return !Unlisted.empty();
}

void steering_state::replaceItems(
    const std::vector<routing::store_change> &Items,
    const base::store_version &Newest, const base::store_version &AsOf,
    listing_source Source) {
  const base::store_version Before = ConfirmedVersion;
  beginEra(AsOf);
  ConfirmedVersion = AsOf;
  Log.restartAfter(AsOf);
  // Targets that a copy lacks register again. Within an era another entry has
  // waited for them.
  const base::boot_time RemovedAt =
      mayShowCopy() &&
              (Source == listing_source::Store || AsOf.Era > Before.Era)
          ? std::max(removalTime(), Clock() + RecordRecoveryTime)
          : removalTime();
  // Other entries hold the same back, and may have to drop it.
  const bool HadHeldChanges = Guard.holdsAny();
  Guard.releaseAll();
  std::set<base::target_id> Listed;
  std::set<base::domain_name> Evacuated;
  for (const auto &Item : Items) {
    if (!applyListed(Item, AsOf.Era))
      continue;
    if (const auto *Target = std::get_if<routing::target_published>(&Item))
      Listed.insert(Target->Target.Id);
    if (const auto *Domain = std::get_if<routing::evacuation_started>(&Item))
      Evacuated.insert(Domain->Domain);
  }
  const bool HasRemovedTargets = removeUnlistedTargets(Listed, RemovedAt);
  const bool HasRemovals =
      endUnlistedEvacuations(Evacuated) || HasRemovedTargets || HadHeldChanges;
  HasTargets = HasTargets || !Listed.empty();
  // A removal leaves no item behind whose revision would tell other entries of
  // it.
  ChangeVersion = std::max(
      {ChangeVersion, Newest, HasRemovals ? AsOf : base::store_version()});
  if (AsOf.Era > Before.Era && Before.Era != 0 && Before.Revision != 0)
    SKYLARKDYKE_LOG(WARNING, StateRestored)
        << "version=" << base::toString(AsOf)
        << " before=" << base::toString(Before) << " config=" << version()
        << " targets=" << Listed.size() << " held=" << Guard.held().size();
}

void steering_state::applyHeld() {
  for (const routing::store_change &Change : Guard.takeDue(Clock())) {
    SKYLARKDYKE_LOG(INFO, HeldChangeApplied)
        << restore_guard::describe(Change)
        << " version=" << base::toString(ConfirmedVersion);
    applyChange(Change);
    HasTargets =
        HasTargets || std::holds_alternative<routing::target_published>(Change);
  }
}

void steering_state::apply(const routing::store_change &Change,
                           const base::store_version &Version) {
  noteStoreAvailable();
  // A slow response of the store may hold what a newer state of another entry
  // has replaced.
  if (!joinEra(Version.Era) || Version <= ConfirmedVersion)
    return;
  Guard.release(Change);
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
  // The rest of the listing may show that the store has come back from a copy.
  if (Guard.isWithdrawn(Change, std::numeric_limits<std::uint64_t>::max(),
                        Clock()))
    return;
  if (std::holds_alternative<routing::configuration_published>(Change) ||
      std::holds_alternative<routing::evacuation_started>(Change) ||
      std::holds_alternative<routing::entry_announced>(Change))
    applyChange(Change);
}

void steering_state::confirmVersion(const base::store_version &AsOf) {
  noteStoreAvailable();
  if (!joinEra(AsOf.Era))
    return;
  ConfirmedVersion = std::max(ConfirmedVersion, AsOf);
  Freshness.confirm(Clock());
  if (OnConfirmed)
    OnConfirmed();
}

void steering_state::noteOtherState(const other_state &Other) {
  Freshness.noteVersion(Other.ConfigurationVersion);
  if (Other.ChangeVersion.Era == ConfirmedVersion.Era &&
      Other.ChangeVersion <= ConfirmedVersion)
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
  const auto Remaining = [Now](base::boot_time Until) {
    return std::chrono::duration_cast<milliseconds>(std::max(Until, Now) - Now);
  };
  Snapshot.RestoredFor = Remaining(RestoredUntil);
  Snapshot.PeerStateFor = Remaining(PeerStateUntil);
  for (const held_change &Held : Guard.held())
    Snapshot.HeldChanges.push_back({{0, Held.Change},
                                    std::chrono::duration_cast<milliseconds>(
                                        std::max(Held.DueAt, Now) - Now)});
  return encode(Snapshot);
}

bool steering_state::hasChangesAfter(const base::store_version &Version,
                                     std::uint64_t ConfigurationVersion) const {
  if (Version.Revision == 0 || !Log.covers(Version))
    return false;
  // A configuration may come from another entry, and is no change then.
  return ConfigurationVersion >= version() ||
         Log.hasConfigurationAfter(Version);
}

std::string
steering_state::encodeStateAfter(const base::store_version &Version,
                                 std::uint64_t ConfigurationVersion) const {
  if (!hasChangesAfter(Version, ConfigurationVersion))
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

/// Withdraws at once what another entry knows to be withdrawn in an earlier
/// era.
void steering_state::adoptHeld(const state_snapshot &Snapshot) {
  const auto Now = Clock();
  if (Snapshot.ConfirmedVersion.Era == 0)
    return;
  const std::uint64_t EarlierEra = Snapshot.ConfirmedVersion.Era - 1;
  for (const encoded_change &Held : Snapshot.HeldChanges)
    std::visit(
        overloaded{[&](const routing::target_published &Update) {
                     Guard.noteRemoved(placement::incarnationOf(Update.Target),
                                       EarlierEra, Now);
                     TargetRegistry.remove(Update.Target.Id, Now);
                   },
                   [&](const routing::evacuation_started &Update) {
                     const auto &Evacuated = TargetRegistry.evacuatedDomains();
                     if (Evacuated.count(Update.Domain) != 0)
                       applyChange(routing::evacuation_ended{Update.Domain});
                     Guard.noteEvacuationEnded(Update.Domain, EarlierEra, Now);
                   },
                   [](const auto &) {}},
        Held.Recorded.Change);
}

/// Adopts a snapshot if it is newer. Otherwise only its configuration may be of
/// use: it counts by its version, which no return of the store takes back.
bool steering_state::adoptSnapshot(const state_snapshot &Snapshot) {
  if (Snapshot.ConfirmedVersion > ConfirmedVersion) {
    adopt(Snapshot);
    return true;
  }
  if (needsPeerState() && Snapshot.ConfirmedVersion >= PeerStateFrom &&
      Log.covers(Snapshot.ConfirmedVersion)) {
    adoptBehindListing(Snapshot);
    return true;
  }
  const std::uint64_t VersionBefore = version();
  if (!Snapshot.Document.empty())
    installConfiguration(Snapshot.Document);
  return version() != VersionBefore;
}

/// Puts a snapshot in place of the own listing, and the changes since then on
/// top of it.
void steering_state::adoptBehindListing(const state_snapshot &Snapshot) {
  const base::store_version Confirmed = ConfirmedVersion;
  const auto Later = Log.changesAfter(Snapshot.ConfirmedVersion);
  adopt(Snapshot);
  for (const recorded_change &Recorded : Later) {
    Guard.release(Recorded.Change);
    applyChange(Recorded.Change);
    record(Recorded.Change, {Confirmed.Era, Recorded.Revision});
  }
  ConfirmedVersion = Confirmed;
}

void steering_state::adopt(const state_snapshot &Snapshot) {
  const auto Now = Clock();
  std::vector<routing::store_change> Items;
  if (!Snapshot.Document.empty())
    Items.emplace_back(routing::configuration_published{Snapshot.Document});
  for (const encoded_target &Encoded : Snapshot.Targets) {
    const routing::target_published Item{Encoded.Target};
    const auto *Known = TargetRegistry.find(Encoded.Target.Id);
    const bool IsPast =
        Guard.isWithdrawn(Item, Snapshot.ConfirmedVersion.Era, Now) ||
        (Known != nullptr &&
         Encoded.Target.StartedAtMs < Known->Target.StartedAtMs);
    // The store does not list it any more, so that it is not held back.
    if (!Encoded.RemovedIn || !IsPast)
      Items.emplace_back(Item);
  }
  for (const base::domain_name &Domain : Snapshot.EvacuatedDomains)
    Items.emplace_back(routing::evacuation_started{Domain});
  const bool MustAskOthers = ConfirmedVersion.Revision == 0 || needsPeerState();
  RestoredUntil = std::max(RestoredUntil, Now + Snapshot.RestoredFor);
  adoptHeld(Snapshot);
  replaceItems(Items, Snapshot.ChangeVersion, Snapshot.ConfirmedVersion,
               listing_source::Entry);
  for (const encoded_change &Held : Snapshot.HeldChanges)
    Guard.hold(Held.Recorded.Change, Now + Held.EffectiveIn);
  // A state that rests on a listing alone knows no more than the own one.
  PeerStateUntil = MustAskOthers ? Now + Snapshot.PeerStateFor : Now;
  PeerStateFrom = Snapshot.ConfirmedVersion;
  confirmAt(Snapshot.Age);
  for (const encoded_target &Encoded : Snapshot.Targets) {
    if (!Encoded.RemovedIn)
      continue;
    // A target that may register again is not known to be withdrawn, and one
    // that was withdrawn in an earlier era may still be listed in this one.
    const bool IsKnown =
        Guard.isWithdrawn(routing::target_published{Encoded.Target},
                          Snapshot.ConfirmedVersion.Era, Now);
    if (*Encoded.RemovedIn == milliseconds(0) && !IsKnown)
      removeTarget(Encoded.Target.Id, Now);
    else
      TargetRegistry.remove(Encoded.Target.Id, Now + *Encoded.RemovedIn);
  }
}

void steering_state::adopt(const state_changes &Changes) {
  const auto Now = Clock();
  for (const encoded_change &Encoded : Changes.Changes) {
    const recorded_change &Recorded = Encoded.Recorded;
    const base::store_version Version{Changes.ConfirmedVersion.Era,
                                      Recorded.Revision};
    if (Version <= ConfirmedVersion)
      continue;
    Guard.release(Recorded.Change);
    if (const auto *Removed =
            std::get_if<routing::target_removed>(&Recorded.Change))
      removeTarget(Removed->Id, Now + Encoded.EffectiveIn);
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
  return std::visit(overloaded{[this](const state_snapshot &Snapshot) {
                                 adoptLeaving(Snapshot.LeavingTargets, false);
                                 if (Crashes != nullptr)
                                   Crashes->adopt(Snapshot.Crashes, false);
                                 return adoptSnapshot(Snapshot);
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
                                     Changes.ConfirmedVersion <=
                                         ConfirmedVersion)
                                   return false;
                                 adopt(Changes);
                                 return true;
                               }},
                    Decoded.value());
}

} // namespace skylarkdyke::gateway::detail
