#ifndef SKYLARKDYKE_QUOTAS_TOKEN_POOL_HPP
#define SKYLARKDYKE_QUOTAS_TOKEN_POOL_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/quotas/messages.hpp"

#include <chrono>
#include <optional>

namespace skylarkdyke::quotas {

/// Time for which a pool has the part that was delegated to it.
inline constexpr std::chrono::milliseconds DelegationLease{2000};
/// Time without an update after which a pool counts as having been paused: it
/// may have missed messages, and hands out nothing.
inline constexpr std::chrono::milliseconds MaxUpdateDelay{700};
/// Time after its start or after a pause in which a pool accepts no
/// delegations: it does not know all entries, or reads old messages.
inline constexpr std::chrono::milliseconds DiscoveryTime{1000};

/// \brief How a region divides the quotas.
struct region_division {
  /// Entries of the region that may have a part: live ones, and silent ones
  /// whose part stays reserved.
  unsigned Holders = 1;
  /// Regions, each of which has an equal part.
  unsigned Regions = 1;
};

/// \brief Hands out the tokens of the parts that entries have delegated to it.
///
/// Each region has an equal part of all quotas, and each entry that may be
/// running there an equal part of that. An entry delegates its part to one pool
/// at a time, so that the pools of all regions together never exceed the
/// quotas, whoever reaches whom.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class token_pool {
public:
  /// \brief Replaces the buckets; keeps the tokens of teams that stay.
  void setLimits(const token_limits &Limits, base::boot_time Now);

  /// \brief Recomputes the share of this pool. To be called regularly.
  void update(const region_division &Division, base::boot_time Now);

  /// \brief Handles a request.
  /// \return the response, or nothing if none is due
  std::optional<token_grant> handle(const token_request &Request,
                                    base::boot_time Now);

  /// \return fraction of all quotas that this pool hands out
  double share() const { return Share; }

private:
  struct bucket {
    token_limit Limit;
    double Tokens = 0;
    base::boot_time RefilledAt{};
  };
  struct delegation {
    std::uint32_t Sequence = 0;
    base::boot_time ValidUntil{};
    /// False once it was withdrawn; kept so that a late renewal does not count.
    bool Active = false;
  };

  void recordDelegation(const token_request &Request, base::boot_time Now);
  void setShare(double NewShare, base::boot_time Now);
  void refill(bucket &Bucket, base::boot_time Now) const;
  double take(team_key Team, double Wanted, base::boot_time Now);
  bool wasPaused(base::boot_time Now) const;

  std::map<team_key, bucket> Buckets;
  /// By mesh address of the entry that delegates.
  std::map<base::endpoint, delegation> Delegations;
  region_division Division;
  double Share = 0;
  /// Greatest share so far; start tokens are due once for each part of it.
  double GreatestShare = 0;
  base::boot_time UpdatedAt{};
  base::boot_time AcceptsDelegationsAt{};
};

} // namespace skylarkdyke::quotas

#endif
