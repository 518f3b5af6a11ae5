#include "skylarkdyke/membership/messages.hpp"

#include "skylarkdyke/base/cbor_structure.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkdyke::membership {

using nlohmann::json;
using std::chrono::milliseconds;

/// First element of each message; messages of other versions are ignored.
static constexpr int MessageVersion = 4;
/// Second element of each message.
static constexpr int HeartbeatKind = 0;
static constexpr int DigestKind = 1;
static constexpr int StateUpdateKind = 2;
static constexpr int TokenRequestKind = 3;
static constexpr int TokenGrantKind = 4;
/// Longest interval between heartbeats that a sender may announce.
static constexpr milliseconds MaxAnnouncedPeriod{10000};
/// Longest age of a state that a sender may report, so that no sum with a time
/// overflows.
static constexpr milliseconds MaxStateAge{std::chrono::hours(24)};

/// Bits of the flags of an entry.
static constexpr unsigned ReadyFlag = 1;
static constexpr unsigned LeavingFlag = 2;
static constexpr unsigned StoreReachableFlag = 4;
static constexpr unsigned StateFromListingFlag = 8;

static unsigned flagsOf(const entry_status &Status) {
  return (Status.Ready ? ReadyFlag : 0) | (Status.Leaving ? LeavingFlag : 0) |
         (Status.StoreReachable ? StoreReachableFlag : 0) |
         (Status.StateFromListing ? StateFromListingFlag : 0);
}

static void setFlags(entry_status &Status, unsigned Flags) {
  Status.Ready = (Flags & ReadyFlag) != 0;
  Status.Leaving = (Flags & LeavingFlag) != 0;
  Status.StoreReachable = (Flags & StoreReachableFlag) != 0;
  Status.StateFromListing = (Flags & StateFromListingFlag) != 0;
}

static base::endpoint toEndpoint(const json &Text) {
  return base::parseEndpoint(Text.get<std::string>())
      .value_or(base::endpoint());
}

static milliseconds toPeriod(const json &Count) {
  return std::clamp(milliseconds(Count.get<std::int64_t>()), milliseconds(0),
                    MaxAnnouncedPeriod);
}

static std::string toCbor(const json &Message) {
  std::string Bytes;
  json::to_cbor(Message, Bytes);
  return Bytes;
}

static json weightsToJson(const share_weights &Weights) {
  return {Weights.Default, Weights.ByService};
}

static share_weights weightsFromJson(const json &Fields) {
  return {Fields.at(0), Fields.at(1).get<std::map<std::string, double>>()};
}

static json silentToJson(const std::vector<silent_holder> &Holders) {
  json Rows = json::array();
  for (const silent_holder &Holder : Holders)
    Rows.push_back({base::toString(Holder.MeshAddress),
                    weightsToJson(Holder.Weights), Holder.ReservedFor.count()});
  return Rows;
}

static std::vector<silent_holder> silentFromJson(const json &Rows) {
  std::vector<silent_holder> Holders;
  for (const json &Row : Rows)
    Holders.push_back({toEndpoint(Row.at(0)), weightsFromJson(Row.at(1)),
                       milliseconds(Row.at(2).get<std::int64_t>())});
  return Holders;
}

static json statusToJson(const entry_status &Status) {
  json Known = json::array();
  for (const base::endpoint &Address : Status.KnownAddresses)
    Known.push_back(base::toString(Address));
  return {Status.Name,
          Status.Incarnation,
          Status.Domain.str(),
          base::toString(Status.MeshAddress),
          base::toString(Status.FrontAddress),
          flagsOf(Status),
          Status.ChangeVersion.Revision,
          Status.Demand,
          Known,
          Status.Capacity,
          Status.NextHeartbeatIn.count(),
          Status.ConfigurationVersion,
          Status.StateAge ? json(Status.StateAge->count()) : json(),
          Status.BaseWeight,
          Status.HeardIncarnations,
          silentToJson(Status.SilentHolders),
          Status.ChangeVersion.Era};
}

static entry_status statusFromJson(const json &Fields) {
  entry_status Status;
  Status.Name = Fields.at(0);
  Status.Incarnation = Fields.at(1);
  Status.Domain = base::domain_name(Fields.at(2).get<std::string>());
  Status.MeshAddress = toEndpoint(Fields.at(3));
  Status.FrontAddress = toEndpoint(Fields.at(4));
  setFlags(Status, Fields.at(5));
  Status.ChangeVersion.Revision = Fields.at(6);
  Status.Demand = Fields.at(7).get<demand_by_service>();
  for (const json &AddressItem : Fields.at(8))
    if (const auto Known = base::parseEndpoint(AddressItem.get<std::string>()))
      Status.KnownAddresses.push_back(*Known);
  Status.Capacity = Fields.at(9);
  Status.NextHeartbeatIn = toPeriod(Fields.at(10));
  Status.ConfigurationVersion = Fields.at(11);
  if (!Fields.at(12).is_null())
    Status.StateAge =
        std::clamp(milliseconds(Fields.at(12).get<std::int64_t>()),
                   milliseconds(0), MaxStateAge);
  Status.BaseWeight = Fields.at(13);
  Status.HeardIncarnations = Fields.at(14).get<std::vector<std::uint64_t>>();
  Status.SilentHolders = silentFromJson(Fields.at(15));
  // Entries of earlier versions send no era.
  if (Fields.size() > 16)
    Status.ChangeVersion.Era = Fields.at(16);
  return Status;
}

std::string encode(const entry_status &Status) {
  return toCbor({MessageVersion, HeartbeatKind, statusToJson(Status)});
}

/// Encodes the relayed entries. The addresses of an entry usually differ only
/// in the port, and many entries share a failure domain, so that host and
/// domain are written once.
static json entriesToJson(const std::vector<relayed_entry> &Entries) {
  std::map<std::string, std::size_t> IndexOfDomain;
  json Domains = json::array();
  json Rows = json::array();
  for (const relayed_entry &Entry : Entries) {
    const entry_status &Status = Entry.Status;
    const auto [It, IsNew] =
        IndexOfDomain.emplace(Status.Domain.str(), Domains.size());
    if (IsNew)
      Domains.push_back(Status.Domain.str());
    json Row = {Status.MeshAddress.Address,
                Status.MeshAddress.Port,
                Status.FrontAddress.Port,
                It->second,
                flagsOf(Status),
                static_cast<std::uint64_t>(std::max(0.0, Status.Capacity)),
                Entry.LiveFor.count()};
    if (Status.FrontAddress.Address != Status.MeshAddress.Address)
      Row.push_back(Status.FrontAddress.Address);
    Rows.push_back(std::move(Row));
  }
  return {Domains, Rows};
}

static std::vector<relayed_entry> entriesFromJson(const json &Fields) {
  std::vector<relayed_entry> Entries;
  const json &Domains = Fields.at(0);
  for (const json &Row : Fields.at(1)) {
    relayed_entry Entry;
    entry_status &Status = Entry.Status;
    Status.MeshAddress = {Row.at(0), Row.at(1)};
    Status.FrontAddress = {Row.size() > 7 ? Row.at(7) : Row.at(0), Row.at(2)};
    Status.Domain = base::domain_name(
        Domains.at(Row.at(3).get<std::size_t>()).get<std::string>());
    setFlags(Status, Row.at(4));
    Status.Capacity = Row.at(5);
    Entry.LiveFor = toPeriod(Row.at(6));
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

std::string encode(const digest &Digest) {
  json Summaries = json::array();
  for (const region_summary &Summary : Digest.Summaries)
    Summaries.push_back({Summary.Region.str(), Summary.EntryCount,
                         Summary.Demand, weightsToJson(Summary.Weights),
                         Summary.HolderCount});
  return toCbor({MessageVersion, DigestKind, statusToJson(Digest.Sender),
                 entriesToJson(Digest.Entries), Summaries});
}

static digest digestFromJson(const json &Message) {
  digest Digest;
  Digest.Sender = statusFromJson(Message.at(2));
  Digest.Entries = entriesFromJson(Message.at(3));
  for (const json &Fields : Message.at(4)) {
    region_summary &Summary = Digest.Summaries.emplace_back();
    Summary.Region = base::region_name(Fields.at(0).get<std::string>());
    Summary.EntryCount = Fields.at(1);
    Summary.Demand = Fields.at(2).get<demand_by_service>();
    Summary.HolderCount = Summary.EntryCount;
    if (Fields.size() > 4) {
      Summary.Weights = weightsFromJson(Fields.at(3));
      Summary.HolderCount = Fields.at(4);
    }
  }
  return Digest;
}

std::string encode(const state_update &Update) {
  return toCbor({MessageVersion, StateUpdateKind, base::toString(Update.From),
                 Update.Changes});
}

/// Unit of the amounts of tokens in messages.
static constexpr double AmountsPerToken = 1000;
/// Greatest amount of tokens that is accepted.
static constexpr std::int64_t MaxAmount = 1000000000;

/// Encodes teams and amounts in turn, without a row for each team.
static json amountsToJson(const quotas::token_amounts &Amounts) {
  json Fields = json::array();
  for (const auto &[Team, Amount] : Amounts) {
    if (Fields.size() >= 2 * quotas::MaxTeamsPerMessage)
      break;
    Fields.push_back(Team);
    Fields.push_back(static_cast<std::uint64_t>(std::clamp(
        Amount * AmountsPerToken, 0.0, static_cast<double>(MaxAmount))));
  }
  return Fields;
}

static quotas::token_amounts amountsFromJson(const json &Fields) {
  quotas::token_amounts Amounts;
  const std::size_t Size =
      std::min(Fields.size(), 2 * quotas::MaxTeamsPerMessage);
  for (std::size_t I = 0; I + 1 < Size; I += 2)
    Amounts[Fields.at(I).get<quotas::team_key>()] =
        static_cast<double>(std::clamp(Fields.at(I + 1).get<std::int64_t>(),
                                       std::int64_t{0}, MaxAmount)) /
        AmountsPerToken;
  return Amounts;
}

std::string encode(const quotas::token_request &Request) {
  return toCbor({MessageVersion, TokenRequestKind, base::toString(Request.From),
                 Request.Sequence, static_cast<int>(Request.Delegation),
                 amountsToJson(Request.Wanted)});
}

std::string encode(const quotas::token_grant &Grant) {
  return toCbor({MessageVersion, TokenGrantKind, Grant.Sequence,
                 amountsToJson(Grant.Granted)});
}

static std::optional<mesh_message> tokenRequestFromJson(const json &Message) {
  const int Delegation = Message.at(4);
  const auto LastChange = static_cast<int>(quotas::delegation_change::Withdraw);
  quotas::token_request Request;
  Request.From = toEndpoint(Message.at(2));
  Request.Sequence = Message.at(3);
  if (Request.From.Port == 0 || Delegation < 0 || Delegation > LastChange)
    return std::nullopt;
  Request.Delegation = static_cast<quotas::delegation_change>(Delegation);
  Request.Wanted = amountsFromJson(Message.at(5));
  return Request;
}

static std::optional<mesh_message> fromJson(const json &Message) {
  if (!Message.is_array() || Message.size() < 3 || Message[0] != MessageVersion)
    return std::nullopt;
  switch (Message[1].get<int>()) {
  case HeartbeatKind: {
    entry_status Status = statusFromJson(Message[2]);
    if (Status.MeshAddress.Port == 0)
      return std::nullopt;
    return Status;
  }
  case DigestKind: {
    digest Digest = digestFromJson(Message);
    if (Digest.Sender.MeshAddress.Port == 0)
      return std::nullopt;
    return Digest;
  }
  case StateUpdateKind:
    return state_update{toEndpoint(Message[2]), Message.at(3)};
  case TokenRequestKind:
    return tokenRequestFromJson(Message);
  case TokenGrantKind:
    return quotas::token_grant{Message.at(2), amountsFromJson(Message.at(3))};
  default:
    return std::nullopt;
  }
}

std::optional<mesh_message> decodeMessage(const std::string &Bytes) {
  if (base::checkCborStructure(Bytes) != nullptr)
    return std::nullopt;
  // The parser throws on an excessive size even with exceptions disabled.
  try {
    return fromJson(json::from_cbor(Bytes, true, false));
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace skylarkdyke::membership
