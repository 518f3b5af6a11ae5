#include "skylarkdyke/quotas/token_client.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <xxhash.h>

namespace skylarkdyke::quotas {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using seconds = std::chrono::duration<double>;

/// Time over which the demand of a team is measured.
static constexpr milliseconds DemandTime{1000};
/// Time for whose demand an entry has tokens in hand; shorter than the lifetime
/// of tokens, so that few expire.
static constexpr milliseconds AdvanceTime{300};
/// Interval between renewals of the delegation.
static constexpr milliseconds RenewalPeriod{750};
/// Time for which a pool must have been preferred before a part is delegated to
/// it: entries that start prefer themselves until they know others.
static constexpr milliseconds PreferenceTime{750};
/// The same time while the former pool is live: the preferred pool changes
/// while the load of entries changes, and a new pool starts almost empty.
static constexpr milliseconds LivePoolMoveTime{5000};
/// Time for which a pool that has granted tokens is asked although it is not
/// the preferred one of its region.
static constexpr milliseconds GrantorTime{5000};
/// Maximum number of pools that are asked for a token.
static constexpr std::size_t MaxPoolsAsked = 6;
/// Time after which the next pool is asked while one is silent.
static constexpr milliseconds LocalTimeout{80};
static constexpr milliseconds RemoteTimeout{200};
/// Time in which a team is denied without asking after no pool had a token.
static constexpr milliseconds DenialTime{250};
/// Maximum number of requests of a team that wait for a token.
static constexpr unsigned MaxWaiting = 256;
static constexpr nanoseconds MinRetryAfter = milliseconds(250);
static constexpr nanoseconds MaxRetryAfter = std::chrono::seconds(5);
/// Amounts are sums of fractions.
static constexpr double Tolerance = 1e-6;

static double phaseOf(const base::endpoint &Entry) {
  const std::string Name = base::toString(Entry);
  return std::ldexp(
      static_cast<double>(XXH3_64bits(Name.data(), Name.size()) >> 11U), -53);
}

token_client::token_client(base::endpoint Own, std::uint32_t FirstSequence)
    : Own(std::move(Own)), Phase(phaseOf(this->Own)), Sequence(FirstSequence) {}

void token_client::setLimits(const token_limits &Limits) {
  for (auto It = Teams.begin(); It != Teams.end();)
    It = Limits.count(It->first) == 0 ? Teams.erase(It) : std::next(It);
  for (const auto &[Team, Limit] : Limits)
    Teams
        .try_emplace(
            Team, team_state{Limit,
                             admission::sliding_window_counter(DemandTime),
                             {},
                             0,
                             admission::sliding_window_counter(DemandTime),
                             admission::sliding_window_counter(DemandTime),
                             admission::sliding_window_counter(MaxRetryAfter)})
        .first->second.Limit = Limit;
}

double token_client::heldAmount(team_state &Team, base::boot_time Now) {
  while (!Team.Held.empty() && Team.Held.front().ExpiresAt <= Now)
    Team.Held.pop_front();
  double Amount = 0;
  for (const held_tokens &Held : Team.Held)
    Amount += Held.Amount;
  return Amount;
}

/// Returns the tokens that a team with many requests needs in advance, whole
/// ones only. A team beyond its quota gets none, because some expire unused.
double token_client::amountInAdvance(team_state &Team, base::boot_time Now) {
  if (Team.Denied.count(Now) > 0)
    return 0;
  const double Rate =
      static_cast<double>(Team.Demand.count(Now)) / seconds(DemandTime).count();
  const double Needed =
      Rate * seconds(AdvanceTime).count() - heldAmount(Team, Now);
  return Needed >= 1 ? std::floor(Needed) : 0;
}

void token_client::add(team_key Team, const held_tokens &Held) {
  const auto Found = Teams.find(Team);
  if (Found == Teams.end())
    return;
  auto &Queue = Found->second.Held;
  const auto Position =
      std::upper_bound(Queue.begin(), Queue.end(), Held,
                       [](const held_tokens &Left, const held_tokens &Right) {
                         return Left.ExpiresAt < Right.ExpiresAt;
                       });
  Queue.insert(Position, Held);
}

std::optional<token> token_client::take(team_key Team, base::boot_time Now) {
  team_state &State = Teams.at(Team);
  if (heldAmount(State, Now) < 1 - Tolerance)
    return std::nullopt;
  const token Token{Team, State.Held.front().ExpiresAt};
  for (double Needed = 1; Needed > Tolerance && !State.Held.empty();) {
    held_tokens &Held = State.Held.front();
    const double Used = std::min(Held.Amount, Needed);
    Held.Amount -= Used;
    Needed -= Used;
    if (Held.Amount <= Tolerance)
      State.Held.pop_front();
  }
  State.Used.add(Now);
  State.UsedLong.add(Now);
  return Token;
}

static double ratePerSecond(admission::sliding_window_counter &Counter,
                            nanoseconds Window, base::boot_time Now) {
  return static_cast<double>(Counter.count(Now)) / seconds(Window).count();
}

/// Returns the tokens per second that this entry may expect: what it has used
/// lately, as some entries get most requests of a team, and at least an equal
/// part. The others use the rest of the rate.
double token_client::ownRate(team_state &Team, base::boot_time Now) const {
  const double UsedRate =
      std::max(ratePerSecond(Team.Used, DemandTime, Now),
               ratePerSecond(Team.UsedLong, MaxRetryAfter, Now));
  const double EqualPart = Team.Limit.Rate / std::max(1U, View.EntryCount);
  return std::max(std::clamp(UsedRate, EqualPart, Team.Limit.Rate), Tolerance);
}

denial token_client::deny(team_state &Team, base::boot_time Now) const {
  const auto DeniedBefore = static_cast<double>(Team.Denied.count(Now));
  Team.Denied.add(Now);
  const seconds TokenTime((DeniedBefore + Phase) / ownRate(Team, Now));
  const seconds Limited = std::min<seconds>(TokenTime, MaxRetryAfter);
  return {std::max<nanoseconds>(
      std::chrono::duration_cast<nanoseconds>(Limited), MinRetryAfter)};
}

acquisition token_client::acquire(team_key Team, base::boot_time Now) {
  const auto Found = Teams.find(Team);
  // The quota came with a configuration that is not in force here yet.
  if (Found == Teams.end())
    return denial{MinRetryAfter};
  team_state &State = Found->second;
  State.Demand.add(Now);
  if (const auto Token = take(Team, Now))
    return *Token;
  if (Now < State.DeniedUntil || State.Waiting >= MaxWaiting)
    return deny(State, Now);
  ++State.Waiting;
  askFor(Team, Now);
  return resume(Team, Now);
}

acquisition token_client::resume(team_key Team, base::boot_time Now) {
  const auto Found = Teams.find(Team);
  if (Found == Teams.end())
    return denial{MinRetryAfter};
  team_state &State = Found->second;
  const auto EndWait = [&State] {
    // The quota may have been removed and added again meanwhile.
    State.Waiting -= std::min(State.Waiting, 1U);
  };
  if (const auto Token = take(Team, Now)) {
    EndWait();
    return *Token;
  }
  askFor(Team, Now);
  if (State.Asking)
    return pending_token{};
  EndWait();
  return deny(State, Now);
}

void token_client::giveBack(const token &Token, base::boot_time Now) {
  if (Now < Token.ExpiresAt)
    add(Token.Team, {1, Token.ExpiresAt});
}

void token_client::askFor(team_key Team, base::boot_time Now) {
  team_state &State = Teams.at(Team);
  if (!State.Asking && Now >= State.DeniedUntil)
    startSearch({{Team, State.Waiting + amountInAdvance(State, Now)}}, Now);
}

static bool contains(const std::vector<base::endpoint> &Endpoints,
                     const base::endpoint &Wanted) {
  return std::find(Endpoints.begin(), Endpoints.end(), Wanted) !=
         Endpoints.end();
}

/// Returns the pools to ask in turn: that to which this entry delegates its
/// part, the preferred one of its region, those that have granted tokens
/// lately, and the preferred one of each other region. The order of the latter
/// varies, so that none has to serve all.
std::vector<base::endpoint> token_client::poolsToAsk() const {
  std::vector<base::endpoint> Pools;
  const auto Add = [&Pools](const base::endpoint &Pool) {
    if (Pools.size() < MaxPoolsAsked && !contains(Pools, Pool))
      Pools.push_back(Pool);
  };
  if (DelegatedTo &&
      (isLocal(*DelegatedTo) || contains(View.Live, *DelegatedTo)))
    Add(*DelegatedTo);
  if (!View.Local.empty())
    Add(View.Local.front());
  for (const auto &[Pool, At] : GrantedAt)
    Add(Pool);
  for (std::size_t I = 0; I < View.Remote.size(); ++I) {
    const auto &Region = View.Remote[(Sequence + I) % View.Remote.size()];
    if (!Region.empty())
      Add(Region.front());
  }
  return Pools;
}

bool token_client::isLocal(const base::endpoint &Pool) const {
  return contains(View.Local, Pool);
}

token_request token_client::makeRequest(delegation_change Delegation) {
  return {Own, Sequence++, Delegation};
}

void token_client::startSearch(token_amounts Wanted, base::boot_time Now) {
  for (const auto &[Team, Amount] : Wanted)
    Teams.at(Team).Asking = true;
  pool_search Search{std::move(Wanted), poolsToAsk()};
  if (askNextPool(Search, Now))
    Searches.push_back(std::move(Search));
  else
    endSearch(Search, Now);
}

/// \return false if all pools were asked
bool token_client::askNextPool(pool_search &Search, base::boot_time Now) {
  if (Search.NextPool >= Search.Pools.size() || Search.Wanted.empty())
    return false;
  const base::endpoint Pool = Search.Pools[Search.NextPool++];
  token_request Request = makeRequest(delegation_change::None);
  Request.Wanted = Search.Wanted;
  Search.Sequence = Request.Sequence;
  Search.TimeoutAt = Now + (isLocal(Pool) ? LocalTimeout : RemoteTimeout);
  ExpiryOfRequests[Request.Sequence] = Now + TokenLifetime;
  Outgoing.push_back({Pool, std::move(Request)});
  return true;
}

/// Teams that are still wanted had no token anywhere.
void token_client::endSearch(const pool_search &Search, base::boot_time Now) {
  for (const auto &[Team, Amount] : Search.Wanted) {
    const auto Found = Teams.find(Team);
    if (Found == Teams.end())
      continue;
    Found->second.Asking = false;
    Found->second.DeniedUntil = Now + DenialTime;
  }
}

void token_client::handle(const token_grant &Grant, base::boot_time Now) {
  if (Withdrawals.count(Grant.Sequence) != 0) {
    Withdrawals.clear();
    DelegatedTo.reset();
    NextRenewalAt = Now;
  }
  const auto Expiry = ExpiryOfRequests.find(Grant.Sequence);
  if (Expiry == ExpiryOfRequests.end())
    return;
  for (const auto &[Team, Amount] : Grant.Granted)
    add(Team, {Amount, Expiry->second});
  ExpiryOfRequests.erase(Expiry);
  const auto Search = std::find_if(
      Searches.begin(), Searches.end(), [&](const pool_search &Candidate) {
        return Candidate.Sequence == Grant.Sequence;
      });
  if (Search == Searches.end())
    return;
  if (!Grant.Granted.empty())
    GrantedAt[Search->Pools[Search->NextPool - 1]] = Now;
  for (auto It = Search->Wanted.begin(); It != Search->Wanted.end();) {
    const auto Found = Teams.find(It->first);
    const bool IsSatisfied =
        Found == Teams.end() || heldAmount(Found->second, Now) >= 1 - Tolerance;
    if (IsSatisfied && Found != Teams.end())
      Found->second.Asking = false;
    It = IsSatisfied ? Search->Wanted.erase(It) : std::next(It);
  }
  if (askNextPool(*Search, Now))
    return;
  endSearch(*Search, Now);
  Searches.erase(Search);
}

void token_client::checkTimeouts(base::boot_time Now) {
  for (std::size_t I = 0; I < Searches.size();) {
    pool_search &Search = Searches[I];
    if (Now < Search.TimeoutAt || askNextPool(Search, Now)) {
      ++I;
      continue;
    }
    endSearch(Search, Now);
    Searches.erase(Searches.begin() + static_cast<std::ptrdiff_t>(I));
  }
}

std::optional<base::boot_time> token_client::nextTimeout() const {
  std::optional<base::boot_time> Next;
  for (const pool_search &Search : Searches)
    Next = Next ? std::min(*Next, Search.TimeoutAt) : Search.TimeoutAt;
  return Next;
}

/// \return whether the region has had the same preferred pool for a while
bool token_client::isPreferenceStable(base::boot_time Now) {
  if (!Preferred || !(*Preferred == View.Local.front())) {
    Preferred = View.Local.front();
    PreferredSince = Now;
  }
  return Now - PreferredSince >= PreferenceTime;
}

/// Returns whether another pool should get the part. A live pool keeps it until
/// another one has been preferred for long.
bool token_client::mustMove(bool IsStable, base::boot_time Now) const {
  if (!DelegatedTo || *DelegatedTo == *Preferred)
    return false;
  if (contains(View.Live, *DelegatedTo))
    return Now - PreferredSince >= LivePoolMoveTime;
  return IsStable || !isLocal(*DelegatedTo);
}

/// A part is delegated to another pool only once the former one has confirmed
/// that it does not use it any more, or its lease is over.
void token_client::updateDelegation(base::boot_time Now) {
  if (!View.MayDelegate || View.Local.empty())
    return;
  const bool IsStable = isPreferenceStable(Now);
  if (Teams.empty())
    return;
  if (mustMove(IsStable, Now)) {
    if (Now < DelegatedUntil) {
      token_request Request = makeRequest(delegation_change::Withdraw);
      Withdrawals.insert(Request.Sequence);
      Outgoing.push_back({*DelegatedTo, std::move(Request)});
      return;
    }
    DelegatedTo.reset();
    NextRenewalAt = Now;
  }
  Withdrawals.clear();
  if (Now < NextRenewalAt || (!DelegatedTo && !IsStable))
    return;
  if (!DelegatedTo)
    DelegatedTo = Preferred;
  NextRenewalAt = Now + RenewalPeriod;
  DelegatedUntil = Now + DelegationRetention;
  Outgoing.push_back({*DelegatedTo, makeRequest(delegation_change::Renew)});
}

void token_client::tick(const pool_view &NewView, base::boot_time Now) {
  View = NewView;
  for (auto It = ExpiryOfRequests.begin(); It != ExpiryOfRequests.end();)
    It = It->second <= Now ? ExpiryOfRequests.erase(It) : std::next(It);
  for (auto It = GrantedAt.begin(); It != GrantedAt.end();)
    It = Now - It->second > GrantorTime ? GrantedAt.erase(It) : std::next(It);
  checkTimeouts(Now);
  updateDelegation(Now);
  token_amounts Wanted;
  for (auto &[Team, State] : Teams) {
    if (State.Asking || Now < State.DeniedUntil ||
        Wanted.size() >= MaxTeamsPerMessage)
      continue;
    if (const double Amount = amountInAdvance(State, Now); Amount >= 1)
      Wanted[Team] = Amount;
  }
  if (!Wanted.empty())
    startSearch(std::move(Wanted), Now);
}

std::vector<outgoing_request> token_client::takeOutgoing() {
  return std::exchange(Outgoing, {});
}

} // namespace skylarkdyke::quotas
