#include "gateway/detail/caller_key.hpp"
#include "gateway/detail/exchange.hpp"
#include "gateway/detail/request_rejection.hpp"
#include "skylarkdyke/routing/team_rules.hpp"

namespace skylarkdyke::gateway::detail {

using std::chrono::milliseconds;

/// Retry delay given to a caller whose request is to be identified again under
/// a new configuration.
static constexpr milliseconds IdentifyAgainAfter{50};
/// Retry delay given to a caller whose request may be executed in no region;
/// only a new configuration changes that.
static constexpr milliseconds NoRegionRetryAfter{1000};

bool exchange::resolveTeam() {
  const auto Identified = routing::identifyTeam(*Routes, *Query.Route,
                                                callerKey(Caller->request()));
  if (!Identified) {
    respondToKeyFault(Identified.error());
    return false;
  }
  Query.Team = Identified.value();
  const auto Regions = routing::allowedRegions(*Query.Route, Query.Team);
  if (Regions && Regions->empty()) {
    respondWithError(503, "no_allowed_region", NoRegionRetryAfter);
    return false;
  }
  return true;
}

void exchange::respondToKeyFault(routing::key_fault Fault) {
  if (Context.State.mayBeOutdated(base::boot_clock::now()))
    return respondWithError(503, "state_outdated", OutdatedRetryAfter);
  respondWithError(
      401, Fault == routing::key_fault::Missing ? "key_missing" : "key_unknown",
      std::nullopt);
}

/// Returns whether the configuration has changed since the request arrived, and
/// no longer says that its key is one of its team.
bool exchange::hasLostPermission() const {
  const auto &Current = Context.State.routes();
  if (Current == Routes || !Current->hasTeams())
    return false;
  // Keys were not needed when the request arrived.
  if (!Routes->hasTeams())
    return true;
  if (Query.Team == nullptr)
    return false;
  const auto Key = callerKey(Caller->request());
  const routing::team *Holder = Key ? Current->findTeam(*Key) : nullptr;
  return Holder == nullptr || Holder->Name != Query.Team->Name;
}

void exchange::refuseLostPermission() {
  if (hasRunningAttempt())
    return;
  if (MayHaveRun || TargetErrorResponse)
    return respondWithFailure();
  const auto Key = callerKey(Caller->request());
  const bool IsKnown = Key && Context.State.routes()->findTeam(*Key) != nullptr;
  if (Query.Team != nullptr && !IsKnown)
    return respondToKeyFault(routing::key_fault::Unknown);
  respondWithError(503, "team_changed", IdentifyAgainAfter);
}

net::http_request exchange::targetRequest(const base::target_id &Target,
                                          milliseconds TimeLeft) const {
  net::http_request Request =
      toTargetRequest(Caller->request(), Context.Headers, Target, TimeLeft);
  if (Routes->hasTeams())
    replaceCredentials(Request, Context.Headers.Team, Query.Team);
  return Request;
}

} // namespace skylarkdyke::gateway::detail
