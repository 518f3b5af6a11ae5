#include "support/quota_fleet.hpp"

#include "skylarkdyke/base/overloaded.hpp"

#include <algorithm>

namespace test_support {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

static constexpr auto SubStep = 10ms;
static const quotas::quota_bound Bound;

static double boundOf(const routing::request_quota &Quota) {
  const std::chrono::duration<double> Window = Bound.Window;
  return (Quota.Rate * Window.count() + Quota.Burst) * (1 + Bound.Overage) +
         Bound.Slack;
}

quota_fleet::quota_fleet(std::size_t Size, double LossRate, unsigned Seed)
    : fleet(Size, LossRate), Nodes(Size), Random(Seed), LossRate(LossRate) {
  for (std::size_t I = 0; I < Size; ++I) {
    IndexOf[Entries[I].Own.MeshAddress] = I;
    start(I);
  }
}

double quota_fleet::uniform() {
  return std::uniform_real_distribution<double>()(Random);
}

quotas::token_limits quota_fleet::limits() const {
  quotas::token_limits Limits;
  for (const auto &[Key, Team] : Teams)
    Limits[Key] = quotas::tokenLimitOf(Team.Quota, Bound);
  return Limits;
}

quotas::team_key quota_fleet::addTeam(const routing::request_quota &Quota,
                                      double Demand) {
  const auto Key = static_cast<quotas::team_key>(Teams.size() + 1);
  Teams[Key].Demand = Demand;
  setQuota(Key, Quota);
  return Key;
}

void quota_fleet::setQuota(quotas::team_key Team,
                           const routing::request_quota &Quota) {
  Teams[Team].Quota = Quota;
  Teams[Team].Bounds.emplace_back(Now, boundOf(Quota));
  for (node &Node : Nodes)
    if (Node.Client) {
      Node.Client->setLimits(limits());
      Node.Pool->setLimits(limits(), Now);
    }
}

void quota_fleet::kill(std::size_t Index) {
  Entries[Index].Alive = false;
  Nodes[Index] = {};
}

void quota_fleet::start(std::size_t Index) {
  restart(Index);
  const auto FirstSequence = static_cast<std::uint32_t>(Random());
  node &Node = Nodes[Index];
  Node = {};
  Node.Pool = std::make_unique<quotas::token_pool>();
  Node.Client = std::make_unique<quotas::token_client>(
      Entries[Index].Own.MeshAddress, FirstSequence);
  Node.Client->setLimits(limits());
  Node.Pool->setLimits(limits(), Now);
}

void quota_fleet::pause(std::size_t Index) {
  if (Nodes[Index].Client) {
    Nodes[Index].Paused = true;
    Entries[Index].Alive = false;
  }
}

void quota_fleet::resume(std::size_t Index) {
  if (Nodes[Index].Paused) {
    Nodes[Index].Paused = false;
    Entries[Index].Alive = true;
  }
}

void quota_fleet::separate(const std::vector<std::size_t> &Separated) {
  for (const std::size_t Index : Separated)
    for (std::size_t Other = 0; Other < Entries.size(); ++Other)
      if (std::count(Separated.begin(), Separated.end(), Other) == 0) {
        Cut.insert({Index, Other});
        Cut.insert({Other, Index});
      }
}

bool quota_fleet::isCut(std::size_t Index) const {
  return std::any_of(Cut.begin(), Cut.end(),
                     [Index](const auto &Pair) { return Pair.first == Index; });
}

void quota_fleet::runFor(milliseconds Duration) {
  for (const auto End = Now + Duration; Now < End;) {
    const auto Start = Now;
    step();
    for (auto Time = Start; Time < Now; Time += SubStep) {
      deliverTokens(Time);
      for (std::size_t I = 0; Time == Start && I < Nodes.size(); ++I)
        tickNode(I, Time);
      for (auto &[Key, Team] : Teams)
        arrive(Key, Team, Time);
      for (std::size_t I = 0; I < Nodes.size(); ++I)
        if (Nodes[I].Client && !Nodes[I].Paused &&
            Nodes[I].Client->nextTimeout().value_or(Now + 1h) <= Time) {
          Nodes[I].Client->checkTimeouts(Time);
          process(I, Time);
        }
    }
  }
}

void quota_fleet::tickNode(std::size_t Index, base::boot_time Time) {
  node &Node = Nodes[Index];
  if (!Node.Client || Node.Paused)
    return;
  const membership::member_table &Table = *Entries[Index].Table;
  const unsigned Holders =
      CountsHolders ? Table.holderCountOf(regionOf(Index), Time) : 1;
  Node.Pool->update({Holders, 3}, Time);
  quotas::pool_view View;
  View.MayDelegate = !Table.hasHeardNone(Time);
  View.EntryCount = 0;
  for (const char *Region : {"p", "q", "r"}) {
    View.EntryCount += Table.holderCountOf(base::region_name(Region), Time);
    const auto Relays = Table.relaysOf(base::region_name(Region));
    if (regionOf(Index).str() != Region)
      View.Remote.push_back(Relays);
    else
      View.Local = Relays;
  }
  for (const auto *Member : Table.liveMembers(Time))
    if (Member->Region == regionOf(Index))
      View.Live.push_back(Member->Status.MeshAddress);
  View.Live.push_back(Entries[Index].Own.MeshAddress);
  Node.Client->tick(View, Time);
  process(Index, Time);
}

void quota_fleet::arrive(quotas::team_key Key, fleet_team &Team,
                         base::boot_time Time) {
  const std::chrono::duration<double> Step = SubStep;
  std::poisson_distribution<unsigned> Arrivals(Team.Demand * Step.count());
  for (unsigned Left = Team.Demand > 0 ? Arrivals(Random) : 0; Left > 0;
       --Left) {
    const std::size_t Index =
        Team.Entries.empty() ? Random() % Nodes.size()
                             : Team.Entries[Random() % Team.Entries.size()];
    node &Node = Nodes[Index];
    if (!Node.Client || Node.Paused)
      continue;
    record(Index, Key, Node.Client->acquire(Key, Time), Time);
    process(Index, Time);
  }
}

void quota_fleet::record(std::size_t Index, quotas::team_key Key,
                         const quotas::acquisition &Result,
                         base::boot_time Time) {
  fleet_team &Team = Teams.at(Key);
  if (std::holds_alternative<quotas::pending_token>(Result)) {
    ++Nodes[Index].Waiting[Key];
    return;
  }
  const auto *Token = std::get_if<quotas::token>(&Result);
  if (Token == nullptr) {
    ++Team.RefusedCount;
    return;
  }
  if (uniform() < LaterRefused) {
    Nodes[Index].Client->giveBack(*Token, Time);
    return;
  }
  ++Team.AdmittedCount;
  Team.Admitted.push_back(Time);
  while (Time - Team.Admitted.front() > Bound.Window)
    Team.Admitted.pop_front();
  // A lower quota binds one window later.
  while (Team.Bounds.size() > 1 &&
         Time - Team.Bounds[1].first > Bound.Window + quotas::TokenLifetime)
    Team.Bounds.pop_front();
  double Greatest = 0;
  for (const auto &[Since, Allowed] : Team.Bounds)
    Greatest = std::max(Greatest, Allowed);
  Team.Excess = std::max(Team.Excess,
                         static_cast<double>(Team.Admitted.size()) - Greatest);
}

void quota_fleet::process(std::size_t Index, base::boot_time Time) {
  node &Node = Nodes[Index];
  for (;;) {
    const auto Outgoing = Node.Client->takeOutgoing();
    for (const auto &Request : Outgoing) {
      const std::size_t To = IndexOf.at(Request.To);
      if (To != Index) {
        sendToken(Index, To, Request.Request, Time);
        continue;
      }
      if (const auto Grant = Node.Pool->handle(Request.Request, Time))
        Node.Client->handle(*Grant, Time);
    }
    if (!resumeWaiting(Index, Time) && Outgoing.empty())
      return;
  }
}

bool quota_fleet::resumeWaiting(std::size_t Index, base::boot_time Time) {
  node &Node = Nodes[Index];
  for (auto &[Key, Count] : Node.Waiting) {
    if (Count == 0)
      continue;
    const auto Result = Node.Client->resume(Key, Time);
    if (std::holds_alternative<quotas::pending_token>(Result))
      continue;
    --Count;
    record(Index, Key, Result, Time);
    return true;
  }
  return false;
}

void quota_fleet::sendToken(std::size_t From, std::size_t To,
                            token_message Message, base::boot_time Time) {
  ++TokenMessages;
  TokenBytes += std::visit(
      [](const auto &Typed) { return membership::encode(Typed).size(); },
      Message);
  if (Cut.count({From, To}) != 0 || uniform() < LossRate)
    return;
  const auto Delay = regionOf(From) == regionOf(To) ? 2ms : 40ms;
  const auto Jitter =
      milliseconds(MaxDelay.count() > 0 ? Random() % MaxDelay.count() : 0);
  TokensInTransit.emplace(Time + Delay + Jitter,
                          token_datagram{From, To, std::move(Message)});
}

void quota_fleet::deliverTokens(base::boot_time Time) {
  std::vector<token_datagram> Due;
  std::vector<std::pair<base::boot_time, token_datagram>> Held;
  while (!TokensInTransit.empty() && TokensInTransit.begin()->first <= Time) {
    const auto First = TokensInTransit.begin();
    if (Nodes[First->second.To].Paused)
      Held.emplace_back(Time + SubStep, std::move(First->second));
    else
      Due.push_back(std::move(First->second));
    TokensInTransit.erase(First);
  }
  for (auto &Datagram : Held)
    TokensInTransit.insert(std::move(Datagram));
  for (const token_datagram &Datagram : Due)
    deliverToken(Datagram, Time);
}

void quota_fleet::deliverToken(const token_datagram &Datagram,
                               base::boot_time Time) {
  node &Node = Nodes[Datagram.To];
  if (!Node.Client)
    return;
  std::visit(base::overloaded{
                 [&](const quotas::token_request &Request) {
                   if (const auto Grant = Node.Pool->handle(Request, Time))
                     sendToken(Datagram.To, Datagram.From, *Grant, Time);
                 },
                 [&](const quotas::token_grant &Grant) {
                   Node.Client->handle(Grant, Time);
                   process(Datagram.To, Time);
                 }},
             Datagram.Message);
}

} // namespace test_support
