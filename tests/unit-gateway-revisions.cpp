#include "gateway/detail/steering_state.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::steering_state;

static const base::domain_name Domain("z");

static routing::target_published record(bool Draining) {
  routing::target Target;
  Target.Id = base::target_id("a");
  Target.Service = base::service_name("s");
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = Domain;
  Target.Draining = Draining;
  return {Target};
}

/// Decodes a test document, which consists of its version number only.
static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  Configuration.Version = std::stoull(Document);
  return Configuration;
}

namespace {

/// State of one entry with its targets.
struct entry_state {
  bool acceptsRequests() const {
    const auto *Found = Targets.find(base::target_id("a"));
    return Found != nullptr && Targets.acceptsRequests(*Found, Now);
  }

  base::boot_time Now{1h};
  placement::target_registry Targets{{{Domain, base::region_name("r")}}};
  steering_state State{Targets, decode, 2s, [this] { return Now; }};
};

} // namespace

TEST_GROUP(gateway_revisions) {
  entry_state Own;
  entry_state Other;
};

// Guards against a slow response of the store that brings back what a newer
// state of another entry has replaced.
TEST(gateway_revisions, ALateEventDoesNotReplaceANewerState) {
  for (entry_state *Entry : {&Own, &Other}) {
    Entry->State.apply(routing::configuration_published{"7"}, {0, 8});
    Entry->State.apply(record(false), {0, 9});
    Entry->State.confirmVersion({0, 9});
  }
  Other.State.apply(record(true), {0, 12});
  Other.State.confirmVersion({0, 12});
  CHECK(Own.State.adoptState(Other.State.encodeStateAfter({0, 9})));
  Own.State.apply(record(false), {0, 10});
  CHECK(!Own.acceptsRequests());
}

// Guards against entries that are not told of what a listing of the store no
// longer holds, because no item of it has a newer revision.
TEST(gateway_revisions, ARemovalFoundByAListingIsAChange) {
  Own.State.apply(record(false), {0, 9});
  Own.State.confirmVersion({0, 9});
  Own.State.replaceAll({}, 8, {0, 12});
  LONGS_EQUAL(12, Own.State.changeVersion().Revision);
  Own.State.apply(routing::evacuation_started{Domain}, {0, 13});
  Own.State.replaceAll({}, 8, {0, 15});
  LONGS_EQUAL(15, Own.State.changeVersion().Revision);
}

// Guards against entries that fetch a state although nothing has changed.
TEST(gateway_revisions, AListingWithoutChangesIsNoChange) {
  Own.State.apply(record(false), {0, 9});
  Own.State.confirmVersion({0, 9});
  Own.State.replaceAll({record(false)}, 9, {0, 12});
  LONGS_EQUAL(9, Own.State.changeVersion().Revision);
}
