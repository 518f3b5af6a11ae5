#include "skylarkdyke/emulators/deployment.hpp"
#include "skylarkdyke/emulators/fault_proxy.hpp"
#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/http/server.hpp"
#include "support/free_port.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

// The fault proxy is the ground on which the system tests stand: a fault that
// it does not inject would make them pass without proof.
TEST_GROUP(fault_proxy) {
  base::endpoint Upstream{"127.0.0.1", test_support::freePort()};
  base::endpoint Listen{"127.0.0.1", test_support::freePort()};
  std::unique_ptr<http::server> Server;
  std::unique_ptr<emulators::fault_proxy> Proxy;

  void setup() override {
    Server = std::make_unique<http::server>(
        Upstream, http::server_limits(), [](const http::server_request &) {
          http::response Response;
          Response.Body = std::string(2000, 'x');
          return Response;
        });
    CHECK_TRUE(Server->start());
    emulators::proxy_plan Plan;
    Plan.Addresses.push_back({"server", Listen, Upstream, "maz-b"});
    Plan.SourceDomains["127.0.0.1"] = "pom-a";
    Plan.Regions = {{"maz-b", "mazowsze"}, {"pom-a", "pomorze"}};
    Plan.RoundTrips[{"pom-a", "maz-b"}] = 30ms;
    Proxy = std::make_unique<emulators::fault_proxy>(Plan);
    CHECK_TRUE(Proxy->start());
  }

  base::result<http::response, http::exchange_error> ask() const {
    return http::fetch(Listen, http::request(),
                       {base::boot_clock::now() + 200ms, 4096, -1});
  }
};

TEST(fault_proxy, AddsTheRoundTripOfTheLink) {
  const auto Start = base::boot_clock::now();
  CHECK_TRUE(ask().has_value());
  CHECK_TRUE(base::boot_clock::now() - Start >= 30ms);
}

TEST(fault_proxy, CutBetweenRegionsPassesNothing) {
  Proxy->setFaults({{{"mazowsze", "pomorze"}}, {}});
  const auto Answer = ask();
  CHECK_FALSE(Answer.has_value());
  CHECK_TRUE(http::exchange_fault::DeadlinePassed == Answer.error().Fault);
}

TEST(fault_proxy, TruncatesAnswers) {
  emulators::fault_set Faults;
  Faults.Addresses["server"].TruncateAfterBytes = 500;
  Proxy->setFaults(Faults);
  const auto Answer = ask();
  CHECK_FALSE(Answer.has_value());
  CHECK_TRUE(http::exchange_fault::Truncated == Answer.error().Fault);
}

TEST(fault_proxy, ResetRefusesConnections) {
  emulators::fault_set Faults;
  Faults.Addresses["server"].Reset = true;
  Proxy->setFaults(Faults);
  CHECK_FALSE(ask().has_value());
}

TEST(fault_proxy, CountsBytesBetweenRegions) {
  CHECK_TRUE(ask().has_value());
  const auto Peaks = Proxy->peaks(false);
  CHECK_TRUE(Peaks.at({"mazowsze", "pomorze"}) > 2000);
  CHECK_TRUE(Peaks.at({"pomorze", "mazowsze"}) > 20);
}

TEST(fault_proxy, PlanSurvivesItsEncoding) {
  const auto Deployment = emulators::makeDeployment("mallas", {});
  CHECK_TRUE(Deployment.has_value());
  const std::string Text = emulators::encode(Deployment->Proxy);
  const auto Decoded = emulators::parseProxyPlan(Text);
  CHECK_TRUE(Decoded.has_value());
  STRCMP_EQUAL(Text.c_str(), emulators::encode(Decoded.value()).c_str());
}
