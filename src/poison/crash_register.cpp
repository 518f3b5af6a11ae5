#include "skylarkdyke/poison/crash_register.hpp"

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <xxhash.h>

namespace skylarkdyke::poison {

namespace {

/// Longer summaries are cut, because a path may be as long as a request.
constexpr std::size_t MaxSummaryBytes = 256;
/// Report ids remembered for each fingerprint held; a repeated report arrives
/// soon after the first one.
constexpr std::size_t ReportIdsPerFingerprint = 4;

struct crash_place {
  base::target_id Target;
  base::wall_time At;
};

struct crash_record {
  blocked_request Request;
  std::vector<crash_place> LatestCrashes;

  bool isBlocked(base::wall_time Now) const {
    return Request.Crashes >= CrashesToBlock && Now < Request.BlockedUntil;
  }

  bool hasEnded(base::wall_time Now) const {
    return Request.Crashes >= CrashesToBlock && Now >= Request.BlockedUntil;
  }

  bool isKnown(const crash_report &Report) const {
    return std::any_of(LatestCrashes.begin(), LatestCrashes.end(),
                       [&](const crash_place &Each) {
                         return Each.Target == Report.Target &&
                                Each.At - Report.At < SameCrashInterval &&
                                Report.At - Each.At < SameCrashInterval;
                       });
  }

  void count(const crash_report &Report, base::wall_time Now) {
    ++Request.Crashes;
    Request.BlockedUntil = Now + BlockLength;
    if (LatestCrashes.size() >= CrashesToBlock)
      LatestCrashes.erase(LatestCrashes.begin());
    LatestCrashes.push_back({Report.Target, Report.At});
  }
};

void hashField(XXH3_state_t *State, const std::string &Field) {
  const std::uint64_t Size = Field.size();
  XXH3_64bits_update(State, &Size, sizeof Size);
  XXH3_64bits_update(State, Field.data(), Field.size());
}

} // namespace

std::uint64_t fingerprintOf(const base::service_name &Service,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> State(
      XXH3_createState(), XXH3_freeState);
  XXH3_64bits_reset(State.get());
  for (const std::string *Field : {&Service.str(), &Method, &Path, &Body})
    hashField(State.get(), *Field);
  return XXH3_64bits_digest(State.get());
}

struct crash_register::impl {
  explicit impl(std::size_t MaxFingerprints)
      : MaxFingerprints(std::max<std::size_t>(1, MaxFingerprints)),
        ReportIds(this->MaxFingerprints * ReportIdsPerFingerprint) {}

  using record_list = std::list<crash_record>;

  std::size_t MaxFingerprints;
  /// Latest crash last.
  record_list Records;
  std::unordered_map<std::uint64_t, record_list::iterator> ByFingerprint;
  boost::circular_buffer<std::uint64_t> ReportIds;
  std::unordered_set<std::uint64_t> KnownReports;

  bool remember(std::uint64_t ReportId) {
    if (!KnownReports.insert(ReportId).second)
      return false;
    if (ReportIds.full())
      KnownReports.erase(ReportIds.front());
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

  /// Finds or adds the record, and makes it the latest.
  crash_record &touch(const crash_report &Report) {
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
  if (!Impl->remember(Report.ReportId))
    return false;
  const crash_record *Known = Impl->find(Report.Fingerprint);
  if (Known && Known->isKnown(Report))
    return false;
  // After a block, the count starts again from zero.
  if (Known && Known->hasEnded(Now))
    Impl->erase(Report.Fingerprint);
  Impl->touch(Report).count(Report, Now);
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
  for (const crash_record &Each : Impl->Records)
    if (Each.isBlocked(Now))
      Blocked.push_back(Each.Request);
  return Blocked;
}

} // namespace skylarkdyke::poison
