#include "skylarkdyke/membership/member_table.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace skylarkdyke::membership {

using nlohmann::json;
using std::chrono::milliseconds;

/// First element of each message; messages of other versions are ignored.
static constexpr int MessageVersion = 2;
/// Lower bound of an entry's capacity in the ranking of entries, in requests
/// per second; it also applies to an entry that reports no capacity.
static constexpr double MinCapacity = 1;
/// Longest interval between heartbeats that a sender may announce.
static constexpr milliseconds MaxAnnouncedPeriod{10000};
/// Time without a heartbeat after which a contact is probed less often.
static constexpr milliseconds ContactTimeout{5000};

std::string encode(const entry_status &Status) {
  json Known = json::array();
  for (const base::endpoint &Address : Status.KnownAddresses)
    Known.push_back(base::toString(Address));
  const json Message = {MessageVersion,
                        Status.Name,
                        Status.Incarnation,
                        Status.Domain.str(),
                        base::toString(Status.MeshAddress),
                        base::toString(Status.FrontAddress),
                        Status.Ready,
                        Status.Leaving,
                        Status.ChangeRevision,
                        Status.Demand,
                        Known,
                        Status.Capacity,
                        Status.NextHeartbeatIn.count()};
  std::string Bytes;
  json::to_cbor(Message, Bytes);
  return Bytes;
}

static entry_status statusFromJson(const json &Message) {
  const auto Address = [&Message](std::size_t Index) {
    return base::parseEndpoint(Message.at(Index).get<std::string>())
        .value_or(base::endpoint());
  };
  entry_status Status;
  Status.Name = Message.at(1);
  Status.Incarnation = Message.at(2);
  Status.Domain = base::domain_name(Message.at(3).get<std::string>());
  Status.MeshAddress = Address(4);
  Status.FrontAddress = Address(5);
  Status.Ready = Message.at(6);
  Status.Leaving = Message.at(7);
  Status.ChangeRevision = Message.at(8);
  Status.Demand = Message.at(9).get<std::map<std::string, double>>();
  Status.Capacity = Message.at(11);
  Status.NextHeartbeatIn =
      std::clamp(milliseconds(Message.at(12).get<std::int64_t>()),
                 milliseconds(0), MaxAnnouncedPeriod);
  for (const json &AddressItem : Message.at(10))
    if (const auto Known = base::parseEndpoint(AddressItem.get<std::string>()))
      Status.KnownAddresses.push_back(*Known);
  return Status;
}

std::optional<entry_status> decodeStatus(const std::string &Bytes) {
  // The parser throws on an excessive size even with exceptions disabled.
  try {
    const json Message = json::from_cbor(Bytes, true, false);
    if (!Message.is_array() || Message.size() < 13 ||
        Message[0] != MessageVersion)
      return std::nullopt;
    entry_status Status = statusFromJson(Message);
    if (Status.MeshAddress.Port == 0)
      return std::nullopt;
    return Status;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

member_table::member_table(
    base::endpoint OwnMesh, base::region_name OwnRegion,
    std::map<base::domain_name, base::region_name> RegionOf)
    : OwnMesh(std::move(OwnMesh)), OwnRegion(std::move(OwnRegion)),
      RegionOf(std::move(RegionOf)) {}

void member_table::addAddress(const base::endpoint &Mesh, base::boot_time Now) {
  if (!(Mesh == OwnMesh))
    Contacts.emplace(Mesh, contact{Now, Now});
}

bool member_table::recordHeartbeat(const entry_status &Status,
                                   base::boot_time Now) {
  if (Status.MeshAddress == OwnMesh)
    return false;
  addAddress(Status.MeshAddress, Now);
  contact &Contact = Contacts.at(Status.MeshAddress);
  Contact.LastHeartbeatAt = Now;
  const auto Region = RegionOf.find(Status.Domain);
  Contact.IsLocal = Region == RegionOf.end() || Region->second == OwnRegion;
  for (const base::endpoint &Known : Status.KnownAddresses)
    addAddress(Known, Now);
  const auto Found = Members.find(Status.Name);
  const bool IsNew = Found == Members.end() ||
                     Found->second.Status.Incarnation != Status.Incarnation ||
                     Now > Found->second.LiveUntil;
  Members[Status.Name] = {
      Status, Now + Status.NextHeartbeatIn * (MaxLostHeartbeats + 1) +
                  MaxHeartbeatDelay};
  return IsNew;
}

/// Returns the interval between heartbeats to the contacts of a group. It grows
/// with the group, up to the maximum, so that the number of messages that an
/// entry sends grows more slowly than the fleet.
static milliseconds scaledPeriod(std::size_t LiveContacts,
                                 std::size_t GroupSize, milliseconds MinPeriod,
                                 milliseconds MaxPeriod) {
  const auto Scaled = MinPeriod * std::max(LiveContacts, GroupSize) / GroupSize;
  return std::min(std::chrono::duration_cast<milliseconds>(Scaled), MaxPeriod);
}

milliseconds member_table::periodFor(const contact &Contact) const {
  return Contact.IsLocal
             ? scaledPeriod(LiveLocalContacts, LocalGroupSize,
                            LocalHeartbeatPeriod, MaxLocalHeartbeatPeriod)
             : scaledPeriod(LiveRemoteContacts, RemoteGroupSize,
                            RemoteHeartbeatPeriod, MaxRemoteHeartbeatPeriod);
}

due_heartbeats member_table::takeDueHeartbeats(base::boot_time Now) {
  due_heartbeats Due;
  std::size_t LocalCount = 0;
  std::size_t RemoteCount = 0;
  for (auto It = Contacts.begin(); It != Contacts.end();) {
    contact &Contact = It->second;
    const auto LastActivityAt =
        std::max(Contact.LastHeartbeatAt, Contact.AddedAt);
    if (Now - LastActivityAt > DeadContactRetention) {
      It = Contacts.erase(It);
      continue;
    }
    const bool Live = Now - LastActivityAt <= ContactTimeout;
    if (Live)
      ++(Contact.IsLocal ? LocalCount : RemoteCount);
    if (Contact.NextHeartbeatAt <= Now) {
      const milliseconds Period = Live ? periodFor(Contact) : DeadProbePeriod;
      Due[Period].push_back(It->first);
      Contact.NextHeartbeatAt = Now + Period;
    }
    ++It;
  }
  LiveLocalContacts = LocalCount;
  LiveRemoteContacts = RemoteCount;
  return Due;
}

std::vector<const member_table::member *>
member_table::liveMembers(base::boot_time Now) const {
  std::vector<const member *> Live;
  for (const auto &[Name, Member] : Members)
    if (Now <= Member.LiveUntil)
      Live.push_back(&Member);
  return Live;
}

std::vector<base::endpoint>
member_table::sampleAddresses(std::size_t Count, base::boot_time Now) const {
  std::vector<base::endpoint> Sample;
  for (const member *Member : liveMembers(Now))
    if (Sample.size() < Count)
      Sample.push_back(Member->Status.MeshAddress);
  return Sample;
}

namespace {

struct ranked_entry {
  double Rank;
  const entry_status *Entry;
};

} // namespace

/// Weighted rendezvous hashing: the probability that an entry has the lowest
/// rank is proportional to its capacity.
static double rankOf(const entry_status &Entry, std::uint64_t HostSeed) {
  const std::uint64_t Hash =
      XXH3_64bits_withSeed(Entry.Name.data(), Entry.Name.size(), HostSeed);
  const double HashFraction =
      (static_cast<double>(Hash >> 11U) + 1) * std::ldexp(1.0, -53);
  return -std::log(HashFraction) / std::max(Entry.Capacity, MinCapacity);
}

std::vector<base::endpoint>
entriesForCaller(const std::vector<entry_status> &Ready,
                 const std::map<base::domain_name, base::region_name> &RegionOf,
                 const entry_query &Query, std::size_t Limit) {
  const std::uint64_t HostSeed =
      XXH3_64bits(Query.Host.data(), Query.Host.size());
  std::vector<ranked_entry> LocalEntries;
  std::vector<ranked_entry> RemoteEntries;
  for (const entry_status &Entry : Ready) {
    const auto Region = RegionOf.find(Entry.Domain);
    if (Region == RegionOf.end())
      continue;
    const double Rank = rankOf(Entry, HostSeed);
    const auto &Allowed = Query.AllowedRegions;
    if (Region->second == Query.Region)
      LocalEntries.push_back({Rank, &Entry});
    else if (Allowed.empty() || std::find(Allowed.begin(), Allowed.end(),
                                          Region->second) != Allowed.end())
      RemoteEntries.push_back({Rank, &Entry});
  }
  auto &Usable = LocalEntries.empty() ? RemoteEntries : LocalEntries;
  std::sort(Usable.begin(), Usable.end(),
            [](const ranked_entry &Left, const ranked_entry &Right) {
              return Left.Rank < Right.Rank;
            });
  std::vector<base::endpoint> Selected;
  double Capacity = 0;
  for (const ranked_entry &Ranked : Usable) {
    if (Selected.size() >= Limit || Capacity > Query.Rate)
      break;
    Selected.push_back(Ranked.Entry->FrontAddress);
    Capacity += Ranked.Entry->Capacity;
  }
  return Selected;
}

} // namespace skylarkdyke::membership
