#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/entries/config_exchange.hpp"
#include "skylarkdyke/entries/crash_exchange.hpp"
#include "skylarkdyke/entries/loan_exchange.hpp"
#include "skylarkdyke/entries/witness_service.hpp"
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

namespace {

config::document documentOf(std::uint64_t Version) {
  config::document Document;
  Document.Version = Version;
  Document.SubmissionId = "s-" + std::to_string(Version);
  Document.EntrySeats = 2;
  Document.Regions.push_back({base::region_name("mazowsze"), 1000, {}});
  return Document;
}

std::uint64_t versionOf(const config::document_holder &Config) {
  return Config.current() ? Config.current()->Version : 0;
}

/// A mesh with all its exchanges. The destructor stops the mesh before the
/// exchanges are destroyed.
struct node {
  explicit node(mesh_settings BaseSettings, const std::string &Domain)
      : Settings(withDomain(std::move(BaseSettings), Domain)),
        Ledger(Settings.Self.Incarnation), Mesh(Settings),
        Configs(Mesh, Config), Witness(Mesh, 100), Loans(Mesh, Ledger),
        Crashes(Mesh, [this](const poison::crash_report &) { ++Reports; }) {}
  ~node() { Mesh.stop(); }

  static mesh_settings withDomain(mesh_settings BaseSettings,
                                  const std::string &Domain) {
    BaseSettings.Self.Domain = base::domain_name(Domain);
    return BaseSettings;
  }

  mesh_settings Settings;
  config::document_holder Config;
  guarded_ledger Ledger;
  std::atomic<int> Reports{0};
  mesh Mesh;
  config_exchange Configs;
  witness_service Witness;
  loan_exchange Loans;
  crash_exchange Crashes;
};

once::idempotency_key keyOf(const node &Owner, const node &Witness,
                            const std::string &CallerPart) {
  const once::key_prefix Prefix{Owner.Settings.Self.Incarnation,
                                std::chrono::floor<std::chrono::seconds>(
                                    std::chrono::system_clock::now() + 60s),
                                Witness.Settings.Self.Incarnation};
  return *once::parseKey(once::toString(Prefix) + "." + CallerPart);
}

} // namespace

TEST_GROUP(entries_exchanges) {
  std::vector<std::unique_ptr<node>> Nodes;

  node &add() {
    mesh_settings Settings =
        meshSettings("entry-" + std::to_string(Nodes.size()));
    if (!Nodes.empty())
      Settings.Seeds = {Nodes.front()->Settings.Self.PeerAddress};
    Nodes.push_back(std::make_unique<node>(
        Settings, Nodes.size() % 2 == 0 ? "maz-a" : "maz-b"));
    CHECK_TRUE(Nodes.back()->Mesh.start());
    for (const auto &Node : Nodes)
      CHECK_TRUE(eventually(
          [&] { return reachableMembers(Node->Mesh) == Nodes.size() - 1; }));
    return *Nodes.back();
  }

  base::boot_time soon() const { return base::boot_clock::now() + 2s; }
};

// Guards against an entry that has no document because it starts while the
// store is down, and against an older document that replaces a newer one.
TEST(entries_exchanges, PeersReceiveNewerDocumentsAndKeepNewerOnes) {
  node &First = add();
  First.Config.install(documentOf(7));
  node &Second = add();
  CHECK_TRUE(eventually([&] { return versionOf(Second.Config) == 7; }));
  STRCMP_EQUAL("s-7", Second.Config.current()->SubmissionId.c_str());
  Second.Config.install(documentOf(9));
  node &Third = add();
  Third.Config.install(documentOf(3));
  for (const auto &Node : Nodes)
    CHECK_TRUE(eventually([&] { return versionOf(Node->Config) == 9; }));
  CHECK_TRUE(eventually([&] { return Third.Mesh.self().ConfigVersion == 9; }));
}

// Guards against a peer with an invalid document: it must not be requested in a
// loop, replace a document, or block the valid document of another peer.
TEST(entries_exchanges, InvalidDocumentsAreRefusedAndNotRequestedAgainAtOnce) {
  node &Good = add();
  mesh Bad([&] {
    mesh_settings Settings = meshSettings("bad");
    Settings.Seeds = {Good.Settings.Self.PeerAddress};
    Settings.Self.ConfigVersion = 50;
    return Settings;
  }());
  std::atomic<int> RequestsReceived{0};
  Bad.onMessage<config_request>([&](const member &From,
                                    const config_request &Request) {
    const bool IsBroken = ++RequestsReceived % 2 == 0;
    Bad.send(From.Incarnation,
             config_document{Request.Version,
                             IsBroken ? "{" : config::encode(documentOf(1))});
  });
  CHECK_TRUE(Bad.start());
  CHECK_TRUE(eventually([&] { return RequestsReceived == 1; }));
  Bad.send(Good.Settings.Self.Incarnation,
           config_document{60, config::encode(documentOf(60))});
  CHECK_TRUE(
      eventually([&] { return Good.Configs.counters().Unexpected == 1; }));
  std::this_thread::sleep_for(600ms);
  CHECK_EQUAL(1, RequestsReceived);
  CHECK_TRUE(eventually([&] { return Good.Configs.counters().Refused == 2; }));
  node &Other = add();
  Other.Config.install(documentOf(8));
  CHECK_TRUE(eventually([&] { return versionOf(Good.Config) == 8; }));
  Bad.stop();
}

// Guards against an intent that is acknowledged after the seal, or accepted
// from an entry other than the owner.
TEST(entries_exchanges, AWitnessRecordsIntentsAndSealsOwners) {
  node &Owner = add();
  node &Witness = add();
  node &Other = add();
  const auto Run = keyOf(Owner, Witness, "run");
  const auto Never = keyOf(Owner, Witness, "never");
  CHECK_TRUE(Owner.Witness.recordIntent(Run, soon()) ==
             once::record_result::Recorded);
  CHECK_TRUE(Other.Witness.recordIntent(Never, soon()) ==
             once::record_result::Refused);
  CHECK_TRUE(Other.Witness.sealOwner(Run, soon()) ==
             once::seal_result::Recorded);
  CHECK_TRUE(Witness.Witness.sealOwner(Never, soon()) ==
             once::seal_result::NeverRecorded);
  CHECK_TRUE(Owner.Witness.recordIntent(Never, soon()) ==
             once::record_result::Sealed);
  Witness.Mesh.updateSelf(
      [](member &Self) { Self.Incarnation = base::generateIncarnation(); });
  CHECK_TRUE(eventually(
      [&] { return !Other.Witness.sealOwner(Run, soon()).has_value(); }));
  Witness.Mesh.stop();
}

// Guards against a witness in the owner's failure domain, and against an
// unnecessary change of the witness: earlier keys would name the previous one.
TEST(entries_exchanges, TheWitnessIsInAnotherDomainAndStable) {
  const auto MemberOf = [](const char *Domain) {
    member Member = meshSettings(Domain).Self;
    Member.Domain = base::domain_name(Domain);
    Member.Reachable = true;
    return Member;
  };
  const member Self = MemberOf("maz-a");
  member InOtherRegion = MemberOf("pom-a");
  InOtherRegion.Region = base::region_name("pomorze");
  std::vector<member> Members{MemberOf("maz-a"), InOtherRegion};
  CHECK_FALSE(chooseWitness(Self, Members, {}).has_value());
  Members.push_back(MemberOf("maz-b"));
  const auto Chosen = Members.back().Incarnation;
  CHECK_TRUE(chooseWitness(Self, Members, {}) == Chosen);
  for (int Count = 0; Count < 20; ++Count)
    Members.push_back(MemberOf("maz-b"));
  CHECK_TRUE(chooseWitness(Self, Members, Chosen) == Chosen);
  Members[2].Leaving = true;
  CHECK_FALSE(chooseWitness(Self, Members, Chosen) == Chosen);
}

// Guards against unused share that is not lent to an entry with demand, and
// against using more than the cap in total.
TEST(entries_exchanges, UnusedShareIsLentToTheEntryWithDemand) {
  node &Holder = add();
  node &Borrower = add();
  for (const auto &Node : Nodes) {
    const std::lock_guard<std::mutex> Lock(Node->Ledger.Mutex);
    Node->Ledger.Ledger.configure(documentOf(1));
  }
  {
    const std::lock_guard<std::mutex> Lock(Holder.Ledger.Mutex);
    Holder.Ledger.Ledger.holdSeatUntil(base::boot_clock::now() + 1h);
  }
  const caps::demand OneRequest{caps::region_cap{base::region_name("mazowsze")},
                                1};
  int Taken = 0;
  CHECK_TRUE(eventually([&] {
    const std::lock_guard<std::mutex> Lock(Borrower.Ledger.Mutex);
    Taken +=
        Borrower.Ledger.Ledger.tryTake({OneRequest}, base::boot_clock::now());
    return Taken == 50;
  }));
  CHECK_TRUE(Holder.Loans.counters().GrantsSent > 0);
  CHECK_TRUE(Borrower.Loans.counters().GrantsAccepted > 0);
}

// Guards against a request that crashes further targets when it is retried at
// an entry that joined after the first crash, and against counting a crash
// twice.
TEST(entries_exchanges, CrashReportsReachPresentAndLaterMembersOnce) {
  node &First = add();
  node &Second = add();
  poison::crash_report Report;
  Report.ReportId = 5;
  Report.Service = base::service_name("stock-view");
  Report.Target = base::target_id("t-1");
  Report.At = std::chrono::system_clock::now();
  First.Crashes.report(Report);
  CHECK_TRUE(eventually([&] { return Second.Reports == 1; }));
  node &Third = add();
  CHECK_TRUE(eventually([&] { return Third.Reports == 1; }));
  std::this_thread::sleep_for(100ms);
  CHECK_EQUAL(0, First.Reports);
  CHECK_EQUAL(1, Second.Reports);
  CHECK_EQUAL(1, Third.Reports);
}
