#include "callers/detail/snapshot.hpp"

#include "skylarkdyke/steering/dispatcher.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

document_tables::document_tables(
    std::shared_ptr<const config::document> NewDocument)
    : Document(std::move(NewDocument)), Blocks(Document->ClientBlocks),
      Ramp(*Document) {
  for (const config::region &Region : Document->Regions)
    for (const base::domain_name &Domain : Region.Domains)
      RegionByDomain.emplace(Domain, Region.Name);
}

static std::vector<entries::member>
withSelf(std::vector<entries::member> Members, const entries::member &Self) {
  Members.push_back(Self);
  return Members;
}

snapshot::snapshot(std::shared_ptr<const document_tables> DocumentTables,
                   entries::member Entry,
                   std::vector<entries::member> OtherMembers)
    : Tables(std::move(DocumentTables)), Self(std::move(Entry)),
      Members(withSelf(std::move(OtherMembers), Self)),
      Order(*Tables->Document, Members) {}

const entries::member *
snapshot::dispatcherOf(const base::service_name &Service) const {
  return steering::dispatcherOf(Service, Self.Region, Members);
}

const entries::member *snapshot::find(base::incarnation_id Incarnation) const {
  const auto Found = std::find_if(Members.begin(), Members.end(),
                                  [Incarnation](const entries::member &Member) {
                                    return Member.Incarnation == Incarnation;
                                  });
  return Found == Members.end() ? nullptr : &*Found;
}

snapshot_source::snapshot_source(const dependencies &Dependencies)
    : Dependencies(Dependencies) {}

std::shared_ptr<const document_tables>
snapshot_source::refresh(bool IsLeaving) {
  const std::lock_guard<std::mutex> RefreshLock(RefreshMutex);
  auto Document = Dependencies.Document();
  if (!Document)
    return nullptr;
  const bool IsNewDocument = !Tables || Tables->Document != Document;
  if (IsNewDocument)
    Tables = std::make_shared<const document_tables>(std::move(Document));
  // With the same document, weights change over time only because of drains.
  if (IsNewDocument || !Tables->Document->Drains.empty())
    configureQueues(*Tables);
  entries::member Self = Dependencies.Self();
  Self.Leaving = Self.Leaving || IsLeaving;
  auto NewSnapshot = std::make_shared<snapshot>(Tables, std::move(Self),
                                                Dependencies.Members());
  fillQueues(*NewSnapshot);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Current = std::move(NewSnapshot);
  return IsNewDocument ? Tables : nullptr;
}

std::shared_ptr<const snapshot> snapshot_source::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Current;
}

void snapshot_source::configureQueues(const document_tables &NewTables) {
  const base::wall_time Now = std::chrono::system_clock::now();
  std::map<queue_key, std::vector<steering::weighted_target>> TargetsByQueue;
  for (const config::target &Target : NewTables.Document->Targets) {
    const auto Region = NewTables.RegionByDomain.find(Target.Domain);
    if (Region != NewTables.RegionByDomain.end())
      TargetsByQueue[{Target.Service, Region->second}].push_back(
          {Target, NewTables.Ramp.weight(Target, Now)});
  }
  // A queue that is no longer needed is configured without targets first, so
  // that it refuses the requests that wait in it.
  for (auto It = Queues.begin(); It != Queues.end();) {
    if (TargetsByQueue.count(It->first) != 0) {
      ++It;
      continue;
    }
    It->second->configure({});
    It = Queues.erase(It);
  }
  for (auto &[Key, Targets] : TargetsByQueue) {
    std::shared_ptr<dispatch_queue> &Queue = Queues[Key];
    if (!Queue)
      Queue = std::make_shared<dispatch_queue>();
    Queue->configure(std::move(Targets));
  }
}

static std::chrono::nanoseconds roundTripTime(const config::document &Document,
                                              const base::region_name &From,
                                              const base::region_name &To) {
  for (const config::link &Link : Document.Links)
    if (Link.From == From && Link.To == To)
      return Link.RoundTrip;
  return std::chrono::nanoseconds(0);
}

void snapshot_source::fillQueues(snapshot &Snapshot) const {
  const base::region_name &OwnRegion = Snapshot.Self.Region;
  for (const auto &[Key, Queue] : Queues) {
    const auto &[Service, Region] = Key;
    std::vector<region_queue> &RegionQueues = Snapshot.Queues[Service];
    if (Region == OwnRegion)
      RegionQueues.insert(RegionQueues.begin(),
                          {Region, Queue, std::chrono::nanoseconds(0)});
    else
      RegionQueues.push_back(
          {Region, Queue,
           roundTripTime(Snapshot.document(), OwnRegion, Region)});
  }
}

} // namespace skylarkdyke::callers::detail
