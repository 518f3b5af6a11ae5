#include "skylarkdyke/once/witness_table.hpp"

#include "skylarkdyke/once/key.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace skylarkdyke::once {

namespace {

/// Bounds the cost of expire() when seals end at many different instants.
constexpr std::chrono::seconds MinDropInterval{1};

struct owner_records {
  /// Keys with their expiry.
  std::unordered_map<std::string, base::wall_time> Keys;
  bool Sealed = false;
  base::wall_time SealedUntil = base::wall_time::min();

  void extendSeal(base::wall_time Now) {
    SealedUntil = std::max(SealedUntil, Now + MaxKeyLifetime + ExpiryMargin);
  }
};

} // namespace

struct witness_table::impl {
  base::incarnation_id Self;
  std::size_t MaxRecords;
  std::unordered_map<base::incarnation_id, owner_records> Owners;
  std::size_t RecordCount = 0;
  std::size_t SealCount = 0;
  /// Nothing is to be dropped before this instant.
  base::wall_time NextDrop = base::wall_time::max();
  /// Keys up to this expiry may have been recorded and dropped.
  base::wall_time DroppedThrough = base::wall_time::min();
  /// Keys up to this expiry are never recorded any more, even if the wall clock
  /// is set back: a caller may have been told that they were not run.
  base::wall_time ClosedThrough = base::wall_time::min();

  bool isForThisWitness(base::incarnation_id Owner, const std::string &Text,
                        base::wall_time Expiry) const {
    const auto Key = parseKey(Text);
    return Key && Key->Prefix == key_prefix{Owner, Expiry, Self};
  }

  bool dropKeys(owner_records &Owner, base::wall_time Now) {
    for (auto Each = Owner.Keys.begin(); Each != Owner.Keys.end();) {
      if (Each->second + ExpiryMargin > Now) {
        NextDrop = std::min(NextDrop, Each->second + ExpiryMargin);
        ++Each;
        continue;
      }
      DroppedThrough = std::max(DroppedThrough, Each->second);
      --RecordCount;
      Each = Owner.Keys.erase(Each);
    }
    return Owner.Keys.empty();
  }

  bool dropSeal(owner_records &Owner, base::wall_time Now) {
    if (!Owner.Sealed)
      return true;
    if (Owner.SealedUntil > Now) {
      NextDrop = std::min(NextDrop, Owner.SealedUntil);
      return false;
    }
    // Every key that a caller was told about had expired by then.
    ClosedThrough = std::max(ClosedThrough, Owner.SealedUntil);
    Owner.Sealed = false;
    --SealCount;
    return true;
  }
};

witness_table::witness_table(base::incarnation_id Self, std::size_t MaxRecords)
    : Impl(std::make_unique<impl>()) {
  Impl->Self = Self;
  Impl->MaxRecords = MaxRecords;
}
witness_table::~witness_table() = default;

record_result witness_table::record(base::incarnation_id Owner,
                                    const std::string &Key,
                                    base::wall_time Expiry,
                                    base::wall_time Now) {
  expire(Now);
  const auto Found = Impl->Owners.find(Owner);
  if (Found != Impl->Owners.end() && Found->second.Sealed) {
    Found->second.extendSeal(Now);
    return record_result::Sealed;
  }
  if (!Impl->isForThisWitness(Owner, Key, Expiry) || Expiry <= Now ||
      Expiry <= Impl->ClosedThrough || Expiry <= Impl->DroppedThrough ||
      Expiry > Now + MaxKeyLifetime + ExpiryMargin)
    return record_result::Refused;
  if (Found != Impl->Owners.end() && Found->second.Keys.count(Key) > 0)
    return record_result::Recorded;
  if (Impl->RecordCount >= Impl->MaxRecords)
    return record_result::Full;
  Impl->Owners[Owner].Keys.emplace(Key, Expiry);
  ++Impl->RecordCount;
  Impl->NextDrop = std::min(Impl->NextDrop, Expiry + ExpiryMargin);
  return record_result::Recorded;
}

seal_result witness_table::seal(base::incarnation_id Owner,
                                const std::string &Key, base::wall_time Expiry,
                                base::wall_time Now) {
  expire(Now);
  if (!Impl->isForThisWitness(Owner, Key, Expiry) ||
      Expiry > Now + MaxKeyLifetime + ExpiryMargin)
    return seal_result::NotKnown;
  auto Found = Impl->Owners.find(Owner);
  const bool Sealed = Found != Impl->Owners.end() && Found->second.Sealed;
  if (!Sealed && Impl->SealCount >= Impl->MaxRecords)
    return seal_result::NotKnown;
  if (!Sealed) {
    Found = Impl->Owners.try_emplace(Owner).first;
    Found->second.Sealed = true;
    ++Impl->SealCount;
  }
  Found->second.extendSeal(Now);
  Impl->NextDrop = std::min(Impl->NextDrop, Found->second.SealedUntil);
  if (Found->second.Keys.count(Key) > 0)
    return seal_result::Recorded;
  return Expiry <= Impl->DroppedThrough ? seal_result::NotKnown
                                        : seal_result::NeverRecorded;
}

void witness_table::expire(base::wall_time Now) {
  if (Now < Impl->NextDrop)
    return;
  Impl->NextDrop = base::wall_time::max();
  for (auto Each = Impl->Owners.begin(); Each != Impl->Owners.end();) {
    const bool NoKeys = Impl->dropKeys(Each->second, Now);
    const bool NoSeal = Impl->dropSeal(Each->second, Now);
    Each = NoKeys && NoSeal ? Impl->Owners.erase(Each) : std::next(Each);
  }
  Impl->NextDrop = std::max(Impl->NextDrop, Now + MinDropInterval);
}

std::size_t witness_table::size() const { return Impl->RecordCount; }

} // namespace skylarkdyke::once
