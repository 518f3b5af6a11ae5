#include "callers/detail/snapshot.hpp"

#include "skylarkdyke/steering/dispatcher.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

document_tables::document_tables(std::shared_ptr<const config::document> Given)
    : Document(std::move(Given)), Blocks(Document->ClientBlocks),
      Ramp(*Document) {
  for (const config::region &Region : Document->Regions)
    for (const base::domain_name &Domain : Region.Domains)
      RegionOf.emplace(Domain, Region.Name);
}

static std::vector<entries::member>
withSelf(std::vector<entries::member> Members, const entries::member &Self) {
  Members.push_back(Self);
  return Members;
}

snapshot::snapshot(std::shared_ptr<const document_tables> Given,
                   entries::member Own, std::vector<entries::member> Others)
    : Tables(std::move(Given)), Self(std::move(Own)),
      Members(withSelf(std::move(Others), Self)),
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
  const std::lock_guard<std::mutex> Serialise(Refreshing);
  auto Document = Dependencies.Document();
  if (!Document)
    return nullptr;
  const bool IsNew = !Tables || Tables->Document != Document;
  if (IsNew)
    Tables = std::make_shared<const document_tables>(std::move(Document));
  // Only drains change weights as time passes.
  if (IsNew || !Tables->Document->Drains.empty())
    configureQueues(*Tables);
  entries::member Self = Dependencies.Self();
  Self.Leaving = Self.Leaving || IsLeaving;
  auto Next = std::make_shared<snapshot>(Tables, std::move(Self),
                                         Dependencies.Members());
  listQueues(*Next);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Current = std::move(Next);
  return IsNew ? Tables : nullptr;
}

std::shared_ptr<const snapshot> snapshot_source::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Current;
}

void snapshot_source::configureQueues(const document_tables &Given) {
  const base::wall_time Now = std::chrono::system_clock::now();
  std::map<queue_key, std::vector<steering::weighted_target>> Wanted;
  for (const config::target &Target : Given.Document->Targets) {
    const auto Region = Given.RegionOf.find(Target.Domain);
    if (Region != Given.RegionOf.end())
      Wanted[{Target.Service, Region->second}].push_back(
          {Target, Given.Ramp.weight(Target, Now)});
  }
  // Requests that wait in a queue without targets are refused before it goes.
  for (auto It = Queues.begin(); It != Queues.end();) {
    if (Wanted.count(It->first) != 0) {
      ++It;
      continue;
    }
    It->second->configure({});
    It = Queues.erase(It);
  }
  for (auto &[Key, Targets] : Wanted) {
    std::shared_ptr<dispatch_queue> &Queue = Queues[Key];
    if (!Queue)
      Queue = std::make_shared<dispatch_queue>();
    Queue->configure(std::move(Targets));
  }
}

static std::chrono::nanoseconds roundTrip(const config::document &Document,
                                          const base::region_name &From,
                                          const base::region_name &To) {
  for (const config::link &Link : Document.Links)
    if (Link.From == From && Link.To == To)
      return Link.RoundTrip;
  return std::chrono::nanoseconds(0);
}

void snapshot_source::listQueues(snapshot &Snapshot) const {
  const base::region_name &Own = Snapshot.Self.Region;
  for (const auto &[Key, Queue] : Queues) {
    const auto &[Service, Region] = Key;
    std::vector<region_queue> &List = Snapshot.Queues[Service];
    if (Region == Own)
      List.insert(List.begin(), {Region, Queue, std::chrono::nanoseconds(0)});
    else
      List.push_back(
          {Region, Queue, roundTrip(Snapshot.document(), Own, Region)});
  }
}

} // namespace skylarkdyke::callers::detail
