#ifndef SKYLARKDYKE_TESTS_SUPPORT_QUOTA_FLEET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_QUOTA_FLEET_HPP

#include "skylarkdyke/quotas/token_client.hpp"
#include "skylarkdyke/quotas/token_pool.hpp"
#include "support/entry_fleet.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace test_support {

/// One team of a quota_fleet, and what became of its requests.
struct fleet_team {
  routing::request_quota Quota;
  /// Requests per second, which arrive at random entries.
  double Demand = 0;
  /// Entries at which the requests arrive; empty means all.
  std::vector<std::size_t> Entries{};
  std::deque<base::boot_time> Admitted{};
  /// Greatest number of requests that a window may hold, of all quotas that
  /// were in force lately.
  std::deque<std::pair<base::boot_time, double>> Bounds{};
  unsigned AdmittedCount = 0;
  unsigned RefusedCount = 0;
  /// Greatest excess over the bound in any window.
  double Excess = -1e9;
};

/// Entries that divide quotas, with membership as in a fleet. Messages about
/// tokens take milliseconds.
class quota_fleet : public fleet {
public:
  quota_fleet(std::size_t Size, double LossRate, unsigned Seed);

  quotas::team_key addTeam(const routing::request_quota &Quota, double Demand);
  void setQuota(quotas::team_key Team, const routing::request_quota &Quota);
  void runFor(std::chrono::milliseconds Duration);

  void kill(std::size_t Index);
  void start(std::size_t Index);
  /// Stops an entry for a while; messages to it wait.
  void pause(std::size_t Index);
  void resume(std::size_t Index);
  /// Cuts entries off from all others, but not from each other.
  void separate(const std::vector<std::size_t> &Separated);
  bool isCut(std::size_t Index) const;

  std::map<quotas::team_key, fleet_team> Teams;
  /// Fraction of the requests that are refused after they have got a token.
  double LaterRefused = 0;
  /// False for a fault: pools do not count the entries that are silent.
  bool CountsHolders = true;
  std::size_t TokenMessages = 0;
  std::size_t TokenBytes = 0;

private:
  struct node {
    std::unique_ptr<quotas::token_pool> Pool;
    std::unique_ptr<quotas::token_client> Client;
    std::map<quotas::team_key, unsigned> Waiting;
    bool Paused = false;
  };
  using token_message =
      std::variant<quotas::token_request, quotas::token_grant>;
  struct token_datagram {
    std::size_t From;
    std::size_t To;
    token_message Message;
  };

  void tickNode(std::size_t Index, base::boot_time Time);
  void arrive(quotas::team_key Key, fleet_team &Team, base::boot_time Time);
  void process(std::size_t Index, base::boot_time Time);
  bool resumeWaiting(std::size_t Index, base::boot_time Time);
  void record(std::size_t Index, quotas::team_key Key,
              const quotas::acquisition &Result, base::boot_time Time);
  void sendToken(std::size_t From, std::size_t To, token_message Message,
                 base::boot_time Time);
  void deliverTokens(base::boot_time Time);
  void deliverToken(const token_datagram &Datagram, base::boot_time Time);
  quotas::token_limits limits() const;
  double uniform();

  std::vector<node> Nodes;
  std::map<base::endpoint, std::size_t> IndexOf;
  std::multimap<base::boot_time, token_datagram> TokensInTransit;
  std::minstd_rand Random;
  double LossRate;
};

} // namespace test_support

#endif
