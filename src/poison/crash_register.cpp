#include "skylarkdyke/poison/crash_register.hpp"

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <list>
#include <unordered_map>
#include <unordered_set>

namespace skylarkdyke::poison {

namespace {

/// Maximum length of a summary. Longer ones are truncated, because a path may
/// be as long as a request.
constexpr std::size_t MaxSummaryBytes = 256;
/// Capacity of the store of report ids, per fingerprint that can be stored. The
/// ids identify duplicate reports; a duplicate arrives soon after the first
/// report.
constexpr std::size_t ReportIdsPerFingerprint = 4;

struct crash_event {
  base::target_id Target;
  base::wall_time At;
};

struct crash_record {
  blocked_request Request;
  std::vector<crash_event> LatestCrashes;

  bool isBlocked(base::wall_time Now) const {
    return Request.Crashes >= CrashesToBlock && Now < Request.BlockedUntil;
  }

  bool hasBlockExpired(base::wall_time Now) const {
    return Request.Crashes >= CrashesToBlock && Now >= Request.BlockedUntil;
  }

  bool isDuplicate(const crash_report &Report) const {
    return std::any_of(LatestCrashes.begin(), LatestCrashes.end(),
                       [&](const crash_event &Crash) {
                         return Crash.Target == Report.Target &&
                                Crash.At - Report.At < SameCrashInterval &&
                                Report.At - Crash.At < SameCrashInterval;
                       });
  }

  void addCrash(const crash_report &Report, base::wall_time Now) {
    ++Request.Crashes;
    Request.BlockedUntil = Now + BlockDuration;
    if (LatestCrashes.size() >= CrashesToBlock)
      LatestCrashes.erase(LatestCrashes.begin());
    LatestCrashes.push_back({Report.Target, Report.At});
  }
};

} // namespace

struct crash_register::impl {
  explicit impl(std::size_t MaxFingerprints)
      : MaxFingerprints(std::max<std::size_t>(1, MaxFingerprints)),
        ReportIds(this->MaxFingerprints * ReportIdsPerFingerprint) {}

  using record_list = std::list<crash_record>;

  std::size_t MaxFingerprints;
  /// Ordered by latest crash, the most recent last.
  record_list Records;
  std::unordered_map<std::uint64_t, record_list::iterator> ByFingerprint;
  boost::circular_buffer<std::uint64_t> ReportIds;
  std::unordered_set<std::uint64_t> KnownReportIds;

  bool recordReportId(std::uint64_t ReportId) {
    if (!KnownReportIds.insert(ReportId).second)
      return false;
    if (ReportIds.full())
      KnownReportIds.erase(ReportIds.front());
    ReportIds.push_back(ReportId);
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

  /// Finds or adds the record of a fingerprint and moves it to the end of
  /// Records.
  crash_record &findOrAddLatest(const crash_report &Report) {
    const auto Found = ByFingerprint.find(Report.Fingerprint);
    if (Found != ByFingerprint.end()) {
      Records.splice(Records.end(), Records, Found->second);
      return Records.back();
    }
    if (Records.size() >= MaxFingerprints)
      erase(Records.front().Request.Fingerprint);
    Records.push_back({{Report.Fingerprint,
                        Report.Service,
                        Report.Summary.substr(0, MaxSummaryBytes),
                        0,
                        {}},
                       {}});
    ByFingerprint[Report.Fingerprint] = std::prev(Records.end());
    return Records.back();
  }
};

crash_register::crash_register(std::size_t MaxFingerprints)
    : Impl(std::make_unique<impl>(MaxFingerprints)) {}
crash_register::~crash_register() = default;

bool crash_register::add(const crash_report &Report, base::wall_time Now) {
  if (!Impl->recordReportId(Report.ReportId))
    return false;
  const crash_record *Known = Impl->find(Report.Fingerprint);
  if (Known && Known->isDuplicate(Report))
    return false;
  // The count restarts at zero after a block has expired.
  if (Known && Known->hasBlockExpired(Now))
    Impl->erase(Report.Fingerprint);
  Impl->findOrAddLatest(Report).addCrash(Report, Now);
  return true;
}

void crash_register::clear(std::uint64_t Fingerprint) {
  Impl->erase(Fingerprint);
}

bool crash_register::release(std::uint64_t Fingerprint) {
  const crash_record *Known = Impl->find(Fingerprint);
  return Known && Known->Request.Crashes >= CrashesToBlock &&
         Impl->erase(Fingerprint);
}

bool crash_register::isBlocked(std::uint64_t Fingerprint,
                               base::wall_time Now) const {
  const crash_record *Known = Impl->find(Fingerprint);
  return Known && Known->isBlocked(Now);
}

std::vector<blocked_request>
crash_register::blocked(base::wall_time Now) const {
  std::vector<blocked_request> Blocked;
  for (const crash_record &Record : Impl->Records)
    if (Record.isBlocked(Now))
      Blocked.push_back(Record.Request);
  return Blocked;
}

} // namespace skylarkdyke::poison
