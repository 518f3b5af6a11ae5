#ifndef SKYLARKDYKE_QUOTAS_TOKEN_CLIENT_HPP
#define SKYLARKDYKE_QUOTAS_TOKEN_CLIENT_HPP

#include "skylarkdyke/admission/sliding_window_counter.hpp"
#include "skylarkdyke/quotas/messages.hpp"
#include "skylarkdyke/quotas/token_pool.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace skylarkdyke::quotas {

/// Time after the last renewal after which a pool that does not respond no
/// longer has a delegated part: its lease, and what a datagram and the pool's
/// updates may take.
inline constexpr std::chrono::milliseconds DelegationRetention{
    DelegationLease + 2 * MaxUpdateDelay};

/// \brief Permission for one request.
struct token {
  team_key Team = 0;
  /// Time after which it can no longer be used or given back.
  base::boot_time ExpiresAt{};
};
/// \brief No token could be had.
struct denial {
  /// Time after which one may be had.
  std::chrono::nanoseconds RetryAfter{};
};
/// \brief A request to a pool is under way.
struct pending_token {};
using acquisition = std::variant<token, denial, pending_token>;

/// \brief The pools that an entry may ask.
struct pool_view {
  /// Entries of the own region with a pool. All entries of the region prefer
  /// the first one.
  std::vector<base::endpoint> Local{};
  /// The same for each other region; these are asked last.
  std::vector<std::vector<base::endpoint>> Remote{};
  /// False while this entry may not know the others of its region yet.
  bool MayDelegate = true;
  /// Live entries of the own region. A part stays with a live pool although
  /// another one is preferred for a moment.
  std::vector<base::endpoint> Live{};
  /// Entries of all regions, this one included.
  unsigned EntryCount = 1;
};

/// \brief A request to send.
struct outgoing_request {
  base::endpoint To;
  token_request Request;
};

/// \brief Gets the tokens of the requests that arrive at one entry.
///
/// Teams with many requests have tokens in hand for the next moments. For the
/// others a pool is asked when a request arrives: first the one to which this
/// entry delegates its own part, then those of other regions. A team for which
/// none had a token is denied for a moment without asking.
///
/// Reads no clock and sends nothing itself: takeOutgoing() returns what to
/// send. Not thread-safe.
class token_client {
public:
  /// \param Own mesh address of this entry
  /// \param FirstSequence number of the first request; should differ between
  /// the starts of the process
  token_client(base::endpoint Own, std::uint32_t FirstSequence);

  /// \brief Replaces the quotas; forgets teams without one.
  void setLimits(const token_limits &Limits);

  /// \brief Renews the delegation and gets tokens in advance. To be called
  /// regularly, and at nextTimeout().
  void tick(const pool_view &View, base::boot_time Now);

  /// \brief Returns a token for a request of a team with a quota, or asks for
  /// one. The caller repeats pending requests with resume().
  acquisition acquire(team_key Team, base::boot_time Now);
  /// \brief Returns the result for a request that was pending.
  acquisition resume(team_key Team, base::boot_time Now);
  /// \brief Returns the token of a request that has not run.
  void giveBack(const token &Token, base::boot_time Now);

  /// \brief Records the response of a pool.
  void handle(const token_grant &Grant, base::boot_time Now);
  /// \brief Asks the next pool where one has not responded.
  void checkTimeouts(base::boot_time Now);

  /// \return requests that are to be sent
  std::vector<outgoing_request> takeOutgoing();
  /// \return earliest time at which a request to a pool times out
  std::optional<base::boot_time> nextTimeout() const;

private:
  struct held_tokens {
    double Amount = 0;
    base::boot_time ExpiresAt{};
  };
  struct team_state {
    token_limit Limit;
    admission::sliding_window_counter Demand;
    /// Ordered by expiry.
    std::deque<held_tokens> Held{};
    /// Requests that wait for a token.
    unsigned Waiting = 0;
    /// Requests denied lately; callers that return are spread over the time
    /// that their tokens take.
    admission::sliding_window_counter Denied;
    /// Tokens used lately, over a short and a long time.
    admission::sliding_window_counter Used;
    admission::sliding_window_counter UsedLong;
    bool Asking = false;
    base::boot_time DeniedUntil{};
  };
  /// Asks one pool after the other until each team has a token.
  struct pool_search {
    token_amounts Wanted;
    std::vector<base::endpoint> Pools;
    std::size_t NextPool = 0;
    std::uint32_t Sequence = 0;
    base::boot_time TimeoutAt{};
  };

  static double heldAmount(team_state &Team, base::boot_time Now);
  static double amountInAdvance(team_state &Team, base::boot_time Now);
  void add(team_key Team, const held_tokens &Held);
  std::optional<token> take(team_key Team, base::boot_time Now);
  double ownRate(team_state &Team, base::boot_time Now) const;
  denial deny(team_state &Team, base::boot_time Now) const;
  void askFor(team_key Team, base::boot_time Now);
  std::vector<base::endpoint> poolsToAsk() const;
  void startSearch(token_amounts Wanted, base::boot_time Now);
  bool askNextPool(pool_search &Search, base::boot_time Now);
  void endSearch(const pool_search &Search, base::boot_time Now);
  bool isPreferenceStable(base::boot_time Now);
  bool mustMove(bool IsStable, base::boot_time Now) const;
  void updateDelegation(base::boot_time Now);
  bool isLocal(const base::endpoint &Pool) const;
  token_request makeRequest(delegation_change Delegation);

  base::endpoint Own;
  /// Number from 0 to 1 that differs between entries, so that the first callers
  /// that each of them denies do not all return at the same time.
  double Phase;
  std::uint32_t Sequence;
  pool_view View;
  std::map<team_key, team_state> Teams;
  std::vector<pool_search> Searches;
  /// When tokens expire that a pool hands out, by the sequence of the request.
  std::map<std::uint32_t, base::boot_time> ExpiryOfRequests;
  std::vector<outgoing_request> Outgoing;
  /// When a pool has granted tokens last.
  std::map<base::endpoint, base::boot_time> GrantedAt;
  std::optional<base::endpoint> Preferred;
  base::boot_time PreferredSince{};
  std::optional<base::endpoint> DelegatedTo;
  base::boot_time DelegatedUntil{};
  base::boot_time NextRenewalAt{};
  /// Sequences of the withdrawals that have no response yet.
  std::set<std::uint32_t> Withdrawals;
};

} // namespace skylarkdyke::quotas

#endif
