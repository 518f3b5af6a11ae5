#include "skylarkdyke/poison/crash_register.hpp"

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace skylarkdyke::poison {

namespace {

/// Maximum length of a summary. Longer ones are truncated, because a path may
/// be as long as a request.
constexpr std::size_t MaxSummaryBytes = 256;
/// Capacity of the store of crash ids, per fingerprint that can be stored. The
/// ids identify duplicate reports; a duplicate arrives soon after the first
/// report.
constexpr std::size_t CrashIdsPerFingerprint = 4;

struct crash_record {
  blocked_request Request;
  std::vector<target_crash> LatestCrashes;
  /// Number of crashes at which the request is blocked.
  unsigned Threshold = 0;
  /// Time that this entry adds to the end of the block.
  std::chrono::nanoseconds ReopenDelay{0};

  base::boot_time blockEnd() const {
    return Request.BlockedUntil + ReopenDelay;
  }

  bool isBlocked(base::boot_time Now) const {
    return Request.Crashes >= Threshold && Now < blockEnd();
  }

  bool hasBlockExpired(base::boot_time Now) const {
    return Request.Crashes >= Threshold && Now >= blockEnd();
  }

  bool isDuplicate(const target_crash &Reported) const {
    return std::any_of(LatestCrashes.begin(), LatestCrashes.end(),
                       [&](const target_crash &Crash) {
                         return Crash.Target == Reported.Target &&
                                Crash.At - Reported.At < SameCrashInterval &&
                                Reported.At - Crash.At < SameCrashInterval;
                       });
  }

  void addCrash(const target_crash &Crash, base::boot_time Now) {
    ++Request.Crashes;
    Request.BlockedUntil = Now + BlockDuration;
    if (LatestCrashes.size() >= Threshold)
      LatestCrashes.erase(LatestCrashes.begin());
    LatestCrashes.push_back(Crash);
  }
};

} // namespace

struct crash_register::impl {
  impl(std::size_t MaxFingerprints, block_rules Rules)
      : MaxFingerprints(std::max<std::size_t>(1, MaxFingerprints)),
        Rules(Rules), CrashIds(this->MaxFingerprints * CrashIdsPerFingerprint) {
  }

  using record_list = std::list<crash_record>;

  std::size_t MaxFingerprints;
  block_rules Rules;
  /// Ordered by latest crash, the most recent last.
  record_list Records;
  std::unordered_map<std::uint64_t, record_list::iterator> ByFingerprint;
  boost::circular_buffer<std::uint64_t> CrashIds;
  std::unordered_set<std::uint64_t> KnownCrashIds;

  bool recordCrashId(std::uint64_t CrashId) {
    if (!KnownCrashIds.insert(CrashId).second)
      return false;
    if (CrashIds.full())
      KnownCrashIds.erase(CrashIds.front());
    CrashIds.push_back(CrashId);
    return true;
  }

  bool erase(std::uint64_t Fingerprint) {
    const auto Found = ByFingerprint.find(Fingerprint);
    if (Found == ByFingerprint.end())
      return false;
    Records.erase(Found->second);
    ByFingerprint.erase(Found);
    return true;
  }

  const crash_record *find(std::uint64_t Fingerprint) const {
    const auto Found = ByFingerprint.find(Fingerprint);
    return Found == ByFingerprint.end() ? nullptr : &*Found->second;
  }

  std::chrono::nanoseconds reopenDelay(std::uint64_t Fingerprint) const {
    if (Rules.ReopenInterval.count() <= 0)
      return std::chrono::nanoseconds(0);
    return std::chrono::nanoseconds(
        (Fingerprint ^ Rules.EntrySeed) %
        static_cast<std::uint64_t>(Rules.ReopenInterval.count()));
  }

  /// Finds or adds the record of a fingerprint and moves it to the end of
  /// Records.
  crash_record &findOrAddLatest(std::uint64_t Fingerprint,
                                const base::service_name &Service,
                                const std::string &Summary) {
    const auto Found = ByFingerprint.find(Fingerprint);
    if (Found != ByFingerprint.end()) {
      Records.splice(Records.end(), Records, Found->second);
      return Records.back();
    }
    if (Records.size() >= MaxFingerprints)
      erase(Records.front().Request.Fingerprint);
    Records.push_back(
        {{Fingerprint, Service, Summary.substr(0, MaxSummaryBytes), 0, {}},
         {},
         Rules.CrashesToBlock,
         reopenDelay(Fingerprint)});
    ByFingerprint[Fingerprint] = std::prev(Records.end());
    return Records.back();
  }

  /// Restarts the count at zero after a block has expired.
  void endExpiredBlock(std::uint64_t Fingerprint, base::boot_time Now) {
    const auto Found = ByFingerprint.find(Fingerprint);
    if (Found == ByFingerprint.end() || !Found->second->hasBlockExpired(Now))
      return;
    Found->second->Request.Crashes = 0;
    Found->second->LatestCrashes.clear();
    Found->second->Threshold = Rules.CrashesToBlockAgain;
  }
};

crash_register::crash_register(std::size_t MaxFingerprints, block_rules Rules)
    : Impl(std::make_unique<impl>(MaxFingerprints, Rules)) {}
crash_register::~crash_register() = default;

bool crash_register::add(const target_crash &Crash, base::boot_time Now) {
  if (!Impl->recordCrashId(Crash.Id))
    return false;
  const crash_record *Known = Impl->find(Crash.Fingerprint);
  if (Known && Known->isDuplicate(Crash))
    return false;
  Impl->endExpiredBlock(Crash.Fingerprint, Now);
  Impl->findOrAddLatest(Crash.Fingerprint, Crash.Service, Crash.Summary)
      .addCrash(Crash, Now);
  return true;
}

bool crash_register::block(const blocked_request &Request,
                           base::boot_time Now) {
  const bool WasBlocked = isBlocked(Request.Fingerprint, Now);
  Impl->endExpiredBlock(Request.Fingerprint, Now);
  blocked_request &Known =
      Impl->findOrAddLatest(Request.Fingerprint, Request.Service,
                            Request.Summary)
          .Request;
  const unsigned Threshold = Impl->find(Request.Fingerprint)->Threshold;
  Known.Crashes = std::max({Known.Crashes, Request.Crashes, Threshold});
  Known.BlockedUntil = std::max(
      Known.BlockedUntil,
      std::min<base::boot_time>(Request.BlockedUntil, Now + BlockDuration));
  return !WasBlocked && isBlocked(Request.Fingerprint, Now);
}

bool crash_register::clear(std::uint64_t Fingerprint) {
  return Impl->erase(Fingerprint);
}

bool crash_register::release(std::uint64_t Fingerprint) {
  const crash_record *Known = Impl->find(Fingerprint);
  return Known && Known->Request.Crashes >= Known->Threshold &&
         Impl->erase(Fingerprint);
}

bool crash_register::isBlocked(std::uint64_t Fingerprint,
                               base::boot_time Now) const {
  return findBlock(Fingerprint, Now) != nullptr;
}

const blocked_request *crash_register::findBlock(std::uint64_t Fingerprint,
                                                 base::boot_time Now) const {
  const crash_record *Known = Impl->find(Fingerprint);
  return Known && Known->isBlocked(Now) ? &Known->Request : nullptr;
}

std::vector<blocked_request>
crash_register::blocked(base::boot_time Now) const {
  std::vector<blocked_request> Blocked;
  for (const crash_record &Record : Impl->Records)
    if (Record.isBlocked(Now))
      Blocked.push_back(Record.Request);
  return Blocked;
}

unsigned crash_register::crashesOf(std::uint64_t Fingerprint) const {
  const crash_record *Known = Impl->find(Fingerprint);
  return Known ? Known->Request.Crashes : 0;
}

bool crash_register::hasCounted(std::uint64_t CrashId) const {
  return Impl->KnownCrashIds.count(CrashId) != 0;
}

std::vector<target_crash>
crash_register::crashesFor(std::uint64_t Fingerprint) const {
  const crash_record *Known = Impl->find(Fingerprint);
  return Known ? Known->LatestCrashes : std::vector<target_crash>();
}

std::vector<target_crash>
crash_register::latestCrashes(std::size_t Limit) const {
  std::vector<target_crash> Crashes;
  for (auto Record = Impl->Records.rbegin();
       Record != Impl->Records.rend() && Crashes.size() < Limit; ++Record)
    Crashes.insert(Crashes.end(), Record->LatestCrashes.begin(),
                   Record->LatestCrashes.end());
  return Crashes;
}

bool crash_register::empty() const { return Impl->Records.empty(); }

} // namespace skylarkdyke::poison
