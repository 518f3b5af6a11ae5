#include "gateway/detail/mesh_link.hpp"
#include "support/free_port.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

/// Time within which an entry has asked another one and has its response.
static constexpr std::chrono::milliseconds FetchLimit{2000};
static const base::domain_name Domain("z");

/// Versions of the store before and after it returns from a copy.
static const base::store_version Known{1, 384};
static const base::store_version Restored{2, 320};

static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  Configuration.Version = std::stoull(Document);
  return Configuration;
}

static routing::target_published record(const char *Id, bool Draining = false) {
  routing::target Target;
  Target.Id = base::target_id(Id);
  Target.Domain = Domain;
  Target.Draining = Draining;
  return {Target};
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
    Status.Domain = Domain;
    Status.MeshAddress = Address;
    Status.FrontAddress = Address;
    Status.Ready = State.isComplete();
    Status.ChangeVersion = State.changeVersion();
    Status.ConfigurationVersion = State.version();
    return Status;
  }

  void list(const std::vector<routing::store_change> &Items,
            const base::store_version &AsOf) {
    State.replaceAll(Items, AsOf.Revision, AsOf);
  }
  void apply(const routing::store_change &Change,
             const base::store_version &Version) {
    State.apply(Change, Version);
    State.confirmVersion(Version);
  }
  bool acceptsRequests(const char *Id) const {
    const auto *Found = TargetRegistry.find(base::target_id(Id));
    return Found != nullptr &&
           TargetRegistry.acceptsRequests(*Found, base::boot_clock::now());
  }

  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  placement::target_registry TargetRegistry{{{Domain, base::region_name("r")}}};
  gateway::detail::steering_state State{TargetRegistry, decode, 2s,
                                        [] { return base::boot_clock::now(); }};
  membership::member_table Members{
      Address, base::region_name("r"), {{Domain, base::region_name("r")}}};
  gateway::detail::mesh_link Link;
};

} // namespace

TEST_GROUP(gateway_restored_mesh) {
  boost::asio::io_context Loop;
  net::response_memory Memory{1U << 28U};
  std::unique_ptr<mesh_entry> Entry;
  std::unique_ptr<mesh_entry> Relay;

  void setup() override {
    for (auto *Created : {&Entry, &Relay}) {
      *Created = std::make_unique<mesh_entry>(Loop, Memory);
      CHECK((*Created)->Link.start());
    }
  }
  void teardown() override {
    for (auto *Created : {&Entry, &Relay})
      (*Created)->Link.stop();
    Loop.restart();
    Loop.poll();
  }

  /// Both entries know the same state of the first era.
  void listBeforeTheReturn() {
    for (auto *Created : {&Entry, &Relay})
      (*Created)->list({configuration("7"), record("a")}, Known);
  }

  static routing::configuration_published configuration(const char *Version) {
    return {Version};
  }

  /// Runs the maintenance of the entry, which hears the relay, until a
  /// condition holds.
  bool reaches(const std::function<bool()> &Condition) {
    const auto End = base::boot_clock::now() + FetchLimit;
    while (!Condition() && base::boot_clock::now() < End) {
      auto Status = Relay->status();
      Status.NextHeartbeatIn = 5s;
      Entry->Members.recordHeartbeat(Status, base::boot_clock::now());
      Entry->Link.tick(base::boot_clock::now());
      Loop.restart();
      Loop.run_for(50ms);
    }
    return Condition();
  }
};

// Guards against an entry that does not ask for the state of a new era, because
// its revision is below the one that it has.
TEST(gateway_restored_mesh, AStateOfANewerEraIsFetched) {
  listBeforeTheReturn();
  Relay->list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(reaches([this] { return Entry->acceptsRequests("b"); }));
  CHECK(Entry->State.confirmedVersion() == Restored);
}

// Guards against an entry that takes changes of the new era for changes after
// its own version.
TEST(gateway_restored_mesh, AStateOfANewerEraIsFetchedWhole) {
  listBeforeTheReturn();
  Relay->list({configuration("7"), record("a"), record("b")}, {2, 380});
  Relay->apply(record("c"), {2, 390});
  CHECK(reaches([this] { return Entry->acceptsRequests("c"); }));
  CHECK(Entry->acceptsRequests("b"));
}

// Guards against the loss of an acknowledged configuration that only an entry
// of the old era has.
TEST(gateway_restored_mesh, ANewerConfigurationOfAnEarlierEraIsFetched) {
  listBeforeTheReturn();
  Relay->apply(configuration("9"), {1, 390});
  Relay->apply(record("b"), {1, 391});
  Entry->list({configuration("5"), record("a")}, Restored);
  CHECK(reaches([this] { return Entry->State.version() == 9; }));
  CHECK(Entry->State.confirmedVersion() == Restored);
  CHECK(!Entry->acceptsRequests("b"));
}

// Guards against a configuration that stays with one entry because no change
// of the new era contains it.
TEST(gateway_restored_mesh, AConfigurationIsFetchedAtAnEqualVersion) {
  listBeforeTheReturn();
  Relay->apply(configuration("9"), {1, 390});
  for (auto *Created : {&Entry, &Relay})
    (*Created)->list({configuration("5"), record("a")}, Restored);
  CHECK(reaches([this] { return Entry->State.version() == 9; }));
}

// Guards against a complete state that was encoded before its sender heard of a
// newer configuration.
TEST(gateway_restored_mesh, ASecondConfigurationIsFetchedAtAnEqualVersion) {
  listBeforeTheReturn();
  for (auto *Created : {&Entry, &Relay})
    (*Created)->list({configuration("5"), record("a")}, Restored);
  for (const char *Version : {"9", "11"}) {
    Relay->State.applyEarly(configuration(Version));
    CHECK(reaches(
        [&] { return Entry->State.version() == std::stoull(Version); }));
  }
}

// Guards against a new entry that sends requests to a target whose leaving was
// acknowledged, because its listing shows a copy.
TEST(gateway_restored_mesh, AnEntryThatListedTheStoreItselfAsksAnotherOne) {
  // The relay has seen each change, so that its state rests on no listing.
  Relay->apply(configuration("7"), {1, 380});
  Relay->apply(record("a"), {1, 381});
  Relay->apply(record("b"), {1, 382});
  Relay->apply(record("b", true), {1, 390});
  for (auto *Created : {&Relay, &Entry})
    (*Created)->list({configuration("7"), record("a"), record("b")}, Restored);
  CHECK(Entry->acceptsRequests("b"));
  CHECK(reaches([this] { return !Entry->acceptsRequests("b"); }));
  CHECK(Entry->acceptsRequests("a"));
  CHECK(!Entry->State.needsPeerState());
}
