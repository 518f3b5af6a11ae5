#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/instances/instance_poller.hpp"
#include "support/store_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::eventually;
using test_support::in;

TEST_GROUP(platform_instances) {
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::unique_ptr<emulators::store_emulator> Emulator =
      std::make_unique<emulators::store_emulator>(
          emulators::store_options{Address, {}, 100ms, 1});

  void setup() override { CHECK_TRUE(Emulator->start()); }

  void put(const char *Target, const char *Body) const {
    http::request Request;
    Request.Method = "PUT";
    Request.Target = Target;
    Request.Body = Body;
    const auto Response = http::fetch(Address, Request, {in(2s), 1024, -1});
    CHECK_TRUE(Response.has_value());
    CHECK_EQUAL(200, Response.value().Status);
  }
};

// Guards against an emulated list without the lag of a real platform, a leaving
// tag that is ignored, a list that is lost in an outage, and a stop that blocks
// while the platform does not respond.
TEST(platform_instances, KeepsTheLastListOfALaggingPlatform) {
  instances::instance_poller Poller(Address, {}, 10ms);
  Poller.start();
  const auto RegisteredAt = base::boot_clock::now();
  put("/v1/agent/service/register",
      R"({"ID":"e1","Name":"skylarkdyke","Address":"127.0.0.1","Port":7001})");
  put("/v1/agent/service/register",
      R"({"ID":"e2","Name":"skylarkdyke","Address":"127.0.0.1","Port":7002,)"
      R"("Tags":["leaving"]})");
  put("/v1/agent/service/register",
      R"({"ID":"x","Name":"other","Address":"127.0.0.1","Port":7003})");
  const auto InstanceCount = [&] {
    return Poller.latest()->List.Instances.size();
  };
  CHECK_TRUE(eventually([&] { return Poller.latest() != nullptr; }));
  CHECK_TRUE(eventually([&] { return InstanceCount() == 2; }));
  CHECK_TRUE(base::boot_clock::now() - RegisteredAt >= 100ms);
  const auto &Instances = Poller.latest()->List.Instances;
  CHECK_EQUAL(7001, Instances[0].Address.Port);
  CHECK_FALSE(Instances[0].IsLeaving);
  CHECK_TRUE(Instances[1].IsLeaving);
  put("/v1/agent/service/deregister/e1", "");
  CHECK_TRUE(eventually([&] { return InstanceCount() == 1; }));
  emulators::store_faults Faults;
  Faults.Outage = emulators::store_outage::Hang;
  Emulator->setFaults(Faults);
  std::this_thread::sleep_for(50ms);
  const auto Start = base::boot_clock::now();
  Poller.stop();
  CHECK_TRUE(base::boot_clock::now() - Start < 1s);
  CHECK_EQUAL(1u, InstanceCount());
}

// Guards against one malformed item that hides all others, and against
// accepting a response that is not a list.
TEST(platform_instances, SkipsMalformedItems) {
  const auto List =
      std::get<instances::instance_list>(instances::parseInstances(
          R"([7, {"Service":{"ID":"a","Address":"nowhere","Port":1}},
          {"Service":{"ID":"b","Address":"127.0.0.1","Port":70000}},
          {"Node":{"Address":"127.0.0.2"},"Service":{"ID":"c","Port":9},
           "Checks":[{"Status":"critical"}]}])"));
  CHECK_EQUAL(3u, List.Malformed);
  CHECK_EQUAL(1u, List.Instances.size());
  STRCMP_EQUAL("127.0.0.2", List.Instances[0].Address.Address.c_str());
  CHECK_TRUE(List.Instances[0].IsLeaving);
  CHECK_TRUE(std::holds_alternative<instances::unavailable>(
      instances::parseInstances("{}")));
}
