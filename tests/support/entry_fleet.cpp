#include "support/entry_fleet.hpp"

#include <algorithm>

#include <iterator>

namespace test_support {

using namespace std::chrono_literals;

const std::map<base::domain_name, base::region_name> RegionOf = [] {
  std::map<base::domain_name, base::region_name> Regions;
  for (const char *Region : {"r", "q", "p"})
    for (const char *Domain : {"1", "2", "3"})
      Regions[base::domain_name(std::string(Region) + Domain)] =
          base::region_name(Region);
  return Regions;
}();

fleet::fleet(std::size_t Size, double LossRate) : LossRate(LossRate) {
  for (std::size_t I = 0; I < Size; ++I) {
    Entries.push_back({statusOf(I), nullptr});
    IndexOf[Entries[I].Own.MeshAddress] = I;
  }
  for (std::size_t I = 0; I < Size; ++I)
    restart(I);
}

void fleet::restart(std::size_t Index) {
  fleet_entry &Entry = Entries[Index];
  Entry.Alive = true;
  Entry.Own.Leaving = false;
  Entry.Own.Incarnation = Entry.Own.Incarnation + 1000 + Index;
  Entry.Table = std::make_unique<membership::member_table>(
      Entry.Own.MeshAddress, RegionOf.at(Entry.Own.Domain), RegionOf);
  for (std::size_t Seed = 0; Seed < 3; ++Seed)
    Entry.Table->addAddress(Entries[Seed].Own.MeshAddress, Now);
}

std::pair<std::size_t, std::size_t>
fleet::spreadNotice(std::size_t Origin) const {
  std::set<base::endpoint> Informed{Entries[Origin].Own.MeshAddress};
  std::vector<const fleet_entry *> Senders{&Entries[Origin]};
  std::size_t MessageCount = 0;
  while (!Senders.empty()) {
    const auto Receivers = Senders.back()->Table->noticeReceivers(Now);
    Senders.pop_back();
    MessageCount += Receivers.size();
    for (const fleet_entry &Entry : Entries)
      if (std::count(Receivers.begin(), Receivers.end(),
                     Entry.Own.MeshAddress) != 0 &&
          Informed.insert(Entry.Own.MeshAddress).second &&
          Entry.Table->sendsDigests())
        Senders.push_back(&Entry);
  }
  return {Informed.size(), MessageCount};
}

void fleet::step() {
  while (!InTransit.empty() && InTransit.begin()->first <= Now) {
    const datagram Datagram = InTransit.begin()->second;
    InTransit.erase(InTransit.begin());
    deliver(Datagram.To, Datagram.Message);
  }
  for (fleet_entry &Entry : Entries)
    if (Entry.Alive)
      tick(Entry);
  Now += 250ms;
}

void fleet::run(std::chrono::milliseconds Duration) {
  for (const auto End = Now + Duration; Now < End;)
    step();
}

std::size_t fleet::liveLocalCount(std::size_t Index) const {
  std::size_t Count = 1;
  for (const auto *Member : Entries[Index].Table->liveMembers(Now))
    Count += Member->Region == regionOf(Index) ? 1 : 0;
  return Count;
}

const base::region_name &fleet::regionOf(std::size_t Index) const {
  return RegionOf.at(Entries[Index].Own.Domain);
}

membership::entry_status fleet::statusOf(std::size_t Index) {
  membership::entry_status Status;
  Status.Name = "e" + std::to_string(Index);
  auto Domain = RegionOf.begin();
  std::advance(Domain, Index % RegionOf.size());
  Status.Domain = Domain->first;
  Status.MeshAddress = {"10." + std::to_string(Index % RegionOf.size()) +
                            ".0." + std::to_string(Index / RegionOf.size()),
                        8649};
  Status.FrontAddress = {Status.MeshAddress.Address, 8641};
  Status.Ready = true;
  Status.Capacity = Index % 10 == 0 ? 500 : 100;
  Status.Demand["orders"] = 2;
  return Status;
}

void fleet::tick(fleet_entry &Entry) {
  Entry.Table->updateRelays(Entry.Own, Now);
  for (const auto &[Period, Addresses] : Entry.Table->takeDueHeartbeats(Now)) {
    auto Status = Entry.Own;
    Entry.Table->addReport(Status, Now);
    Status.NextHeartbeatIn = Period;
    Status.KnownAddresses = Entry.Table->takeAddressSample(Now);
    send(Entry, Addresses, Status);
  }
  if (Entry.Table->sendsDigests() && Now >= Entry.NextDigestAt)
    sendDigests(Entry);
  auto Status = Entry.Own;
  Entry.Table->addReport(Status, Now);
  Entry.Table->updateShares(false, Now);
}

void fleet::sendDigests(fleet_entry &Entry) {
  Entry.NextDigestAt = Now + membership::DigestPeriod;
  auto Own = Entry.Own;
  Entry.Table->addReport(Own, Now);
  Own.NextHeartbeatIn = membership::DigestPeriod;
  send(Entry, Entry.Table->digestReceivers(Now),
       Entry.Table->makeLocalDigest(Own, Now));
  send(Entry, Entry.Table->remoteDigestReceivers(),
       Entry.Table->makeRemoteDigest(Own, Now));
}

template <typename Content>
void fleet::send(fleet_entry &From,
                 const std::vector<base::endpoint> &Receivers,
                 const Content &Message) {
  const auto Decoded = std::make_shared<const membership::mesh_message>(
      *membership::decodeMessage(membership::encode(Message)));
  for (const base::endpoint &To : Receivers)
    send(From, To, Decoded);
}

void fleet::send(fleet_entry &From, const base::endpoint &To,
                 const message &Message) {
  ++From.Sent;
  if (std::uniform_real_distribution<double>()(Random) < LossRate)
    return;
  const auto Found = IndexOf.find(To);
  if (Found == IndexOf.end() ||
      Cut.count({static_cast<std::size_t>(&From - Entries.data()),
                 Found->second}) != 0)
    return;
  if (MaxDelay == 0ms)
    return deliver(Found->second, Message);
  std::uniform_int_distribution<std::int64_t> Delay(0, MaxDelay.count());
  InTransit.emplace(Now + std::chrono::milliseconds(Delay(Random)),
                    datagram{Found->second, Message});
}

void fleet::deliver(std::size_t To, const message &Message) {
  if (Entries[To].Alive)
    receive(Entries[To], *Message);
}

void fleet::receive(fleet_entry &Entry,
                    const membership::mesh_message &Message) {
  if (const auto *Digest = std::get_if<membership::digest>(&Message)) {
    if (Entry.Table->recordDigest(*Digest, Now))
      Entry.Table->updateShares(false, Now);
    return;
  }
  const auto &Status = std::get<membership::entry_status>(Message);
  const bool IsNew = Entry.Table->recordHeartbeat(Status, Now);
  if (IsNew)
    Entry.Table->updateShares(false, Now);
  if (!Entry.Table->takeDueIntroduction(Status, IsNew, Now))
    return;
  auto Introduction = Entry.Own;
  Entry.Table->addReport(Introduction, Now);
  Introduction.KnownAddresses =
      Entry.Table->introductionsFor(Status.Domain, Now);
  Introduction.NextHeartbeatIn = membership::MaxRemoteHeartbeatPeriod;
  send(Entry, {Status.MeshAddress}, Introduction);
}

} // namespace test_support
