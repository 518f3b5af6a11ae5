#include "gateway/detail/state_codec.hpp"

#include "skylarkdyke/base/cbor_structure.hpp"
#include "skylarkdyke/base/overloaded.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkdyke::gateway::detail {

using base::overloaded;
using nlohmann::json;
using std::chrono::milliseconds;

/// First element of a message.
static constexpr int SnapshotKind = 0;
static constexpr int ChangesKind = 1;
static constexpr int LeavingKind = 2;
static constexpr int CrashKind = 3;
static constexpr int ColdKind = 4;
/// Maximum number of items of a message. A target takes ten.
static constexpr std::uint64_t MaxStateItems = 1U << 20U;
/// Longest time that a message may state, so that no sum with a time overflows.
static constexpr milliseconds MaxTime{std::chrono::hours(24)};
/// Longest time for which another entry may declare a leaving target usable.
static constexpr milliseconds MaxUsableTime{10000};

/// Second element of a change.
enum class change_kind : int {
  ConfigurationPublished = 0,
  TargetPublished = 1,
  TargetRemoved = 2,
  EvacuationStarted = 3,
  EvacuationEnded = 4,
  EntryAnnounced = 5,
  RequestBlocked = 6,
  BlockRemoved = 7,
};

encoded_target toEncoded(const placement::target_state &State,
                         base::boot_time Now) {
  const auto Remaining = [Now](base::boot_time Until) {
    return std::chrono::duration_cast<milliseconds>(std::max(Until, Now) - Now);
  };
  encoded_target Encoded{State.Target, std::nullopt};
  Encoded.Target.RemainingColdTime = Remaining(State.ColdUntil);
  if (State.RemovedAt)
    Encoded.RemovedIn = Remaining(*State.RemovedAt);
  return Encoded;
}

encoded_leaving toEncoded(const placement::leaving_notice &Notice,
                          base::boot_time Now) {
  return {Notice.Target, std::chrono::duration_cast<milliseconds>(
                             std::max(Notice.UsableUntil, Now) - Now)};
}

static milliseconds timeFromJson(const json &Count) {
  return std::clamp(milliseconds(Count.get<std::int64_t>()), milliseconds(0),
                    MaxTime);
}

static json leavingToJson(const std::vector<encoded_leaving> &Targets) {
  json Rows = json::array();
  for (const auto &[Target, UsableFor] : Targets)
    Rows.push_back({Target.Id.str(), base::toString(Target.Address),
                    Target.StartedAtMs, UsableFor.count()});
  return Rows;
}

static std::vector<encoded_leaving> leavingFromJson(const json &Rows) {
  std::vector<encoded_leaving> Targets;
  for (const json &Fields : Rows) {
    encoded_leaving Leaving;
    Leaving.Target.Id = base::target_id(Fields.at(0).get<std::string>());
    Leaving.Target.Address =
        base::parseEndpoint(Fields.at(1).get<std::string>())
            .value_or(base::endpoint());
    Leaving.Target.StartedAtMs = Fields.at(2);
    Leaving.UsableFor =
        std::clamp(milliseconds(Fields.at(3).get<std::int64_t>()),
                   milliseconds(0), MaxUsableTime);
    Targets.push_back(std::move(Leaving));
  }
  return Targets;
}

static json targetToJson(const routing::target &Target) {
  return {Target.Id.str(),
          Target.Service.str(),
          base::toString(Target.Address),
          Target.Domain.str(),
          Target.Slots,
          Target.Draining,
          Target.RemainingColdTime.count(),
          Target.StartedAtMs};
}

static routing::target targetFromJson(const json &Fields) {
  routing::target Target;
  Target.Id = base::target_id(Fields.at(0).get<std::string>());
  Target.Service = base::service_name(Fields.at(1).get<std::string>());
  Target.Address = base::parseEndpoint(Fields.at(2).get<std::string>())
                       .value_or(base::endpoint());
  Target.Domain = base::domain_name(Fields.at(3).get<std::string>());
  Target.Slots = Fields.at(4);
  Target.Draining = Fields.at(5);
  Target.RemainingColdTime = timeFromJson(Fields.at(6));
  Target.StartedAtMs = Fields.at(7);
  return Target;
}

static json ageToJson(std::optional<milliseconds> Age) {
  return Age ? json(Age->count()) : json();
}

static std::optional<milliseconds> ageFromJson(const json &Count) {
  if (Count.is_null())
    return std::nullopt;
  return timeFromJson(Count);
}

static std::string toCbor(const json &Message) {
  std::string Bytes;
  json::to_cbor(Message, Bytes);
  return Bytes;
}

static json changeToJson(const encoded_change &Encoded) {
  const auto Fields = [&Encoded](change_kind Kind, json Value) {
    return json{Encoded.Recorded.Revision, static_cast<int>(Kind),
                std::move(Value)};
  };
  return std::visit(
      overloaded{
          [&](const routing::configuration_published &Change) {
            return Fields(change_kind::ConfigurationPublished, Change.Document);
          },
          [&](const routing::target_published &Change) {
            return Fields(change_kind::TargetPublished,
                          targetToJson(Change.Target));
          },
          [&](const routing::target_removed &Change) {
            return Fields(change_kind::TargetRemoved,
                          {Change.Id.str(), Encoded.EffectiveIn.count()});
          },
          [&](const routing::evacuation_started &Change) {
            return Fields(change_kind::EvacuationStarted, Change.Domain.str());
          },
          [&](const routing::evacuation_ended &Change) {
            return Fields(change_kind::EvacuationEnded, Change.Domain.str());
          },
          [&](const routing::entry_announced &Change) {
            return Fields(change_kind::EntryAnnounced,
                          {Change.Name, base::toString(Change.MeshAddress)});
          },
          [&](const routing::request_blocked &Change) {
            return Fields(change_kind::RequestBlocked,
                          {Change.Fingerprint, Change.Service.str(),
                           Change.Summary, Change.Crashes});
          },
          [&](const routing::block_removed &Change) {
            return Fields(change_kind::BlockRemoved, Change.Fingerprint);
          }},
      Encoded.Recorded.Change);
}

std::string encode(const state_snapshot &Snapshot) {
  json Targets = json::array();
  for (const encoded_target &Encoded : Snapshot.Targets) {
    json Fields = targetToJson(Encoded.Target);
    if (Encoded.RemovedIn)
      Fields.push_back(Encoded.RemovedIn->count());
    Targets.push_back(std::move(Fields));
  }
  json Evacuated = json::array();
  for (const base::domain_name &Domain : Snapshot.EvacuatedDomains)
    Evacuated.push_back(Domain.str());
  json Held = json::array();
  for (const encoded_change &Change : Snapshot.HeldChanges)
    Held.push_back({changeToJson(Change), Change.EffectiveIn.count()});
  return toCbor({SnapshotKind, Snapshot.ConfirmedVersion.Revision,
                 Snapshot.ChangeVersion.Revision, Snapshot.Document, Targets,
                 Evacuated, ageToJson(Snapshot.Age),
                 leavingToJson(Snapshot.LeavingTargets),
                 toJson(Snapshot.Crashes), Snapshot.ConfirmedVersion.Era, Held,
                 Snapshot.RestoredFor.count(), Snapshot.PeerStateFor.count()});
}

std::string encode(const state_changes &Changes) {
  json Rows = json::array();
  for (const encoded_change &Change : Changes.Changes)
    Rows.push_back(changeToJson(Change));
  return toCbor({ChangesKind, Changes.After.Revision,
                 Changes.ConfirmedVersion.Revision, Rows,
                 ageToJson(Changes.Age), leavingToJson(Changes.LeavingTargets),
                 Changes.ConfirmedVersion.Era});
}

std::string encode(const leaving_update &Update) {
  return toCbor({LeavingKind, leavingToJson(Update.LeavingTargets)});
}

std::string encode(const crash_update &Update) {
  return toCbor({CrashKind, toJson(Update)});
}

std::string encode(const cold_update &Update) {
  return toCbor({ColdKind, Update.Target.Id.str(),
                 base::toString(Update.Target.Address),
                 Update.Target.StartedAtMs, Update.ColdFor.count(),
                 Update.Finding == cold_finding::MayBeCold});
}

static cold_update coldUpdateFromJson(const json &Message) {
  cold_update Update;
  Update.Target.Id = base::target_id(Message.at(1).get<std::string>());
  Update.Target.Address = base::parseEndpoint(Message.at(2).get<std::string>())
                              .value_or(base::endpoint());
  Update.Target.StartedAtMs = Message.at(3);
  Update.ColdFor = timeFromJson(Message.at(4));
  // Entries of earlier versions send no sixth field.
  if (Message.size() > 5 && Message.at(5).get<bool>())
    Update.Finding = cold_finding::MayBeCold;
  return Update;
}

static std::optional<encoded_change> changeFromJson(const json &Fields) {
  encoded_change Encoded;
  Encoded.Recorded.Revision = Fields.at(0);
  const json &Value = Fields.at(2);
  routing::store_change &Change = Encoded.Recorded.Change;
  switch (static_cast<change_kind>(Fields.at(1).get<int>())) {
  case change_kind::ConfigurationPublished:
    Change = routing::configuration_published{Value};
    return Encoded;
  case change_kind::TargetPublished:
    Change = routing::target_published{targetFromJson(Value)};
    return Encoded;
  case change_kind::TargetRemoved:
    Change = routing::target_removed{
        base::target_id(Value.at(0).get<std::string>())};
    Encoded.EffectiveIn = timeFromJson(Value.at(1));
    return Encoded;
  case change_kind::EvacuationStarted:
    Change = routing::evacuation_started{
        base::domain_name(Value.get<std::string>())};
    return Encoded;
  case change_kind::EvacuationEnded:
    Change =
        routing::evacuation_ended{base::domain_name(Value.get<std::string>())};
    return Encoded;
  case change_kind::EntryAnnounced:
    if (const auto Mesh = base::parseEndpoint(Value.at(1).get<std::string>())) {
      Change = routing::entry_announced{Value.at(0), *Mesh};
      return Encoded;
    }
    return std::nullopt;
  case change_kind::RequestBlocked:
    Change = routing::request_blocked{
        Value.at(0), base::service_name(Value.at(1).get<std::string>()),
        Value.at(2), Value.at(3)};
    return Encoded;
  case change_kind::BlockRemoved:
    Change = routing::block_removed{Value};
    return Encoded;
  }
  return std::nullopt;
}

/// \return the era of a message; entries of earlier versions send none
static std::uint64_t eraFromJson(const json &Message, std::size_t Index) {
  return Message.size() > Index ? Message.at(Index).get<std::uint64_t>() : 0;
}

static state_snapshot snapshotFromJson(const json &Message) {
  state_snapshot Snapshot;
  const std::uint64_t Era = eraFromJson(Message, 9);
  Snapshot.ConfirmedVersion = {Era, Message.at(1)};
  Snapshot.ChangeVersion = {Era, Message.at(2)};
  Snapshot.Document = Message.at(3);
  for (const json &Fields : Message.at(4)) {
    encoded_target Encoded{targetFromJson(Fields), std::nullopt};
    if (Fields.size() > 8)
      Encoded.RemovedIn = timeFromJson(Fields.at(8));
    Snapshot.Targets.push_back(std::move(Encoded));
  }
  for (const json &Domain : Message.at(5))
    Snapshot.EvacuatedDomains.emplace_back(Domain.get<std::string>());
  Snapshot.Age = ageFromJson(Message.at(6));
  Snapshot.LeavingTargets = leavingFromJson(Message.at(7));
  // Entries of an earlier version send none.
  if (Message.size() > 8)
    Snapshot.Crashes = crashUpdateFromJson(Message.at(8));
  if (Message.size() > 10)
    for (const json &Fields : Message.at(10))
      if (auto Held = changeFromJson(Fields.at(0))) {
        Held->EffectiveIn = timeFromJson(Fields.at(1));
        Snapshot.HeldChanges.push_back(std::move(*Held));
      }
  if (Message.size() > 12) {
    Snapshot.RestoredFor = timeFromJson(Message.at(11));
    Snapshot.PeerStateFor = timeFromJson(Message.at(12));
  }
  return Snapshot;
}

static state_changes changesFromJson(const json &Message) {
  state_changes Changes;
  const std::uint64_t Era = eraFromJson(Message, 6);
  Changes.After = {Era, Message.at(1)};
  Changes.ConfirmedVersion = {Era, Message.at(2)};
  for (const json &Fields : Message.at(3))
    if (auto Change = changeFromJson(Fields))
      Changes.Changes.push_back(std::move(*Change));
  Changes.Age = ageFromJson(Message.at(4));
  Changes.LeavingTargets = leavingFromJson(Message.at(5));
  return Changes;
}

base::result<state_message, std::string> decodeState(const std::string &Bytes) {
  if (const char *Reason = base::checkCborStructure(Bytes, MaxStateItems))
    return std::string(Reason);
  // The parser throws on an excessive size even though exceptions are
  // disabled in the call.
  try {
    const json Message = json::from_cbor(Bytes, true, false);
    if (!Message.is_array() || Message.empty())
      return std::string("not an array");
    if (Message.at(0) == SnapshotKind)
      return state_message(snapshotFromJson(Message));
    if (Message.at(0) == ChangesKind)
      return state_message(changesFromJson(Message));
    if (Message.at(0) == LeavingKind)
      return state_message(leaving_update{leavingFromJson(Message.at(1))});
    if (Message.at(0) == CrashKind)
      return state_message(crashUpdateFromJson(Message.at(1)));
    if (Message.at(0) == ColdKind)
      return state_message(coldUpdateFromJson(Message));
    return std::string("unknown kind");
  } catch (const json::exception &Failure) {
    return std::string(Failure.what());
  }
}

} // namespace skylarkdyke::gateway::detail
