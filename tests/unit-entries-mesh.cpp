#include "skylarkdyke/entries/codec.hpp"
#include "skylarkdyke/entries/mesh.hpp"
#include "support/mesh_group.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace skylarkdyke;
using namespace skylarkdyke::entries;
using namespace std::chrono_literals;
using test_support::eventually;
using test_support::meshSettings;
using test_support::reachableMembers;

TEST_GROUP(entries_mesh) {
  std::vector<mesh_settings> Settings;
  std::vector<std::unique_ptr<mesh>> Meshes;

  // Each mesh has the first one as its seed and discovers the others.
  void prepare(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Settings.push_back(meshSettings("entry-" + std::to_string(Index)));
      Settings.back().Seeds = {Settings.front().Self.PeerAddress};
      Meshes.push_back(std::make_unique<mesh>(Settings.back()));
    }
  }

  void startAll() {
    for (const auto &Mesh : Meshes)
      CHECK_TRUE(Mesh->start());
    for (const auto &Mesh : Meshes)
      CHECK_TRUE(eventually(
          [&] { return reachableMembers(*Mesh) == Meshes.size() - 1; }));
  }

  base::incarnation_id idOf(std::size_t Index) const {
    return Settings[Index].Self.Incarnation;
  }

  hello helloOf(const char *Name) const {
    return {meshSettings(Name).Self, std::nullopt};
  }
};

// Guards against members that do not discover each other through a common seed.
TEST(entries_mesh, MembersThatShareOneSeedFormAFullMesh) {
  prepare(6);
  startAll();
  for (const auto &Mesh : Meshes) {
    CHECK_EQUAL(5U, Mesh->members().size());
    CHECK_TRUE(eventually([&] { return Mesh->untriedAddresses() == 0; }));
    CHECK_EQUAL(0U, Mesh->counters().Refused);
    CHECK_EQUAL(0U, Mesh->counters().Malformed);
  }
}

// Guards against losing both connections when two members dial each other: each
// side would close the one that the other side keeps.
TEST(entries_mesh, MembersThatDialEachOtherAtOnceKeepOneConnection) {
  prepare(2);
  Settings[0].Seeds = {Settings[1].Self.PeerAddress};
  Meshes[0] = std::make_unique<mesh>(Settings[0]);
  startAll();
  std::this_thread::sleep_for(300ms);
  CHECK_EQUAL(2U, Meshes[0]->counters().Dials + Meshes[1]->counters().Dials);
  CHECK_EQUAL(1U, reachableMembers(*Meshes[0]));
  CHECK_EQUAL(1U, reachableMembers(*Meshes[1]));
}

// Guards against stopped members that stay reachable, and against confusing a
// restarted member with its earlier incarnation.
TEST(entries_mesh, AStoppedMemberIsUnreachableAndReturnsAsANewIncarnation) {
  prepare(3);
  startAll();
  const base::incarnation_id Old = idOf(2);
  Meshes[2]->stop();
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 1; }));
  CHECK_EQUAL(2U, Meshes[0]->members().size());
  Meshes[0]->send(Old, config_request{1});
  CHECK_TRUE(eventually([&] { return Meshes[0]->counters().Dropped == 1; }));
  Settings[2].Self.Incarnation = base::generateIncarnation();
  Meshes[2] = std::make_unique<mesh>(Settings[2]);
  CHECK_TRUE(Meshes[2]->start());
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 2; }));
  for (const member &Member : Meshes[0]->members())
    CHECK_TRUE(Member.Incarnation != Old);
}

// Guards against an unresponsive member that stays reachable because its
// connection is open, and whose connection is never closed.
TEST(entries_mesh, AMemberWithoutHeartbeatsIsUnreachableAndThenRemoved) {
  prepare(1);
  Settings[0].IdleTimeout = 1500ms;
  Settings[0].ForgetAfter = 2000ms;
  Meshes[0] = std::make_unique<mesh>(Settings[0]);
  startAll();
  const test_support::raw_peer Unresponsive(Settings[0].Self.PeerAddress);
  Unresponsive.sendMessage(helloOf("frozen"));
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 1; }));
  const auto Start = base::boot_clock::now();
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 0; }));
  CHECK_TRUE(base::boot_clock::now() - Start > 800ms);
  CHECK_EQUAL(1U, Meshes[0]->members().size());
  CHECK_TRUE(Unresponsive.isClosedByPeer());
  CHECK_TRUE(eventually([&] { return Meshes[0]->members().empty(); }));
}

// Guards against peers that keep a sealed incarnation of a member that has
// generated a new one.
TEST(entries_mesh, AChangedIncarnationReplacesTheOldOneWithoutReconnecting) {
  prepare(2);
  startAll();
  const auto Dials = Meshes[0]->counters().Dials + Meshes[1]->counters().Dials;
  member Self = Settings[1].Self;
  Self.Incarnation = base::generateIncarnation();
  Self.Leaving = true;
  Meshes[1]->setSelf(Self);
  CHECK_TRUE(eventually([&] {
    const auto Members = Meshes[0]->members();
    return Members.size() == 1 && Members[0].Incarnation == Self.Incarnation &&
           Members[0].Leaving && Members[0].Reachable;
  }));
  CHECK_EQUAL(Dials, Meshes[0]->counters().Dials + Meshes[1]->counters().Dials);
}

// Guards against a connection that takes over the incarnation of a live member.
TEST(entries_mesh, AWrongOrRepeatedIncarnationIsRefused) {
  prepare(2);
  startAll();
  hello Own = helloOf("own");
  Own.Self.Incarnation = idOf(0);
  hello Repeated{Settings[1].Self, std::nullopt};
  hello Stolen = helloOf("thief");
  Stolen.Self.Incarnation = idOf(1);
  for (const hello &Hello : {Own, Repeated, Stolen}) {
    const test_support::raw_peer Peer(Settings[0].Self.PeerAddress);
    Peer.sendMessage(Hello);
    CHECK_TRUE(Peer.isClosedByPeer());
  }
  CHECK_TRUE(reachableMembers(*Meshes[0]) == 1);
  STRCMP_EQUAL("entry-1", Meshes[0]->members()[0].Name.str().c_str());
}

// Guards against malformed and oversized frames that reach a handler or are
// buffered, and against closing a connection for an unknown message type.
TEST(entries_mesh, MalformedAndOversizedFramesAreRefusedAndCounted) {
  prepare(1);
  startAll();
  const auto ExpectRefused = [&](auto Send) {
    const test_support::raw_peer Peer(Settings[0].Self.PeerAddress);
    Peer.sendMessage(helloOf("peer"));
    Send(Peer);
    CHECK_TRUE(Peer.isClosedByPeer());
  };
  ExpectRefused([](const auto &Peer) {
    // {"type": "gossip", "format": 1}
    Peer.sendFrame("\xa2\x64type\x66gossip\x66"
                   "format\x01");
    Peer.sendFrame("not CBOR");
  });
  ExpectRefused([](const auto &Peer) { Peer.sendHead(MaxMessageBytes + 1); });
  const test_support::raw_peer Silent(Settings[0].Self.PeerAddress);
  const test_support::raw_peer Early(Settings[0].Self.PeerAddress);
  Early.sendMessage(config_request{1});
  const test_support::raw_peer BigHello(Settings[0].Self.PeerAddress);
  BigHello.sendHead(5000);
  for (const auto *Peer : {&Silent, &Early, &BigHello})
    CHECK_TRUE(Peer->isClosedByPeer());
  const mesh_counters Counters = Meshes[0]->counters();
  CHECK_EQUAL(1U, Counters.Malformed);
  CHECK_EQUAL(1U, Counters.UnknownType);
  CHECK_EQUAL(2U, Counters.Oversized);
  CHECK_EQUAL(2U, Counters.Refused);
}

// Guards against an unbounded number of connections.
TEST(entries_mesh, ConnectionsOverTheLimitAreRefused) {
  prepare(1);
  Settings[0].MaxAccepted = 2;
  Settings[0].HelloTimeout = 10s;
  Meshes[0] = std::make_unique<mesh>(Settings[0]);
  startAll();
  const test_support::raw_peer First(Settings[0].Self.PeerAddress);
  const test_support::raw_peer Second(Settings[0].Self.PeerAddress);
  const test_support::raw_peer Third(Settings[0].Self.PeerAddress);
  CHECK_TRUE(Third.isClosedByPeer());
  CHECK_EQUAL(1U, Meshes[0]->counters().OverLimit);
}

// Guards against unbounded memory use for messages to a peer that does not
// read.
TEST(entries_mesh, ASlowReaderIsDisconnected) {
  prepare(1);
  Settings[0].MaxBufferedBytes = 2'000'000;
  Meshes[0] = std::make_unique<mesh>(Settings[0]);
  startAll();
  const test_support::raw_peer Slow(Settings[0].Self.PeerAddress);
  const hello Hello = helloOf("slow");
  Slow.sendMessage(Hello);
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 1; }));
  const config_document Large{1, std::string(1'000'000, 'x')};
  for (int Count = 0; Count < 20; ++Count) {
    Meshes[0]->send(Hello.Self.Incarnation, Large);
    std::this_thread::sleep_for(1ms);
  }
  CHECK_TRUE(eventually([&] { return Meshes[0]->counters().TooSlow == 1; }));
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 0; }));
  CHECK_TRUE(Meshes[0]->counters().Dropped > 0);
}

// Guards against a request that waits past its deadline, a late or duplicate
// reply that completes another request, and a wait on a lost connection.
TEST(entries_mesh, RequestsEndWithTheirReplyOrAtTheDeadline) {
  prepare(2);
  std::atomic<int> ReplyCount{1};
  std::atomic<std::uint64_t> LastRequestId{0};
  Meshes[1]->onMessage<seal_request>(
      [&](const member &From, const seal_request &Request) {
        LastRequestId = Request.RequestId;
        for (int Index = 0; Index < ReplyCount; ++Index)
          Meshes[1]->send(
              From.Incarnation,
              seal_reply{Request.RequestId, once::seal_result::Recorded});
      });
  startAll();
  const seal_request Request{0, idOf(0), idOf(1), "key", {}};
  const auto SendRequest = [&] {
    return Meshes[0]->request(idOf(1), Request,
                              base::boot_clock::now() + 200ms);
  };
  const auto Reply = SendRequest();
  CHECK_TRUE(Reply.has_value());
  CHECK_TRUE(std::get<seal_reply>(*Reply).Result ==
             once::seal_result::Recorded);
  ReplyCount = 0;
  const auto Start = base::boot_clock::now();
  CHECK_FALSE(SendRequest().has_value());
  CHECK_TRUE(base::boot_clock::now() - Start >= 200ms);
  Meshes[1]->send(idOf(0),
                  seal_reply{LastRequestId, once::seal_result::Recorded});
  CHECK_TRUE(
      eventually([&] { return Meshes[0]->counters().LateReplies == 1; }));
  ReplyCount = 2;
  CHECK_TRUE(SendRequest().has_value());
  CHECK_TRUE(
      eventually([&] { return Meshes[0]->counters().LateReplies == 2; }));
  Meshes[1]->stop();
  CHECK_TRUE(eventually([&] { return reachableMembers(*Meshes[0]) == 0; }));
  const auto Lost = base::boot_clock::now();
  CHECK_FALSE(Meshes[0]->request(idOf(1), Request, Lost + 10s).has_value());
  CHECK_TRUE(base::boot_clock::now() - Lost < 5s);
}
