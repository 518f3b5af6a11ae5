#include "skylarkdyke/quotas/token_limit.hpp"

#include <algorithm>
#include <xxhash.h>

namespace skylarkdyke::quotas {

using seconds = std::chrono::duration<double>;

/// Fraction of the slack that a pool may hand out at once after its start.
static constexpr double StartFraction = 0.25;
/// Number of starts within one window for which that fraction is kept back.
static constexpr double ReservedStarts = 2;

token_limit tokenLimitOf(const routing::request_quota &Quota,
                         const quota_bound &Bound) {
  const double Window = seconds(Bound.Window).count();
  const double GrantTime = Window + seconds(TokenLifetime).count();
  const double Allowed =
      (Quota.Rate * Window + Quota.Burst) * (1 + Bound.Overage) + Bound.Slack;
  token_limit Limit;
  Limit.Rate = std::min(Quota.Rate, Allowed / GrantTime);
  const double Spare = std::max(0.0, Allowed - Limit.Rate * GrantTime);
  Limit.StartTokens =
      std::min(StartFraction * Bound.Slack, Spare / (ReservedStarts + 1));
  Limit.Capacity = Spare - ReservedStarts * Limit.StartTokens;
  return Limit;
}

team_key teamKeyOf(const base::team_name &Name) {
  return static_cast<team_key>(
      XXH3_64bits(Name.str().data(), Name.str().size()));
}

} // namespace skylarkdyke::quotas
