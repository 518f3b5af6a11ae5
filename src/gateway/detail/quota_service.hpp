#ifndef SKYLARKDYKE_GATEWAY_DETAIL_QUOTA_SERVICE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_QUOTA_SERVICE_HPP

#include "skylarkdyke/membership/member_table.hpp"
#include "skylarkdyke/metrics/registry.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"
#include "skylarkdyke/quotas/token_client.hpp"
#include "skylarkdyke/quotas/token_pool.hpp"
#include "skylarkdyke/routing/route_table.hpp"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace skylarkdyke::gateway::detail {

/// \brief Where an entry is, and by how much quotas may be exceeded.
struct quota_settings {
  base::endpoint Mesh;
  base::region_name Region;
  /// Region of each failure domain.
  std::map<base::domain_name, base::region_name> RegionOf;
  quotas::quota_bound Bound;
};

/// \brief Keeps the requests of teams within their quotas, which hold for all
/// entries together: connects the pool and the client of this entry to the
/// other entries. Sends nothing while no team has a quota.
class quota_service {
public:
  /// A token, or why there is none.
  using result = std::variant<quotas::token, quotas::denial>;
  using callback = std::function<void(const result &Result)>;
  using sender =
      std::function<void(const base::endpoint &To, const std::string &Message)>;

  quota_service(boost::asio::io_context &Loop,
                const membership::member_table &Members,
                metrics::registry &Metrics, quota_settings Settings,
                std::uint32_t FirstSequence);
  quota_service(const quota_service &) = delete;
  quota_service &operator=(const quota_service &) = delete;

  void setSender(sender Sender) { Send = std::move(Sender); }

  /// \brief Gets a token for a request of a team with a quota. Calls back
  /// within this call if one is at hand or certainly none can be had.
  void acquire(const routing::team &Team, callback Callback);
  /// \brief Returns the token of a request that has not run.
  void giveBack(const quotas::token &Token);

  void onRequest(const quotas::token_request &Request);
  void onGrant(const quotas::token_grant &Grant);

  /// \brief Takes over the quotas of a configuration and the entries that are
  /// known. To be called regularly.
  void tick(const std::shared_ptr<const routing::route_table> &Routes,
            base::boot_time Now);

private:
  struct waiting_request {
    base::team_name Team;
    callback Callback;
  };

  void installQuotas(const routing::route_table &Routes, base::boot_time Now);
  quotas::pool_view poolView(base::boot_time Now) const;
  quotas::region_division division(base::boot_time Now) const;
  void processAll();
  bool sendOutgoing();
  bool resumeWaiting();
  void finish(const base::team_name &Team, const callback &Callback,
              const result &Result);
  void countDenial(const base::team_name &Team);
  std::set<base::region_name> regions() const;

  const membership::member_table &Members;
  metrics::registry &Metrics;
  quota_settings Settings;
  sender Send = [](const base::endpoint &, const std::string &) {};
  quotas::token_pool Pool;
  quotas::token_client Client;
  std::shared_ptr<const routing::route_table> InstalledRoutes;
  bool HasQuotas = false;
  /// In the order of their arrival.
  std::map<quotas::team_key, std::deque<waiting_request>> Waiting;
  /// Teams that have a label of their own in the metrics.
  std::set<std::string> LabelledTeams;
  net::one_shot_timer Timer;
};

} // namespace skylarkdyke::gateway::detail

#endif
