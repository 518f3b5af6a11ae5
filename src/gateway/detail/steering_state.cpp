#include "gateway/detail/steering_state.hpp"

#include "skylarkdyke/base/event.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkdyke::gateway::detail {

using nlohmann::json;
using std::chrono::milliseconds;

/// Discovery records do not expire during a store outage of up to this
/// duration.
static constexpr milliseconds ToleratedOutage{2500};

/// Combines several lambdas into one visitor.
template <class... Cases> struct overloaded : Cases... {
  using Cases::operator()...;
};
template <class... Cases> overloaded(Cases...) -> overloaded<Cases...>;

steering_state::steering_state(placement::target_registry &TargetRegistry,
                               configuration_decoder Decoder,
                               milliseconds RecordRecoveryTime, clock Clock)
    : TargetRegistry(TargetRegistry), Decoder(std::move(Decoder)),
      RecordRecoveryTime(RecordRecoveryTime), Clock(std::move(Clock)) {}

void steering_state::installConfiguration(const std::string &Text) {
  auto Decoded = Decoder(Text);
  if (!Decoded) {
    SKYLARKDYKE_LOG(ERROR, ConfigInvalid) << base::toString(Decoded.error());
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

void steering_state::applyChange(const routing::store_change &Change) {
  const auto Now = Clock();
  std::visit(
      overloaded{[&](const routing::configuration_published &Update) {
                   installConfiguration(Update.Document);
                 },
                 [&](const routing::target_published &Update) {
                   if (!TargetRegistry.upsert(Update.Target, Now))
                     LOG(WARNING) << "target " << Update.Target.Id.str()
                                  << " is in an unknown failure domain";
                 },
                 [&](const routing::target_removed &Update) {
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
                 }},
      Change);
}

void steering_state::replaceAll(const std::vector<routing::store_change> &Items,
                                std::uint64_t NewestRevision,
                                std::uint64_t AsOf) {
  confirmRevision(AsOf);
  if (AsOf < ConfirmedRevision)
    return;
  std::set<base::target_id> Listed;
  std::set<base::domain_name> Evacuated;
  for (const auto &Item : Items) {
    applyChange(Item);
    if (const auto *Target = std::get_if<routing::target_published>(&Item))
      Listed.insert(Target->Target.Id);
    if (const auto *Domain = std::get_if<routing::evacuation_started>(&Item))
      Evacuated.insert(Domain->Domain);
  }
  TargetRegistry.removeUnlisted(Listed, removalTime());
  const auto EvacuatedBefore = TargetRegistry.evacuatedDomains();
  for (const base::domain_name &Domain : EvacuatedBefore)
    if (Evacuated.count(Domain) == 0)
      applyChange(routing::evacuation_ended{Domain});
  HasTargets = HasTargets || !Listed.empty();
  ChangeRevision = std::max(ChangeRevision, NewestRevision);
}

void steering_state::apply(const routing::store_change &Change,
                           std::uint64_t Revision) {
  applyChange(Change);
  HasTargets =
      HasTargets || std::holds_alternative<routing::target_published>(Change);
  if (!std::holds_alternative<routing::entry_announced>(Change))
    ChangeRevision = std::max(ChangeRevision, Revision);
}

void steering_state::confirmRevision(std::uint64_t AsOf) {
  ConfirmedRevision = std::max(ConfirmedRevision, AsOf);
  if (!StoreDown)
    return;
  StoreDown = false;
  OutageEndedAt = Clock();
  SKYLARKDYKE_LOG(INFO, StoreAvailable) << "revision=" << ConfirmedRevision;
}

void steering_state::reportFailure(const std::string &Reason) {
  if (StoreDown)
    return;
  StoreDown = true;
  OutageStartedAt = Clock();
  SKYLARKDYKE_LOG(WARNING, StoreUnavailable) << "reason=" << Reason;
}

static json encodeTarget(const placement::target_state &State,
                         base::boot_time Now) {
  const auto &Target = State.Target;
  const auto RemainingColdTime = std::chrono::duration_cast<milliseconds>(
      std::max(State.ColdUntil, Now) - Now);
  return {Target.Id.str(),
          Target.Service.str(),
          base::toString(Target.Address),
          Target.Domain.str(),
          Target.Slots,
          Target.Draining,
          RemainingColdTime.count(),
          Target.StartedAtMs};
}

static routing::target decodeTarget(const json &Fields) {
  routing::target Target;
  Target.Id = base::target_id(Fields.at(0).get<std::string>());
  Target.Service = base::service_name(Fields.at(1).get<std::string>());
  Target.Address = base::parseEndpoint(Fields.at(2).get<std::string>())
                       .value_or(base::endpoint());
  Target.Domain = base::domain_name(Fields.at(3).get<std::string>());
  Target.Slots = Fields.at(4);
  Target.Draining = Fields.at(5);
  Target.RemainingColdTime = milliseconds(Fields.at(6).get<std::int64_t>());
  Target.StartedAtMs = Fields.at(7);
  return Target;
}

std::string steering_state::encodeSnapshot() const {
  const auto Now = Clock();
  json Targets = json::array();
  if (Routes)
    for (const routing::service &Service : Routes->services())
      for (const auto *State : TargetRegistry.targetsOf(Service.Name))
        if (!State->RemovedAt)
          Targets.push_back(encodeTarget(*State, Now));
  json Evacuated = json::array();
  for (const base::domain_name &Domain : TargetRegistry.evacuatedDomains())
    Evacuated.push_back(Domain.str());
  const json Snapshot = {ConfirmedRevision, ChangeRevision, Document, Targets,
                         Evacuated};
  std::string Bytes;
  json::to_cbor(Snapshot, Bytes);
  return Bytes;
}

bool steering_state::adoptSnapshot(const std::string &Bytes) {
  // The parser throws on an excessive size even though exceptions are
  // disabled in the call.
  try {
    const json Snapshot = json::from_cbor(Bytes, true, false);
    if (!Snapshot.is_array() || Snapshot.size() != 5)
      return false;
    const std::uint64_t Confirmed = Snapshot.at(0);
    if (Confirmed <= ConfirmedRevision)
      return false;
    std::vector<routing::store_change> Items;
    const std::string Text = Snapshot.at(2);
    if (!Text.empty())
      Items.emplace_back(routing::configuration_published{Text});
    for (const json &Target : Snapshot.at(3))
      Items.emplace_back(routing::target_published{decodeTarget(Target)});
    for (const json &Domain : Snapshot.at(4))
      Items.emplace_back(routing::evacuation_started{
          base::domain_name(Domain.get<std::string>())});
    // replaceAll() must not report the store as available again, because the
    // snapshot does not come from the store.
    const bool WasDown = StoreDown;
    StoreDown = false;
    replaceAll(Items, Snapshot.at(1), Confirmed);
    StoreDown = WasDown;
    return true;
  } catch (const json::exception &Failure) {
    SKYLARKDYKE_LOG(WARNING, PeerMessageRefused) << Failure.what();
    return false;
  }
}

} // namespace skylarkdyke::gateway::detail
