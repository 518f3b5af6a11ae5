#include "skylarkdyke/once/ledger.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::once {

namespace {

/// Minimum time between two scans in expire(). Bounds its cost while a request
/// is in progress after the expiry of its key.
constexpr std::chrono::seconds MinScanInterval{1};

struct running_state {};

struct key_record {
  std::uint64_t Fingerprint = 0;
  base::wall_time Expiry;
  std::variant<running_state, begin_finished> State;

  bool isRunning() const {
    return std::holds_alternative<running_state>(State);
  }
};

std::size_t bytesOf(const http::response &Answer) {
  std::size_t Sum = Answer.Body.size();
  for (const auto &[Name, Value] : Answer.Headers)
    Sum += Name.size() + Value.size();
  return Sum;
}

/// Set of refused keys that would otherwise become acceptable later. It is a
/// Bloom filter with one hash function: it needs constant memory, contains
/// every key until its expiry, and may report a few other keys as contained.
class refused_keys {
public:
  void insert(const idempotency_key &Key) {
    if (Bits.empty())
      Bits.resize(BitCount);
    Bits[bitOf(Key)] = true;
    LatestExpiry = std::max(LatestExpiry, Key.Prefix.Expiry);
  }

  bool mayContain(const idempotency_key &Key) const {
    return !Bits.empty() && Bits[bitOf(Key)];
  }

  /// Drops all keys at ExpiryMargin after the latest of their expiries.
  /// \return the latest expiry of the dropped keys, or nothing if none was
  /// dropped
  std::optional<base::wall_time> expire(base::wall_time Now) {
    if (Bits.empty() || LatestExpiry + ExpiryMargin > Now)
      return std::nullopt;
    Bits.clear();
    return LatestExpiry;
  }

private:
  /// Size of 128 KiB. After 100,000 refusals, 9% of other keys are refused as
  /// well.
  static constexpr std::size_t BitCount = std::size_t{1} << 20;

  static std::size_t bitOf(const idempotency_key &Key) {
    return std::hash<std::string>()(Key.Text) % BitCount;
  }

  std::vector<bool> Bits;
  base::wall_time LatestExpiry = base::wall_time::min();
};

} // namespace

struct ledger::impl {
  base::incarnation_id Self;
  std::size_t MaxKeys;
  std::size_t MaxAnswerBytes;
  std::unordered_map<std::string, key_record> Records;
  refused_keys Refused;
  std::size_t AnswerBytes = 0;
  bool Sealed = false;
  /// Earliest instant at which a key may be dropped.
  base::wall_time NextScan = base::wall_time::max();
  /// Keys with an expiry up to this instant may have been run and dropped.
  base::wall_time DroppedThrough = base::wall_time::min();
  /// Keys with an expiry up to this instant are always refused, even if the
  /// wall clock is set back.
  base::wall_time ClosedThrough = base::wall_time::min();

  begin_refused refuse(const idempotency_key &Key, const char *Reason) const {
    const bool MayHaveRun =
        Key.Prefix.Owner != Self || Key.Prefix.Expiry <= DroppedThrough;
    return {Reason, MayHaveRun ? outcome::Unknown : outcome::NotRun};
  }

  begin_result beginNew(const idempotency_key &Key, std::uint64_t Fingerprint,
                        base::wall_time Now) {
    const base::wall_time Expiry = Key.Prefix.Expiry;
    if (Expiry <= Now)
      ClosedThrough = std::max(ClosedThrough, Expiry);
    if (Expiry <= ClosedThrough)
      return refuse(Key, "the key has expired");
    if (Sealed)
      return refuse(Key, "this entry incarnation is sealed");
    if (Refused.mayContain(Key))
      return refuse(Key, "the key was refused before; use a new key");
    // The key may become acceptable later, so its outcome is unknown.
    if (Expiry > Now + MaxKeyLifetime + ExpiryMargin)
      return begin_refused{"the key expires later than any that was issued",
                           outcome::Unknown};
    if (Records.size() >= MaxKeys) {
      Refused.insert(Key);
      return refuse(Key, "no memory is left for another key");
    }
    NextScan = std::min(NextScan, Expiry + ExpiryMargin);
    Records.emplace(Key.Text, key_record{Fingerprint, Expiry, running_state{}});
    return begin_accepted{};
  }

  void recordDrop(const key_record &Record) {
    ClosedThrough = std::max(ClosedThrough, Record.Expiry);
    DroppedThrough = std::max(DroppedThrough, Record.Expiry);
    AnswerBytes -= bytesOf(std::get<begin_finished>(Record.State).Answer);
  }
};

const char *toString(outcome Outcome) {
  switch (Outcome) {
  case outcome::Completed:
    return "completed";
  case outcome::NotRun:
    return "not-run";
  case outcome::Unknown:
    break;
  }
  return "unknown";
}

ledger::ledger(base::incarnation_id Self, std::size_t MaxKeys,
               std::size_t MaxAnswerBytes)
    : Impl(std::make_unique<impl>()) {
  Impl->Self = Self;
  Impl->MaxKeys = MaxKeys;
  Impl->MaxAnswerBytes = MaxAnswerBytes;
}
ledger::~ledger() = default;
ledger::ledger(ledger &&) noexcept = default;
ledger &ledger::operator=(ledger &&) noexcept = default;

begin_result ledger::begin(const idempotency_key &Key,
                           std::uint64_t Fingerprint, base::wall_time Now) {
  if (Key.Prefix.Owner != Impl->Self)
    return Impl->refuse(Key, "another entry incarnation owns the key");
  expire(Now);
  const auto Found = Impl->Records.find(Key.Text);
  if (Found == Impl->Records.end())
    return Impl->beginNew(Key, Fingerprint, Now);
  if (Found->second.Fingerprint != Fingerprint)
    return begin_mismatch{};
  if (Found->second.isRunning())
    return begin_in_progress{};
  return std::get<begin_finished>(Found->second.State);
}

void ledger::finish(const idempotency_key &Key, outcome Outcome,
                    http::response Answer, base::wall_time Now) {
  const auto Found = Impl->Records.find(Key.Text);
  if (Found == Impl->Records.end() || !Found->second.isRunning())
    return;
  begin_finished Finished{Outcome, {}};
  if (Outcome == outcome::Completed) {
    const std::size_t Bytes = bytesOf(Answer);
    if (Bytes <= Impl->MaxAnswerBytes - Impl->AnswerBytes) {
      Impl->AnswerBytes += Bytes;
      Finished.Answer = std::move(Answer);
    } else {
      Finished.Outcome = outcome::Unknown;
    }
  }
  Found->second.State = std::move(Finished);
  expire(Now);
}

void ledger::seal() { Impl->Sealed = true; }

bool ledger::isSealed() const { return Impl->Sealed; }

void ledger::expire(base::wall_time Now) {
  if (const auto LatestExpiry = Impl->Refused.expire(Now))
    Impl->ClosedThrough = std::max(Impl->ClosedThrough, *LatestExpiry);
  if (Now < Impl->NextScan)
    return;
  base::wall_time NextScan = base::wall_time::max();
  for (auto Position = Impl->Records.begin();
       Position != Impl->Records.end();) {
    const key_record &Record = Position->second;
    if (!Record.isRunning() && Record.Expiry + ExpiryMargin <= Now) {
      Impl->recordDrop(Record);
      Position = Impl->Records.erase(Position);
    } else {
      NextScan = std::min(NextScan, Record.Expiry + ExpiryMargin);
      ++Position;
    }
  }
  Impl->NextScan = std::max(NextScan, Now + MinScanInterval);
}

std::size_t ledger::size() const { return Impl->Records.size(); }

} // namespace skylarkdyke::once
