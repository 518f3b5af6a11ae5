#include "gateway/detail/mesh_link.hpp"
#include "support/free_port.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  Configuration.Version = std::stoull(Document);
  return Configuration;
}

namespace {

/// The mesh side of one entry.
struct mesh_entry {
  mesh_entry(boost::asio::io_context &Loop, net::response_memory &Memory)
      : Link(
            Loop, Memory, State, Members, Address, 1000,
            [this] { return status(); }, [] {}) {}

  membership::entry_status status() const {
    membership::entry_status Status;
    Status.Name = base::toString(Address);
    Status.Domain = base::domain_name("z");
    Status.MeshAddress = Address;
    Status.FrontAddress = Address;
    Status.Ready = State.isComplete();
    Status.ChangeVersion = State.changeVersion();
    Status.ConfigurationVersion = State.version();
    return Status;
  }

  void publish(const char *Version, std::uint64_t Revision) {
    routing::target Target;
    Target.Id = base::target_id("t");
    Target.Domain = base::domain_name("z");
    State.apply(routing::configuration_published{Version}, {0, Revision});
    State.apply(routing::target_published{Target}, {0, Revision});
    State.confirmVersion({0, Revision});
  }

  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  placement::target_registry TargetRegistry{
      {{base::domain_name("z"), base::region_name("r")}}};
  gateway::detail::steering_state State{TargetRegistry, decode, 2s,
                                        [] { return base::boot_clock::now(); }};
  membership::member_table Members{
      Address,
      base::region_name("r"),
      {{base::domain_name("z"), base::region_name("r")}}};
  gateway::detail::mesh_link Link;
};

} // namespace

TEST_GROUP(gateway_fetch) {
  boost::asio::io_context Loop;
  net::response_memory Memory{1U << 28U};
  std::unique_ptr<mesh_entry> Entry;
  std::unique_ptr<mesh_entry> Relay;
  /// Accepts connections in the kernel, and never answers: a paused process.
  std::unique_ptr<tcp::acceptor> Silent;

  void setup() override {
    for (auto *Created : {&Entry, &Relay}) {
      *Created = std::make_unique<mesh_entry>(Loop, Memory);
      CHECK((*Created)->Link.start());
    }
    Entry->publish("1", 5);
    Relay->publish("1", 5);
    Silent = std::make_unique<tcp::acceptor>(Loop, tcp::endpoint(tcp::v4(), 0));
  }
  void teardown() override {
    for (auto *Created : {&Entry, &Relay})
      (*Created)->Link.stop();
    Loop.restart();
    Loop.poll();
  }

  /// Runs the maintenance of the entry until it has a version.
  bool reaches(std::uint64_t Version, std::chrono::milliseconds Within) {
    const auto End = base::boot_clock::now() + Within;
    while (Entry->State.version() < Version && base::boot_clock::now() < End) {
      Entry->Link.tick(base::boot_clock::now());
      Loop.restart();
      Loop.run_for(50ms);
    }
    return Entry->State.version() >= Version;
  }

  void hear(membership::entry_status Status) {
    Status.NextHeartbeatIn = 5s;
    Entry->Members.recordHeartbeat(Status, base::boot_clock::now());
  }
};

// Guards against an entry that waits for a silent one until the time limit of
// a fetch, while another one could tell it of the change.
TEST(gateway_fetch, AsksASecondEntryWhileTheFirstIsSilent) {
  Relay->publish("2", 7);
  auto Paused = Relay->status();
  Paused.MeshAddress.Port = Silent->local_endpoint().port();
  Paused.ChangeVersion = {0, 8};
  hear(Paused);
  hear(Relay->status());
  CHECK(reaches(2, 1250ms));
}

// Guards against a wait for a datagram with a configuration that is too large
// for one.
TEST(gateway_fetch, AConfigurationOfTheOwnFailureDomainIsFetchedAtOnce) {
  Relay->Members.recordHeartbeat(Entry->status(), base::boot_clock::now());
  Relay->publish("2", 7);
  Relay->Link.broadcastHeartbeat(base::boot_clock::now());
  Loop.restart();
  Loop.run_for(200ms);
  LONGS_EQUAL(2, Entry->State.version());
}

// Guards against an entry that asks out-of-date sources because a fetch whose
// changes had arrived in a datagram counts as a failure.
TEST(gateway_fetch, ChangesThatArriveTwiceAreNoFailure) {
  Relay->publish("2", 7);
  hear(Relay->status());
  Entry->Link.tick(base::boot_clock::now());
  std::this_thread::sleep_for(450ms);
  Entry->Link.tick(base::boot_clock::now());
  CHECK(Entry->State.adoptState(Relay->State.encodeStateAfter({0, 5})));
  Loop.restart();
  Loop.run_for(100ms);
  Relay->publish("3", 9);
  auto Stale = Relay->status();
  Stale.MeshAddress.Port = Silent->local_endpoint().port();
  Stale.ChangeVersion = {0, 8};
  for (int Host = 2; Host < 9; ++Host) {
    Stale.MeshAddress.Address = "127.0.0." + std::to_string(Host);
    hear(Stale);
  }
  hear(Relay->status());
  CHECK(reaches(3, 650ms));
}
