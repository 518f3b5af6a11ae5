#include "gateway/detail/directory_service.hpp"

#include "skylarkdyke/membership/directory.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

using std::chrono::milliseconds;

/// Time for which callers may cache a directory response.
static constexpr milliseconds DirectoryTtl{2000};
/// Maximum number of entries in a directory response.
static constexpr std::size_t MaxDirectoryEntries = 64;
/// Time for which a directory response is used again, and the number of
/// responses that are kept.
static constexpr milliseconds DirectoryCacheTime{250};
static constexpr std::size_t MaxCachedDirectoryResponses = 256;

directory_service::directory_service(
    const gateway_settings &Settings, const caller_protocol &Protocol,
    const steering_state &State,
    const placement::target_registry &TargetRegistry,
    const placement::placer &Placer, const demand_history &History,
    const membership::member_table &Members, status_source OwnStatus)
    : Settings(Settings), Protocol(Protocol), State(State),
      TargetRegistry(TargetRegistry), Placer(Placer), History(History),
      Members(Members), OwnStatus(std::move(OwnStatus)) {}

/// Returns the expected requests per second for a host from the callers of a
/// region. Until the rate is measured, it is taken to be what the targets of
/// the region can serve: otherwise the directory would return a single entry
/// to all callers of a large region.
double
directory_service::expectedRequestRate(const directory_query &DirectoryQuery,
                                       base::boot_time Now) const {
  std::map<base::service_name, milliseconds> Objectives;
  if (State.routes())
    for (const routing::route *Route :
         State.routes()->routesOf(DirectoryQuery.Host))
      for (const auto &WeightedService : Route->Services)
        Objectives.emplace(WeightedService.Service, Route->LatencyObjective);
  double Rate = 0;
  for (const auto &[Service, Objective] : Objectives) {
    const double Measured = Placer.demand(Service, DirectoryQuery.Region);
    Rate += History.isMeasured(Service.str(), Now)
                ? Measured
                : std::max(Measured,
                           servableRate(TargetRegistry, Service,
                                        DirectoryQuery.Region, Objective, Now));
  }
  return Rate;
}

/// Returns the regions to which the callers of a host may be sent. The query
/// does not say which routes they use or which team they are of: all routes
/// with allowed regions hold or, if these have none in common, the first one.
std::vector<base::region_name>
directory_service::allowedRegionsOf(const std::string &Host) const {
  std::vector<base::region_name> Common;
  if (!State.routes())
    return Common;
  for (const routing::route *Route : State.routes()->routesOf(Host)) {
    std::vector<base::region_name> Narrowed;
    for (const base::region_name &Region : Route->AllowedRegions)
      if (Common.empty() ||
          std::find(Common.begin(), Common.end(), Region) != Common.end())
        Narrowed.push_back(Region);
    if (!Narrowed.empty())
      Common = std::move(Narrowed);
  }
  return Common;
}

std::vector<base::endpoint>
directory_service::entriesFor(const directory_query &DirectoryQuery,
                              base::boot_time Now) const {
  const membership::entry_status Own = OwnStatus();
  std::vector<const membership::entry_status *> Ready;
  if (Own.Ready)
    Ready.push_back(&Own);
  for (const auto *Member : Members.liveMembers(Now))
    if (Member->Status.Ready && !Member->Status.Leaving)
      Ready.push_back(&Member->Status);
  const membership::entry_query EntryQuery{
      DirectoryQuery.Host, DirectoryQuery.Region,
      allowedRegionsOf(DirectoryQuery.Host),
      expectedRequestRate(DirectoryQuery, Now)};
  return membership::entriesForCaller(Ready, Settings.RegionOf, EntryQuery,
                                      MaxDirectoryEntries);
}

net::http_response
directory_service::respond(const directory_query &DirectoryQuery,
                           base::boot_time Now) {
  if (Cache.size() > MaxCachedDirectoryResponses)
    Cache.clear();
  cached_entries &Cached = Cache[{DirectoryQuery.Host, DirectoryQuery.Region}];
  if (Cached.Entries.empty() || Now >= Cached.ValidUntil)
    Cached = {entriesFor(DirectoryQuery, Now), Now + DirectoryCacheTime};
  if (Cached.Entries.empty())
    return net::makeResponse(503, "no entry is ready\n");
  const auto Ttl = std::min(DirectoryTtl, Settings.MaxDirectoryTtl);
  return net::makeResponse(
      200, Protocol.FormatDirectoryResponse(Cached.Entries, Ttl),
      "application/json");
}

} // namespace skylarkdyke::gateway::detail
