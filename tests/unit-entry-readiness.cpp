#include "entry/detail/readiness.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using entry::detail::isBehindPeers;

static entries::member peer(std::uint64_t Version, bool Reachable = true) {
  entries::member Member;
  Member.ConfigVersion = Version;
  Member.Reachable = Reachable;
  return Member;
}

TEST_GROUP(entry_readiness){};

// Guards against an entry that is ready with a stale read of the store while
// the newer version of a peer is on its way.
TEST(entry_readiness, ANewerVersionOfAConnectedPeerIsWaitedFor) {
  CHECK(isBehindPeers({peer(2)}, 1));
  CHECK(isBehindPeers({peer(1), peer(2)}, 1));
  CHECK(!isBehindPeers({peer(2)}, 2));
  CHECK(!isBehindPeers({peer(1)}, 2));
}

// Guards against an entry that waits for a peer that has left.
TEST(entry_readiness, AnUnreachablePeerIsNotWaitedFor) {
  CHECK(!isBehindPeers({peer(1), peer(3, false)}, 1));
  CHECK(!isBehindPeers({}, 1));
}
