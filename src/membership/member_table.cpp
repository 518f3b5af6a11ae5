#include "skylarkdyke/membership/member_table.hpp"

#include "skylarkdyke/membership/relay_selection.hpp"

#include <algorithm>
#include <utility>

namespace skylarkdyke::membership {

using std::chrono::milliseconds;

/// Time without a heartbeat after which a contact is probed less often.
static constexpr milliseconds ContactTimeout{5000};
/// Minimum interval between introductions that are sent to one entry.
static constexpr milliseconds IntroductionPeriod{1000};
/// Number of addresses in an introduction to entries of another region.
static constexpr std::size_t MaxIntroducedAddresses = 4;
/// Number of entries of each third region in a digest to another region, so
/// that the relays of these two regions find each other.
static constexpr std::size_t IntroducedRemoteEntries = 2;
/// Time for which an entry that starts waits for the entries that it was told
/// of, before it takes its part of limits. If it has heard none at all, it
/// waits until it drops them.
static constexpr milliseconds UnheardContactTime{8000};
/// Number of addresses of other entries in a heartbeat.
static constexpr std::size_t AddressesPerSample = 2;
/// Time within which all entries that hear each other change between the
/// divisions of limits, see member_table::limitDivision().
static constexpr milliseconds DivisionChangeTime{8000};
/// Weights of all entries of a region without full mesh.
static const share_weights EqualWeights{1, {}};

member_table::member_table(
    base::endpoint OwnMesh, base::region_name OwnRegion,
    std::map<base::domain_name, base::region_name> RegionOf)
    : OwnMesh(std::move(OwnMesh)), OwnRegion(std::move(OwnRegion)),
      RegionOf(std::move(RegionOf)), Holders(this->OwnMesh) {}

/// Entries of an unknown failure domain count as local.
base::region_name
member_table::regionOf(const base::domain_name &Domain) const {
  const auto Found = RegionOf.find(Domain);
  return Found == RegionOf.end() ? OwnRegion : Found->second;
}

void member_table::addAddress(const base::endpoint &Mesh, base::boot_time Now) {
  if (Mesh == OwnMesh)
    return;
  contact &Contact =
      Contacts.try_emplace(Mesh, contact{Now, Now}).first->second;
  if (Now - lastActivity(Contact) > ContactTimeout)
    Contact = {Now, Now};
}

base::boot_time member_table::lastActivity(const contact &Contact) {
  return std::max(Contact.LastHeartbeatAt, Contact.AddedAt);
}

/// Merges a status. What was heard later about an entry counts: the time until
/// which the entry is live tells when it was heard.
bool member_table::merge(const entry_status &Status, base::boot_time LiveUntil,
                         bool IsDirect, base::boot_time Now) {
  if (Status.MeshAddress == OwnMesh)
    return false;
  const auto [It, IsNew] = Members.try_emplace(Status.MeshAddress);
  member &Member = It->second;
  const bool WasLive = !IsNew && Now <= Member.LiveUntil;
  if (!IsDirect && LiveUntil <= Member.LiveUntil)
    return false;
  const bool Restarted =
      IsDirect && Member.Status.Incarnation != Status.Incarnation;
  entry_status Previous = std::move(Member.Status);
  Member.Status = Status;
  if (!IsDirect) {
    Member.Status.Name = std::move(Previous.Name);
    Member.Status.Incarnation = Previous.Incarnation;
    Member.Status.ChangeVersion = Previous.ChangeVersion;
    Member.Status.ConfigurationVersion = Previous.ConfigurationVersion;
    Member.Status.Demand = std::move(Previous.Demand);
  }
  Member.Region = regionOf(Status.Domain);
  Member.LiveUntil = LiveUntil;
  if (IsDirect) {
    Member.DemandValidUntil = LiveUntil;
    Member.RelayUntil =
        Now + std::min(Status.NextHeartbeatIn, DigestPeriod) + MaxRelaySilence;
  }
  return Restarted || !WasLive;
}

bool member_table::recordHeartbeat(const entry_status &Status,
                                   base::boot_time Now) {
  if (Status.MeshAddress == OwnMesh)
    return false;
  addAddress(Status.MeshAddress, Now);
  contact &Contact = Contacts.at(Status.MeshAddress);
  Contact.LastHeartbeatAt = Now;
  Contact.IsLocal = regionOf(Status.Domain) == OwnRegion;
  for (const base::endpoint &Known : Status.KnownAddresses)
    addAddress(Known, Now);
  const auto LiveUntil = Now +
                         Status.NextHeartbeatIn * (MaxLostHeartbeats + 1) +
                         MaxHeartbeatDelay;
  if (Contact.IsLocal)
    Holders.recordHeartbeat(Status, LiveUntil, Now);
  return merge(Status, LiveUntil, true, Now);
}

bool member_table::recordDigest(const digest &Digest, base::boot_time Now) {
  bool Changed = recordHeartbeat(Digest.Sender, Now);
  bool NamesThisEntry = false;
  for (const relayed_entry &Entry : Digest.Entries) {
    NamesThisEntry = NamesThisEntry || Entry.Status.MeshAddress == OwnMesh;
    Changed = merge(Entry.Status, Now + Entry.LiveFor, false, Now) || Changed;
  }
  // Relays accept only what a relay has counted itself: if they passed each
  // other's totals on, these would never fall.
  const base::region_name SenderRegion = regionOf(Digest.Sender.Domain);
  for (const region_summary &Summary : Digest.Summaries) {
    if (Summary.Region == OwnRegion && SenderRegion == OwnRegion)
      Holders.recordRelay(NamesThisEntry, Summary.Weights, Now);
    if (!isRelay() || Summary.Region == SenderRegion)
      Summaries[Summary.Region][Digest.Sender.MeshAddress] = {
          Summary, Now + SummaryRetention};
  }
  return Changed;
}

/// Returns the time until which an entry may use its part of limits, as far as
/// is known.
static base::boot_time reservedUntil(const member_table::member &Member) {
  return Member.LiveUntil +
         (Member.Status.Leaving ? LeaveRetention : SilentRetention);
}

void member_table::updateRelays(const entry_status &Own, base::boot_time Now) {
  std::map<base::region_name, std::vector<const entry_status *>> ByRegion;
  ByRegion[OwnRegion].push_back(&Own);
  std::vector<const entry_status *> LocalCandidates{&Own};
  for (auto It = Members.begin(); It != Members.end();) {
    const member &Member = It->second;
    if (Now <= Member.LiveUntil)
      ByRegion[Member.Region].push_back(&Member.Status);
    if (Now <= std::min(Member.LiveUntil, Member.RelayUntil) &&
        Member.Region == OwnRegion)
      LocalCandidates.push_back(&Member.Status);
    It = Now > reservedUntil(Member) ? Members.erase(It) : std::next(It);
  }
  RemoteReceivers.clear();
  RemoteRelays.clear();
  for (const auto &[Region, Entries] : ByRegion) {
    const bool IsSmall = Entries.size() <= MaxFullMeshSize;
    auto Relays = selectRelays(Region == OwnRegion ? LocalCandidates : Entries);
    if (Region == OwnRegion) {
      FullMesh = IsSmall;
      LocalRelays = std::move(Relays);
      continue;
    }
    RemoteRelays[Region] = Relays;
    if (IsSmall) {
      for (const entry_status *Entry : Entries)
        RemoteReceivers.insert(Entry->MeshAddress);
    } else {
      RemoteReceivers.merge(Relays);
    }
  }
  for (auto &[Region, BySender] : Summaries)
    for (auto It = BySender.begin(); It != BySender.end();)
      It = Now > It->second.ValidUntil + SilentRetention ? BySender.erase(It)
                                                         : std::next(It);
}

std::vector<base::endpoint>
member_table::relaysOf(const base::region_name &Region) const {
  if (Region == OwnRegion)
    return {LocalRelays.begin(), LocalRelays.end()};
  const auto Found = RemoteRelays.find(Region);
  if (Found == RemoteRelays.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
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

/// Returns whether a live entry gets heartbeats of this one. The entries that
/// get a digest need none.
bool member_table::sendsHeartbeatsTo(const base::endpoint &Address,
                                     const contact &Contact) const {
  if (sendsDigests())
    return false;
  return Contact.IsLocal
             ? FullMesh || LocalRelays.count(Address) != 0
             : reportsToOtherRegions() && RemoteReceivers.count(Address) != 0;
}

bool member_table::knowsRelay(base::boot_time Now) const {
  return std::any_of(
      LocalRelays.begin(), LocalRelays.end(), [&](const base::endpoint &Relay) {
        const auto Found = Members.find(Relay);
        return Found != Members.end() && Now <= Found->second.LiveUntil;
      });
}

due_heartbeats member_table::takeDueHeartbeats(base::boot_time Now) {
  // Relays become known from digests, so that they may not be contacts yet.
  for (const auto *Receivers : {&LocalRelays, &RemoteReceivers})
    for (const base::endpoint &Receiver : *Receivers) {
      const bool IsLocal = Receivers == &LocalRelays;
      if (!IsLocal && !reportsToOtherRegions())
        continue;
      addAddress(Receiver, Now);
      if (const auto Found = Contacts.find(Receiver); Found != Contacts.end())
        Found->second.IsLocal = IsLocal;
    }
  const bool LooksForOthers = reportsToOtherRegions() || !knowsRelay(Now);
  due_heartbeats Due;
  std::size_t LocalCount = 0;
  std::size_t RemoteCount = 0;
  for (auto It = Contacts.begin(); It != Contacts.end();) {
    const auto &Address = It->first;
    contact &Contact = It->second;
    const auto LastActivityAt = lastActivity(Contact);
    if (Now - LastActivityAt > DeadContactRetention) {
      It = Contacts.erase(It);
      continue;
    }
    const bool Live = Now - LastActivityAt <= ContactTimeout;
    if (Live)
      ++(Contact.IsLocal ? LocalCount : RemoteCount);
    const bool NeverHeard = Contact.LastHeartbeatAt == base::boot_time{};
    // Relays look for entries that have vanished; the others only for those
    // that they have been told to contact.
    const bool Wanted = Live ? NeverHeard || sendsHeartbeatsTo(Address, Contact)
                             : LooksForOthers;
    if (Wanted && Contact.NextHeartbeatAt <= Now) {
      const milliseconds Period = Live ? periodFor(Contact) : DeadProbePeriod;
      Due[Period].push_back(Address);
      Contact.NextHeartbeatAt = Now + Period;
    }
    ++It;
  }
  LiveLocalContacts = LocalCount;
  LiveRemoteContacts = RemoteCount;
  return Due;
}

std::vector<base::endpoint>
member_table::digestReceivers(base::boot_time Now) const {
  std::vector<base::endpoint> Receivers;
  for (const member *Member : liveMembers(Now))
    if (Member->Region == OwnRegion)
      Receivers.push_back(Member->Status.MeshAddress);
  return Receivers;
}

std::vector<base::endpoint> member_table::remoteDigestReceivers() const {
  return {RemoteReceivers.begin(), RemoteReceivers.end()};
}

std::vector<base::endpoint>
member_table::noticeReceivers(base::boot_time Now) const {
  if (!reportsToOtherRegions())
    return {LocalRelays.begin(), LocalRelays.end()};
  std::vector<base::endpoint> Receivers = digestReceivers(Now);
  Receivers.insert(Receivers.end(), RemoteReceivers.begin(),
                   RemoteReceivers.end());
  return Receivers;
}

std::vector<base::endpoint>
member_table::followersIn(const base::domain_name &Domain,
                          base::boot_time Now) const {
  std::vector<base::endpoint> Followers;
  for (const member *Member : liveMembers(Now))
    if (Member->Status.Domain == Domain &&
        LocalRelays.count(Member->Status.MeshAddress) == 0)
      Followers.push_back(Member->Status.MeshAddress);
  return Followers;
}

/// Returns live entries of a region as relayed entries, the relays first.
std::vector<relayed_entry>
member_table::sampleOf(const base::region_name &Region, std::size_t Limit,
                       base::boot_time Now) const {
  const auto &Relays = Region == OwnRegion ? LocalRelays : RemoteReceivers;
  std::vector<relayed_entry> Sample;
  const auto Add = [&](bool OfRelays) {
    for (const auto &[Address, Member] : Members)
      if (Sample.size() < Limit && Member.Region == Region &&
          Now <= Member.LiveUntil && (Relays.count(Address) != 0) == OfRelays)
        Sample.push_back(
            {Member.Status,
             std::chrono::duration_cast<milliseconds>(Member.LiveUntil - Now)});
  };
  Add(true);
  Add(false);
  return Sample;
}

region_summary member_table::ownSummary(const entry_status &Own,
                                        base::boot_time Now) const {
  region_summary Summary{OwnRegion, 1,
                         heardDemandOf(OwnRegion, Own.Demand, Now),
                         weightsOf(Own) + Holders.othersSum(Now),
                         heardHolderCountOf(OwnRegion, Now)};
  for (const member *Member : liveMembers(Now))
    Summary.EntryCount += Member->Region == OwnRegion ? 1 : 0;
  return Summary;
}

std::set<base::region_name> member_table::otherRegions() const {
  std::set<base::region_name> Regions;
  for (const auto &[Domain, Region] : RegionOf)
    if (Region != OwnRegion)
      Regions.insert(Region);
  return Regions;
}

void member_table::addSample(digest &Digest, const base::region_name &Region,
                             std::size_t Limit, base::boot_time Now) const {
  for (relayed_entry &Entry : sampleOf(Region, Limit, Now))
    Digest.Entries.push_back(std::move(Entry));
}

digest member_table::makeRemoteDigest(const entry_status &Own,
                                      base::boot_time Now) const {
  digest Digest{Own, {}, {ownSummary(Own, Now)}};
  addSample(Digest, OwnRegion, RemoteEntriesPerDigest, Now);
  for (const base::region_name &Region : otherRegions())
    addSample(Digest, Region, IntroducedRemoteEntries, Now);
  return Digest;
}

digest member_table::makeLocalDigest(const entry_status &Own,
                                     base::boot_time Now) const {
  digest Digest{Own, {}, {ownSummary(Own, Now)}};
  addSample(Digest, OwnRegion, Members.size(), Now);
  for (const base::region_name &Region : otherRegions()) {
    addSample(Digest, Region, RemoteEntriesPerDigest, Now);
    Digest.Summaries.push_back({Region, entryCountOf(Region, Now),
                                demandOf(Region, Own.Demand, Now),
                                share_weights{}, holderCountOf(Region, Now)});
  }
  return Digest;
}

bool member_table::takeDueIntroduction(const entry_status &Status, bool IsNew,
                                       base::boot_time Now) {
  const auto Found = Members.find(Status.MeshAddress);
  if (Found == Members.end())
    return false;
  member &Member = Found->second;
  const bool IsLocal = Member.Region == OwnRegion;
  const bool Expected =
      !IsNew && reportsToOtherRegions() &&
      (IsLocal || RemoteReceivers.count(Status.MeshAddress) != 0);
  if (Expected || Now - Member.IntroducedAt < IntroductionPeriod)
    return false;
  Member.IntroducedAt = Now;
  return true;
}

std::vector<base::endpoint>
member_table::introductionsFor(const base::domain_name &Domain,
                               base::boot_time Now) const {
  std::vector<base::endpoint> Addresses(LocalRelays.begin(), LocalRelays.end());
  const base::region_name Region = regionOf(Domain);
  if (Region != OwnRegion)
    for (const relayed_entry &Entry :
         sampleOf(Region, MaxIntroducedAddresses, Now))
      Addresses.push_back(Entry.Status.MeshAddress);
  return Addresses;
}

std::vector<base::endpoint>
member_table::takeAddressSample(base::boot_time Now) {
  std::vector<base::endpoint> Sample;
  const auto Live = liveMembers(Now);
  if (FullMesh)
    for (std::size_t I = 0; I < std::min(AddressesPerSample, Live.size()); ++I)
      Sample.push_back(
          Live[SampledAddresses++ % Live.size()]->Status.MeshAddress);
  return Sample;
}

std::vector<const member_table::member *>
member_table::liveMembers(base::boot_time Now) const {
  std::vector<const member *> Live;
  for (const auto &[Address, Member] : Members)
    if (Now <= Member.LiveUntil)
      Live.push_back(&Member);
  return Live;
}

demand_by_service
member_table::heardDemandOf(const base::region_name &Region,
                            const demand_by_service &OwnDemand,
                            base::boot_time Now) const {
  demand_by_service Demand;
  if (Region == OwnRegion)
    Demand = OwnDemand;
  for (const member *Member : liveMembers(Now))
    if (Member->Region == Region && Now <= Member->DemandValidUntil)
      for (const auto &[Service, Rate] : Member->Status.Demand)
        Demand[Service] += Rate;
  return Demand;
}

/// A relay that has just been selected has not heard all entries, so that the
/// greatest of all counts is the best one.
demand_by_service member_table::demandOf(const base::region_name &Region,
                                         const demand_by_service &OwnDemand,
                                         base::boot_time Now) const {
  demand_by_service Demand = heardDemandOf(Region, OwnDemand, Now);
  if (const auto Found = Summaries.find(Region); Found != Summaries.end())
    for (const auto &[Sender, Received] : Found->second)
      if (Now <= Received.ValidUntil)
        for (const auto &[Service, Rate] : Received.Summary.Demand)
          Demand[Service] = std::max(Demand[Service], Rate);
  return Demand;
}

unsigned member_table::entryCountOf(const base::region_name &Region,
                                    base::boot_time Now) const {
  unsigned Count = Region == OwnRegion ? 1 : 0;
  for (const member *Member : liveMembers(Now))
    Count += Member->Region == Region ? 1 : 0;
  if (const auto Found = Summaries.find(Region); Found != Summaries.end())
    for (const auto &[Sender, Received] : Found->second)
      if (Now <= Received.ValidUntil)
        Count = std::max(Count, Received.Summary.EntryCount);
  return Count;
}

unsigned member_table::heardHolderCountOf(const base::region_name &Region,
                                          base::boot_time Now) const {
  unsigned Count = Region == OwnRegion ? 1 : 0;
  for (const auto &[Address, Member] : Members)
    Count += Member.Region == Region && Now <= reservedUntil(Member) ? 1 : 0;
  return Count;
}

unsigned member_table::holderCountOf(const base::region_name &Region,
                                     base::boot_time Now) const {
  unsigned Count = heardHolderCountOf(Region, Now);
  if (const auto Found = Summaries.find(Region); Found != Summaries.end())
    for (const auto &[Sender, Received] : Found->second)
      Count = std::max(Count, Received.Summary.HolderCount);
  return Count;
}

bool member_table::hasUnheardContact(base::boot_time Now) const {
  const milliseconds WaitTime =
      Members.empty() ? milliseconds(DeadContactRetention) : UnheardContactTime;
  return std::any_of(Contacts.begin(), Contacts.end(), [&](const auto &Entry) {
    const contact &Contact = Entry.second;
    return Contact.LastHeartbeatAt == base::boot_time{} &&
           Now - Contact.AddedAt <= WaitTime;
  });
}

void member_table::updateShares(bool MessagesMissed, base::boot_time Now) {
  const bool HeardAll = Holders.hasJoined() || !hasUnheardContact(Now);
  Holders.update({FullMesh, isRelay(), !MessagesMissed && HeardAll}, Now);
  updateDivision(Now);
}

bool member_table::knowsAllWeights(base::boot_time Now) const {
  return FullMesh && !Holders.hasRelaySums() &&
         std::all_of(Members.begin(), Members.end(), [&](const auto &Entry) {
           const member &Member = Entry.second;
           return Member.Region != OwnRegion || Now > reservedUntil(Member) ||
                  Holders.knows(Entry.first);
         });
}

bool member_table::hasSilentMember(base::boot_time Now) const {
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
    const member &Member = Entry.second;
    return Member.Region == OwnRegion && Now > Member.LiveUntil &&
           Now <= reservedUntil(Member);
  });
}

/// A silent entry may be cut off and keep the division that it had.
void member_table::updateDivision(base::boot_time Now) {
  const bool Changed = DividesByWeight != knowsAllWeights(Now);
  if (Changed)
    DividesByWeight = !DividesByWeight;
  const bool Changing = Now <= DivisionChangesUntil && hasSilentMember(Now);
  if (Holders.hasJoined() && (Changed || Changing))
    DivisionChangesUntil = Now + DivisionChangeTime;
}

limit_division member_table::limitDivision(base::boot_time Now) const {
  if (DividesByWeight && Now > DivisionChangesUntil)
    return {Holders.usableWeights(), Holders.others(Now)};
  return equalDivision(Now);
}

/// Returns the other entries of the region that may use a part of limits: those
/// that a relay has named, and those that this entry has heard itself.
std::vector<base::endpoint>
member_table::localHolders(base::boot_time Now) const {
  std::vector<base::endpoint> Addresses;
  for (const auto &[Address, Member] : Members)
    if (Member.Region == OwnRegion && Now <= reservedUntil(Member))
      Addresses.push_back(Address);
  for (const limit_holder &Holder : Holders.others(Now))
    if (Members.count(Holder.MeshAddress) == 0)
      Addresses.push_back(Holder.MeshAddress);
  return Addresses;
}

/// Returns the weight with which an entry has a fraction of all, if each of the
/// others has the weight 1. The weight is at most 1.
static double weightFor(double Fraction, std::size_t OtherCount) {
  const auto Others = static_cast<double>(OtherCount);
  return Fraction * (Others + 1) >= 1 ? 1 : Others * Fraction / (1 - Fraction);
}

limit_division member_table::equalDivision(base::boot_time Now) const {
  limit_division Division;
  for (base::endpoint &Address : localHolders(Now))
    Division.Others.push_back({std::move(Address), EqualWeights});
  if (!Holders.hasEqualPart(Now) || Holders.isIsolated())
    return Division;
  Division.Own = EqualWeights;
  if (Now > DivisionChangesUntil)
    return Division;
  const std::size_t OtherCount = Division.Others.size();
  Division.Own.Default = weightFor(Holders.defaultShare(), OtherCount);
  for (const auto &[Service, Weight] : Holders.usableWeights().ByService)
    Division.Own.ByService[Service] =
        weightFor(Holders.shareOf(Service), OtherCount);
  return Division;
}

} // namespace skylarkdyke::membership
