#include "gateway/detail/quota_service.hpp"

#include "skylarkdyke/base/overloaded.hpp"
#include "skylarkdyke/membership/messages.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// Maximum number of teams that have a label of their own in the metrics.
static constexpr std::size_t MaxLabelledTeams = 100;

quota_service::quota_service(boost::asio::io_context &Loop,
                             const membership::member_table &Members,
                             metrics::registry &Metrics,
                             quota_settings InitialSettings,
                             std::uint32_t FirstSequence)
    : Members(Members), Metrics(Metrics), Settings(std::move(InitialSettings)),
      Client(Settings.Mesh, FirstSequence), Timer(Loop) {}

void quota_service::acquire(const routing::team &Team, callback Callback) {
  const quotas::team_key Key = quotas::teamKeyOf(Team.Name);
  std::visit(
      base::overloaded{
          [&](const quotas::pending_token &) {
            Waiting[Key].push_back({Team.Name, std::move(Callback)});
          },
          [&](const auto &Result) { finish(Team.Name, Callback, Result); }},
      Client.acquire(Key, base::boot_clock::now()));
  processAll();
}

void quota_service::giveBack(const quotas::token &Token) {
  Client.giveBack(Token, base::boot_clock::now());
}

void quota_service::onRequest(const quotas::token_request &Request) {
  const auto Grant = Pool.handle(Request, base::boot_clock::now());
  if (Grant)
    Send(Request.From, membership::encode(*Grant));
}

void quota_service::onGrant(const quotas::token_grant &Grant) {
  Client.handle(Grant, base::boot_clock::now());
  processAll();
}

void quota_service::installQuotas(const routing::route_table &Routes,
                                  base::boot_time Now) {
  quotas::token_limits Limits;
  if (Routes.teams())
    for (const routing::team &Team : *Routes.teams())
      if (Team.Quota)
        Limits[quotas::teamKeyOf(Team.Name)] =
            quotas::tokenLimitOf(*Team.Quota, Settings.Bound);
  HasQuotas = !Limits.empty();
  Pool.setLimits(Limits, Now);
  Client.setLimits(Limits);
}

std::set<base::region_name> quota_service::regions() const {
  std::set<base::region_name> Regions{Settings.Region};
  for (const auto &[Domain, Region] : Settings.RegionOf)
    Regions.insert(Region);
  return Regions;
}

/// All entries of a region prefer the same relay: in one pool the few tokens of
/// a small team make up whole ones.
quotas::pool_view quota_service::poolView(base::boot_time Now) const {
  quotas::pool_view View;
  View.MayDelegate = !Members.hasHeardNone(Now);
  View.Local = Members.relaysOf(Settings.Region);
  for (const auto *Member : Members.liveMembers(Now))
    if (Member->Region == Settings.Region)
      View.Live.push_back(Member->Status.MeshAddress);
  View.Live.push_back(Settings.Mesh);
  View.EntryCount = 0;
  for (const base::region_name &Region : regions()) {
    View.EntryCount += Members.holderCountOf(Region, Now);
    if (Region != Settings.Region)
      View.Remote.push_back(Members.relaysOf(Region));
  }
  return View;
}

quotas::region_division quota_service::division(base::boot_time Now) const {
  return {Members.holderCountOf(Settings.Region, Now),
          static_cast<unsigned>(regions().size())};
}

void quota_service::tick(
    const std::shared_ptr<const routing::route_table> &Routes,
    base::boot_time Now) {
  if (Routes != nullptr && Routes != InstalledRoutes) {
    InstalledRoutes = Routes;
    installQuotas(*Routes, Now);
  }
  Pool.update(division(Now), Now);
  // Also without quotas, so that an entry that starts already knows the pool
  // when the configuration arrives.
  Client.tick(poolView(Now), Now);
  processAll();
  if (!HasQuotas)
    return;
  Metrics
      .gauge("skylarkdyke_quota_pool_share",
             "Fraction of all quotas that this entry hands out")
      .set(Pool.share());
}

/// Sends what is due and answers requests that wait, until nothing changes: the
/// pool of this entry responds at once.
void quota_service::processAll() {
  while (sendOutgoing() || resumeWaiting()) {
  }
  if (const auto Timeout = Client.nextTimeout())
    Timer.set(*Timeout, [this] {
      Client.checkTimeouts(base::boot_clock::now());
      processAll();
    });
  else
    Timer.cancel();
}

/// \return false if there was nothing to send
bool quota_service::sendOutgoing() {
  const auto Outgoing = Client.takeOutgoing();
  for (const quotas::outgoing_request &Request : Outgoing) {
    if (!(Request.To == Settings.Mesh)) {
      Send(Request.To, membership::encode(Request.Request));
      continue;
    }
    const auto Now = base::boot_clock::now();
    if (const auto Grant = Pool.handle(Request.Request, Now))
      Client.handle(*Grant, Now);
  }
  return !Outgoing.empty();
}

/// \return false if no request was waiting or all wait on
bool quota_service::resumeWaiting() {
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    auto &[Key, Requests] = *It;
    const auto Acquisition = Client.resume(Key, base::boot_clock::now());
    if (std::holds_alternative<quotas::pending_token>(Acquisition)) {
      ++It;
      continue;
    }
    const waiting_request Request = std::move(Requests.front());
    Requests.pop_front();
    if (Requests.empty())
      Waiting.erase(It);
    // The callback may add requests.
    if (const auto *Token = std::get_if<quotas::token>(&Acquisition))
      finish(Request.Team, Request.Callback, *Token);
    else
      finish(Request.Team, Request.Callback,
             std::get<quotas::denial>(Acquisition));
    return true;
  }
  return false;
}

void quota_service::finish(const base::team_name &Team,
                           const callback &Callback, const result &Result) {
  if (std::holds_alternative<quotas::denial>(Result))
    countDenial(Team);
  Callback(Result);
}

/// The number of labels is bounded, because teams come and go.
void quota_service::countDenial(const base::team_name &Team) {
  if (LabelledTeams.size() < MaxLabelledTeams)
    LabelledTeams.insert(Team.str());
  const bool HasLabel = LabelledTeams.count(Team.str()) != 0;
  Metrics
      .counter("skylarkdyke_quota_refused_total",
               "Requests beyond the quota of their team, by team",
               {{"team", HasLabel ? Team.str() : "other"}})
      .add();
}

} // namespace skylarkdyke::gateway::detail
