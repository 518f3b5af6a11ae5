#include "gateway/detail/quota_service.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::quota_service;

static const base::endpoint Own{"10.0.0.2", 8649};
static const base::endpoint Relay{"10.0.0.1", 8649};
static const base::domain_name Domain("d");
static const base::region_name Region("r");

static std::shared_ptr<const routing::route_table>
routesWith(std::optional<std::vector<routing::team>> Teams) {
  routing::configuration Configuration;
  Configuration.Teams = std::move(Teams);
  return std::make_shared<const routing::route_table>(std::move(Configuration));
}

static membership::entry_status statusOf(const base::endpoint &Mesh) {
  membership::entry_status Status;
  Status.Domain = Domain;
  Status.MeshAddress = Mesh;
  Status.Ready = true;
  Status.Capacity = Mesh == Relay ? 200 : 100;
  return Status;
}

static routing::team teamWith(const std::string &Name,
                              std::optional<routing::request_quota> Quota) {
  routing::team Team;
  Team.Name = base::team_name(Name);
  Team.Quota = Quota;
  return Team;
}

TEST_GROUP(gateway_quotas) {
  boost::asio::io_context Loop;
  membership::member_table Members{Own, Region, {{Domain, Region}}};
  metrics::registry Metrics;
  quota_service Service{
      Loop, Members, Metrics, {Own, Region, {{Domain, Region}}, {}}, 1};
  std::size_t Sent = 0;

  void setup() override {
    Service.setSender(
        [this](const base::endpoint &, const std::string &) { ++Sent; });
    const auto Now = base::boot_clock::now();
    Members.recordHeartbeat(statusOf(Relay), Now);
    Members.updateRelays(statusOf(Own), Now);
  }

  void run(const std::shared_ptr<const routing::route_table> &Routes) {
    const auto Start = base::boot_clock::now();
    for (auto Time = Start; Time <= Start + 3s; Time += 250ms)
      Service.tick(Routes, Time);
  }
};

// Guards against messages of deployments that have no teams, or none with a
// quota.
TEST(gateway_quotas, NothingIsSentWithoutQuotas) {
  run(routesWith(std::nullopt));
  run(routesWith(std::vector{teamWith("a", std::nullopt)}));
  LONGS_EQUAL(0, Sent);
  run(routesWith(std::vector{teamWith("a", routing::request_quota{1, 0})}));
  CHECK_TRUE(Sent > 0);
}

// Guards against labels without bound, and against requests that get no result
// when their quota ends while they wait.
TEST(gateway_quotas, EachRequestGetsAResult) {
  std::vector<routing::team> Teams;
  Teams.reserve(150);
  for (int I = 0; I < 150; ++I)
    Teams.push_back(
        teamWith("team" + std::to_string(I), routing::request_quota{1, 0}));
  run(routesWith(Teams));
  std::size_t Denied = 0;
  for (const routing::team &Team : Teams)
    Service.acquire(Team, [&](const quota_service::result &Result) {
      Denied += std::holds_alternative<quotas::denial>(Result) ? 1 : 0;
    });
  LONGS_EQUAL(0, Denied);
  run(routesWith(std::nullopt));
  LONGS_EQUAL(150, Denied);
  const std::string Text = Metrics.render();
  CHECK_TRUE(Text.find("{team=\"other\"} 50") != std::string::npos);
}
