#include "skylarkdyke/entries/witness_service.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <xxhash.h>

namespace skylarkdyke::entries {

using namespace std::chrono_literals;
using std::chrono::system_clock;

static constexpr auto ExpirePeriod = 1s;

static bool isEligible(const member &Self, const member &Other) {
  return Other.Ready && Other.Reachable && !Other.Leaving &&
         Other.Region == Self.Region && Other.Domain != Self.Domain;
}

/// Rendezvous hash, which distributes the entries of one failure domain over
/// the witnesses in another.
static std::uint64_t rendezvousWeight(base::incarnation_id Self,
                                      base::incarnation_id Other) {
  const std::array<std::uint64_t, 2> Pair{Self.Value, Other.Value};
  return XXH3_64bits(Pair.data(), sizeof(Pair));
}

std::optional<base::incarnation_id>
chooseWitness(const member &Self, const std::vector<member> &Members,
              base::incarnation_id Current) {
  const member *Best = nullptr;
  for (const member &Candidate : Members) {
    if (!isEligible(Self, Candidate))
      continue;
    if (Candidate.Incarnation == Current)
      return Current;
    if (Best == nullptr ||
        rendezvousWeight(Self.Incarnation, Candidate.Incarnation) >
            rendezvousWeight(Self.Incarnation, Best->Incarnation))
      Best = &Candidate;
  }
  if (Best == nullptr)
    return std::nullopt;
  return Best->Incarnation;
}

struct witness_service::impl {
  impl(mesh &Mesh, std::size_t MaxRecords)
      : Mesh(Mesh), MaxRecords(MaxRecords), Self(Mesh.self().Incarnation),
        Table(std::in_place, Self, MaxRecords) {}

  once::record_result record(const member &From, const intent_record &Record);
  once::seal_result seal(base::incarnation_id Witness,
                         base::incarnation_id Owner, const std::string &Key,
                         base::wall_time Expiry);
  void updateIncarnation();

  mesh &Mesh;
  const std::size_t MaxRecords;
  std::mutex Mutex;
  /// Incarnation of this entry under which the table's intents were recorded.
  base::incarnation_id Self;
  std::optional<once::witness_table> Table;
};

/// Starts with an empty table if this entry has a new incarnation. Requests for
/// keys that name the old one as their witness then get no reply, because no
/// member has that incarnation.
void witness_service::impl::updateIncarnation() {
  const base::incarnation_id Current = Mesh.self().Incarnation;
  if (Current == Self)
    return;
  Self = Current;
  Table.emplace(Self, MaxRecords);
}

once::record_result witness_service::impl::record(const member &From,
                                                  const intent_record &Record) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  updateIncarnation();
  // Only the owner may record its intents. The sender is not the owner any more
  // if it has changed its incarnation since it sent the request.
  if (Record.Witness != Self || Record.Owner != From.Incarnation)
    return once::record_result::Refused;
  return Table->record(Record.Owner, Record.Key, Record.Expiry,
                       system_clock::now());
}

once::seal_result witness_service::impl::seal(base::incarnation_id Witness,
                                              base::incarnation_id Owner,
                                              const std::string &Key,
                                              base::wall_time Expiry) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  updateIncarnation();
  if (Witness != Self)
    return once::seal_result::NotKnown;
  return Table->seal(Owner, Key, Expiry, system_clock::now());
}

witness_service::witness_service(mesh &Mesh, std::size_t MaxRecords)
    : Impl(std::make_unique<impl>(Mesh, MaxRecords)) {
  impl &Service = *Impl;
  Mesh.onMessage<intent_record>(
      [&Service](const member &From, const intent_record &Record) {
        Service.Mesh.send(
            From.Incarnation,
            intent_ack{Record.RequestId, Service.record(From, Record)});
      });
  Mesh.onMessage<seal_request>([&Service](const member &From,
                                          const seal_request &Request) {
    Service.Mesh.send(From.Incarnation,
                      seal_reply{Request.RequestId,
                                 Service.seal(Request.Witness, Request.Owner,
                                              Request.Key, Request.Expiry)});
  });
  Mesh.runPeriodically(ExpirePeriod, [&Service] {
    const std::lock_guard<std::mutex> Lock(Service.Mutex);
    Service.Table->expire(system_clock::now());
  });
}

witness_service::~witness_service() = default;

std::optional<once::record_result>
witness_service::recordIntent(const once::idempotency_key &Key,
                              base::boot_time Deadline) {
  const once::key_prefix &Prefix = Key.Prefix;
  const auto Reply = Impl->Mesh.request(
      Prefix.Witness,
      intent_record{0, Prefix.Owner, Prefix.Witness, Key.Text, Prefix.Expiry},
      Deadline);
  const auto *Ack = Reply ? std::get_if<intent_ack>(&*Reply) : nullptr;
  if (Ack == nullptr)
    return std::nullopt;
  return Ack->Result;
}

std::optional<once::seal_result>
witness_service::sealOwner(const once::idempotency_key &Key,
                           base::boot_time Deadline) {
  const once::key_prefix &Prefix = Key.Prefix;
  if (Prefix.Witness == Impl->Mesh.self().Incarnation)
    return Impl->seal(Prefix.Witness, Prefix.Owner, Key.Text, Prefix.Expiry);
  const auto Reply = Impl->Mesh.request(
      Prefix.Witness,
      seal_request{0, Prefix.Owner, Prefix.Witness, Key.Text, Prefix.Expiry},
      Deadline);
  const auto *Sealed = Reply ? std::get_if<seal_reply>(&*Reply) : nullptr;
  if (Sealed == nullptr)
    return std::nullopt;
  return Sealed->Result;
}

} // namespace skylarkdyke::entries
