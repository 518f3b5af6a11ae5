#ifndef SKYLARKDYKE_QUOTAS_TOKEN_LIMIT_HPP
#define SKYLARKDYKE_QUOTAS_TOKEN_LIMIT_HPP

#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/routing/team.hpp"

#include <chrono>
#include <cstdint>
#include <map>

/// \brief Quotas of teams, which hold for all entries together.
///
/// Each request of a team with a quota needs a token. Pools at the relays of
/// each region hand tokens out; the entries of the region delegate their parts
/// of all quotas to them.
namespace skylarkdyke::quotas {

/// Time for which an entry may use a token, from its request for it.
inline constexpr std::chrono::milliseconds TokenLifetime{500};

/// \brief By how much the requests of a team that run may exceed its quota.
struct quota_bound {
  /// Length of the windows in which requests are counted.
  std::chrono::milliseconds Window{5000};
  /// Fraction of the quota that is tolerated in addition to it.
  double Overage = 0.1;
  /// Requests in a window that are tolerated in addition, whatever the quota.
  double Slack = 20;
};

/// \brief Token bucket of a team, for all pools together.
struct token_limit {
  /// Tokens per second.
  double Rate = 0;
  /// Maximum number of tokens that the pools hold.
  double Capacity = 0;
  /// Tokens that the pools have at their start. They must not exceed the bound
  /// together with what was used before a restart.
  double StartTokens = 0;

  friend bool operator==(const token_limit &Left, const token_limit &Right) {
    return Left.Rate == Right.Rate && Left.Capacity == Right.Capacity &&
           Left.StartTokens == Right.StartTokens;
  }
};

/// \brief Returns the bucket that keeps a quota within its bound.
///
/// A window of length W sees at most the tokens that were handed out in W plus
/// their lifetime, so that the capacity is what the bound leaves beside the
/// rate in that time. A part of it is kept back for two restarts of all pools.
token_limit tokenLimitOf(const routing::request_quota &Quota,
                         const quota_bound &Bound);

/// Identifies a team in messages between entries.
using team_key = std::uint32_t;

/// \return hash of the team's name. Teams with the same hash share the tokens
/// of one of them.
team_key teamKeyOf(const base::team_name &Name);

/// Buckets by team.
using token_limits = std::map<team_key, token_limit>;
/// Numbers of tokens by team; an entry may collect fractions.
using token_amounts = std::map<team_key, double>;

} // namespace skylarkdyke::quotas

#endif
