#include "skylarkdyke/quotas/token_pool.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkdyke::quotas {

void token_pool::setLimits(const token_limits &Limits, base::boot_time Now) {
  for (auto It = Buckets.begin(); It != Buckets.end();)
    It = Limits.count(It->first) == 0 ? Buckets.erase(It) : std::next(It);
  for (const auto &[Team, Limit] : Limits) {
    const auto [It, IsNew] = Buckets.try_emplace(Team);
    bucket &Bucket = It->second;
    if (IsNew)
      Bucket = {Limit, Limit.StartTokens * Share, Now};
    refill(Bucket, Now);
    Bucket.Limit = Limit;
    refill(Bucket, Now);
  }
}

bool token_pool::wasPaused(base::boot_time Now) const {
  return Now - UpdatedAt > MaxUpdateDelay;
}

void token_pool::update(const region_division &NewDivision,
                        base::boot_time Now) {
  Division = NewDivision;
  if (wasPaused(Now)) {
    Delegations.clear();
    AcceptsDelegationsAt = Now + DiscoveryTime;
  }
  UpdatedAt = Now;
  unsigned Active = 0;
  for (auto It = Delegations.begin(); It != Delegations.end();) {
    if (Now > It->second.ValidUntil) {
      It = Delegations.erase(It);
      continue;
    }
    Active += It->second.Active ? 1 : 0;
    ++It;
  }
  const unsigned Holders = std::max({1U, Division.Holders, Active});
  const unsigned Regions = std::max(1U, Division.Regions);
  setShare(static_cast<double>(Active) / Holders / Regions, Now);
}

/// The time since the last refill counts at the lesser share.
void token_pool::setShare(double NewShare, base::boot_time Now) {
  const double FirstShare = std::max(0.0, NewShare - GreatestShare);
  Share = std::min(Share, NewShare);
  for (auto &[Team, Bucket] : Buckets)
    refill(Bucket, Now);
  Share = NewShare;
  GreatestShare = std::max(GreatestShare, NewShare);
  for (auto &[Team, Bucket] : Buckets) {
    Bucket.Tokens += Bucket.Limit.StartTokens * FirstShare;
    refill(Bucket, Now);
  }
}

void token_pool::refill(bucket &Bucket, base::boot_time Now) const {
  const std::chrono::duration<double> Elapsed = Now - Bucket.RefilledAt;
  Bucket.RefilledAt = Now;
  Bucket.Tokens =
      std::min(Bucket.Tokens + Bucket.Limit.Rate * Share * Elapsed.count(),
               Bucket.Limit.Capacity * Share);
}

void token_pool::recordDelegation(const token_request &Request,
                                  base::boot_time Now) {
  if (Request.Delegation == delegation_change::None || wasPaused(Now) ||
      Now < AcceptsDelegationsAt)
    return;
  delegation &Delegation = Delegations[Request.From];
  if (Request.Sequence < Delegation.Sequence && !Delegation.Active)
    return;
  const bool Renews = Request.Delegation == delegation_change::Renew;
  Delegation = {Request.Sequence, Now + DelegationLease, Renews};
  if (!Renews)
    update(Division, Now);
}

/// Only pools that can never have a whole token hand out fractions: those of
/// several pools may make up one.
double token_pool::take(team_key Team, double Wanted, base::boot_time Now) {
  const auto Found = Buckets.find(Team);
  if (Found == Buckets.end())
    return 0;
  bucket &Bucket = Found->second;
  refill(Bucket, Now);
  double Taken = std::max(0.0, std::min(Wanted, Bucket.Tokens));
  if (Bucket.Limit.Capacity * Share >= 1)
    Taken = std::floor(Taken);
  Bucket.Tokens -= Taken;
  return Taken;
}

std::optional<token_grant> token_pool::handle(const token_request &Request,
                                              base::boot_time Now) {
  recordDelegation(Request, Now);
  if (Request.Wanted.empty() &&
      Request.Delegation != delegation_change::Withdraw)
    return std::nullopt;
  token_grant Grant{Request.Sequence};
  if (wasPaused(Now))
    return Grant;
  for (const auto &[Team, Wanted] : Request.Wanted)
    if (const double Taken = take(Team, Wanted, Now); Taken > 0)
      Grant.Granted[Team] = Taken;
  return Grant;
}

} // namespace skylarkdyke::quotas
