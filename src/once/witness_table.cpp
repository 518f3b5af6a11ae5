#include "skylarkdyke/once/witness_table.hpp"

#include "skylarkdyke/once/key.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace skylarkdyke::once {

namespace {

/// Minimum time between two scans in expire(). Bounds its cost when seals
/// expire at many different instants.
constexpr std::chrono::seconds MinScanInterval{1};

struct owner_records {
  /// Expiry of each recorded key.
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
  /// Earliest instant at which a record or a seal may be dropped.
  base::wall_time NextScan = base::wall_time::max();
  /// Keys with an expiry up to this instant may have been recorded and dropped.
  base::wall_time DroppedThrough = base::wall_time::min();
  /// Keys with an expiry up to this instant are always refused, even if the
  /// wall clock is set back: callers may have received the outcome NotRun for
  /// them.
  base::wall_time ClosedThrough = base::wall_time::min();

  bool namesThisWitness(base::incarnation_id Owner, const std::string &KeyText,
                        base::wall_time Expiry) const {
    const auto Key = parseKey(KeyText);
    return Key && Key->Prefix == key_prefix{Owner, Expiry, Self};
  }

  /// \return true if no keys are left
  bool dropExpiredKeys(owner_records &Owner, base::wall_time Now) {
    for (auto Position = Owner.Keys.begin(); Position != Owner.Keys.end();) {
      if (Position->second + ExpiryMargin > Now) {
        NextScan = std::min(NextScan, Position->second + ExpiryMargin);
        ++Position;
        continue;
      }
      DroppedThrough = std::max(DroppedThrough, Position->second);
      --RecordCount;
      Position = Owner.Keys.erase(Position);
    }
    return Owner.Keys.empty();
  }

  /// \return true if the owner is not sealed any more
  bool dropExpiredSeal(owner_records &Owner, base::wall_time Now) {
    if (!Owner.Sealed)
      return true;
    if (Owner.SealedUntil > Now) {
      NextScan = std::min(NextScan, Owner.SealedUntil);
      return false;
    }
    // Every key that was reported as never recorded had expired by then.
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
  if (!Impl->namesThisWitness(Owner, Key, Expiry) || Expiry <= Now ||
      Expiry <= Impl->ClosedThrough || Expiry <= Impl->DroppedThrough ||
      Expiry > Now + MaxKeyLifetime + ExpiryMargin)
    return record_result::Refused;
  if (Found != Impl->Owners.end() && Found->second.Keys.count(Key) > 0)
    return record_result::Recorded;
  if (Impl->RecordCount >= Impl->MaxRecords)
    return record_result::Full;
  Impl->Owners[Owner].Keys.emplace(Key, Expiry);
  ++Impl->RecordCount;
  Impl->NextScan = std::min(Impl->NextScan, Expiry + ExpiryMargin);
  return record_result::Recorded;
}

seal_result witness_table::seal(base::incarnation_id Owner,
                                const std::string &Key, base::wall_time Expiry,
                                base::wall_time Now) {
  expire(Now);
  if (!Impl->namesThisWitness(Owner, Key, Expiry) ||
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
  Impl->NextScan = std::min(Impl->NextScan, Found->second.SealedUntil);
  if (Found->second.Keys.count(Key) > 0)
    return seal_result::Recorded;
  return Expiry <= Impl->DroppedThrough ? seal_result::NotKnown
                                        : seal_result::NeverRecorded;
}

void witness_table::expire(base::wall_time Now) {
  if (Now < Impl->NextScan)
    return;
  Impl->NextScan = base::wall_time::max();
  for (auto Position = Impl->Owners.begin(); Position != Impl->Owners.end();) {
    const bool NoKeys = Impl->dropExpiredKeys(Position->second, Now);
    const bool NoSeal = Impl->dropExpiredSeal(Position->second, Now);
    Position =
        NoKeys && NoSeal ? Impl->Owners.erase(Position) : std::next(Position);
  }
  Impl->NextScan = std::max(Impl->NextScan, Now + MinScanInterval);
}

std::size_t witness_table::size() const { return Impl->RecordCount; }

} // namespace skylarkdyke::once
