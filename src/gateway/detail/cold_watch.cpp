#include "gateway/detail/cold_watch.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <xxhash.h>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Age of the state from which the store counts as silent: an undisturbed one
/// confirms the state every 2 s.
static constexpr milliseconds SilentAge{3000};
static constexpr milliseconds ConnectTimeout{300};
static constexpr milliseconds CheckTimeout{900};
/// Time after which a response is late.
static constexpr milliseconds MaxCheckTime{200};
/// Time for which a target may be cold that is late; the next check is late
/// before it ends.
static constexpr milliseconds MayBeColdTime{2000};
/// Longest cold time that a target may state.
static constexpr milliseconds MaxColdTime{std::chrono::minutes(10)};

std::optional<milliseconds> readColdTime(const net::http_response &Response,
                                         const header_names &Headers,
                                         const base::target_id &Target) {
  const std::string Text(Response[Headers.ColdTimeLeft]);
  char *End = nullptr;
  const double Count = std::strtod(Text.c_str(), &End);
  if (Response[Headers.TargetId] != Target.str() || Text.empty() ||
      *End != '\0' || !(Count > 0))
    return std::nullopt;
  return milliseconds(static_cast<std::int64_t>(
      std::min(Count, static_cast<double>(MaxColdTime.count()))));
}

bool tellsColdTime(const net::http_response &Response,
                   const header_names &Headers, const base::target_id &Target) {
  return Response[Headers.TargetId] == Target.str() &&
         Response.count(Headers.NotExecuted) == 0;
}

cold_watch::cold_watch(const header_names &Headers, steering_state &State,
                       placement::target_registry &TargetRegistry,
                       channel_pool &Pool, metrics::registry &Metrics,
                       telemetry::decision_log &Log, checker Own)
    : Headers(Headers), State(State), TargetRegistry(TargetRegistry),
      Pool(Pool), Metrics(Metrics), Log(Log), Own(std::move(Own)) {}

bool cold_watch::isStoreSilent(base::boot_time Now) const {
  const auto Age = State.age(Now);
  return State.isComplete() && Age && *Age > SilentAge;
}

/// The entries agree on who checks a target as far as they agree on who lives;
/// in a partition each side checks it.
bool cold_watch::isOwnDuty(const placement::target_state &Target,
                           const std::vector<checker> &Others) const {
  const auto RankOf = [&Target](const checker &Entry) {
    const std::string Address = base::toString(Entry.MeshAddress);
    return XXH3_64bits_withSeed(Address.data(), Address.size(), Target.Seed);
  };
  const bool IsLocal = Own.Region == Target.Region;
  const auto OwnRank = RankOf(Own);
  return std::none_of(Others.begin(), Others.end(), [&](const checker &Other) {
    const bool IsOtherLocal = Other.Region == Target.Region;
    return IsOtherLocal == IsLocal ? RankOf(Other) < OwnRank : IsOtherLocal;
  });
}

bool cold_watch::needsCheck(const placement::target_state &Target,
                            base::boot_time Now) const {
  return Target.ColdUntil <= Now && Pending.count(Target.Target.Id) == 0 &&
         TargetRegistry.acceptsRequests(Target, Now);
}

void cold_watch::tick(const std::vector<checker> &Others, base::boot_time Now) {
  if (!isStoreSilent(Now))
    return;
  reportLateChecks(Now);
  TargetRegistry.forEach([&](const placement::target_state &Target) {
    if (!needsCheck(Target, Now))
      return;
    const routing::service *Service =
        State.routes()->findService(Target.Target.Service);
    if (Service != nullptr && !Service->HealthPath.empty() &&
        Service->ColdTime.count() > 0 && isOwnDuty(Target, Others))
      check(Target, *Service, Now);
  });
}

void cold_watch::reportLateChecks(base::boot_time Now) {
  for (const auto &[Id, Check] : Pending) {
    const placement::target_state *Target = TargetRegistry.find(Id);
    if (Target != nullptr && Check.LateAt <= Now &&
        Target->MayBeColdUntil < Now + MayBeColdTime / 2)
      reportMayBeCold(Check.Target, MayBeColdTime, Now);
  }
}

/// \param Time for which the target may be cold; zero if it is not
void cold_watch::reportMayBeCold(const placement::target_incarnation &Target,
                                 milliseconds Time, base::boot_time Now) {
  if (!State.recordCold({Target, Now + Time, cold_finding::MayBeCold}))
    return;
  SKYLARKDYKE_DECISION(Log, TargetCold, Now,
                       {{"target", Target.Id.str()},
                        {"source", "check"},
                        {"confirmed", false},
                        {"cold_ms", nanoseconds(Time)}});
}

void cold_watch::check(const placement::target_state &Target,
                       const routing::service &Service, base::boot_time Now) {
  const placement::target_incarnation Checked =
      placement::incarnationOf(Target.Target);
  const std::string Id =
      Own.MeshAddress.Address + "-check-" + std::to_string(++CheckCount);
  net::http_request Request(bhttp::verb::get, Service.HealthPath, 11);
  Request.set(bhttp::field::host, base::toString(Checked.Address));
  Request.set(Headers.RequestId, Id);
  Request.set(Headers.ExpectedTarget, Checked.Id.str());
  Request.set(Headers.Deadline, std::to_string(CheckTimeout.count()));
  Pending.insert_or_assign(Checked.Id,
                           pending_check{Checked, Now + MaxCheckTime});
  Metrics
      .counter("skylarkdyke_cold_checks_total",
               "Health checks while the store is silent", {})
      .add();
  const auto Channel = Pool.acquire(Checked.Id, Checked.Address, Now);
  Channel->call(
      std::move(Request), {Now + ConnectTimeout, Now + CheckTimeout},
      [this, Id](const net::http_response &Response) {
        return Response[Headers.RequestId] == Id ||
               Response.count(Headers.TargetId) != 0;
      },
      [this, Checked, Channel](const net::call_result &Result) {
        Pending.erase(Checked.Id);
        Pool.release(Checked.Id, Channel, 1, base::boot_clock::now());
        onResult(Checked, Result);
      });
}

void cold_watch::onResult(const placement::target_incarnation &Target,
                          const net::call_result &Result) {
  const auto Now = State.now();
  if (!Result || !tellsColdTime(Result.value(), Headers, Target.Id))
    return reportMayBeCold(Target, MayBeColdTime, Now);
  const auto ColdFor = readColdTime(Result.value(), Headers, Target.Id);
  if (!ColdFor)
    return reportMayBeCold(Target, milliseconds(0), Now);
  if (!State.recordCold({Target, Now + *ColdFor, cold_finding::Cold}))
    return;
  SKYLARKDYKE_DECISION(Log, TargetCold, Now,
                       {{"target", Target.Id.str()},
                        {"source", "check"},
                        {"confirmed", true},
                        {"cold_ms", nanoseconds(*ColdFor)}});
}

} // namespace skylarkdyke::gateway::detail
