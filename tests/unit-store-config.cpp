#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/store/config_store.hpp"
#include "skylarkdyke/store/config_watcher.hpp"
#include "support/sample_config.hpp"
#include "support/store_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using emulators::store_faults;
using emulators::store_outage;
using test_support::eventually;
using test_support::in;

TEST_GROUP(store_config) {
  std::unique_ptr<test_support::store_fixture> Store =
      std::make_unique<test_support::store_fixture>();
  std::unique_ptr<store::config_store> Config =
      std::make_unique<store::config_store>(Store->Client);
  config::document_holder Holder;
  std::unique_ptr<store::config_watcher> Watcher =
      std::make_unique<store::config_watcher>(Store->Client, Holder);
  config::document Document = test_support::sampleConfig();

  void teardown() override { Watcher->stop(); }

  store::submit_result submit(std::uint64_t Expected, const char *Operator,
                              std::chrono::milliseconds Time = 3s) {
    return Config->submit(Document, Expected, base::operator_name(Operator),
                          in(Time));
  }

  std::uint64_t versionInForce() const {
    const auto Current = Holder.current();
    return Current ? Current->Version : 0;
  }

  bool eventuallyInstalls(std::uint64_t Version) const {
    return eventually([&] { return versionInForce() == Version; });
  }

  void put(const std::string &Bytes) const {
    const auto Before = Store->Client.get(store::ConfigKey, in(2s));
    const auto *Value = std::get_if<store::value>(&Before);
    CHECK_TRUE(
        std::holds_alternative<store::written>(Store->Client.compareAndSwap(
            store::ConfigKey, Bytes, Value ? Value->ModifyIndex : 0, in(2s))));
  }
};

// Guards against reporting a failure or conflict when only the response to the
// write is lost: the submitter must find its own submission in the document.
TEST(store_config, FindsItsOwnSubmissionAfterALostResponse) {
  for (std::uint64_t Version = 0; Version < 3; ++Version) {
    store_faults Faults;
    Faults.LoseAnswers = 1;
    Store->fault(Faults);
    const auto Result = submit(Version, "ana");
    CHECK_TRUE(std::holds_alternative<store::accepted>(Result));
    CHECK_EQUAL(Version + 1, std::get<store::accepted>(Result).Version);
  }
}

// Guards against accepting two submissions for one version, and against a
// conflict that does not report which fields changed and who changed them.
TEST(store_config, AcceptsExactlyOneOfTwoRacingSubmissions) {
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(0, "ana")));
  for (std::uint64_t Version = 1; Version < 9; ++Version) {
    store_faults Faults;
    Faults.Delay = 5ms;
    Faults.LoseAnswerProbability = 0.3;
    Store->fault(Faults);
    config::document Changes[2] = {Document, Document};
    Changes[0].Regions[0].CapPerSecond = 2000 + Version;
    Changes[1].Regions[1].CapPerSecond = 3000 + Version;
    store::submit_result Results[2];
    std::thread Other([&] {
      Results[1] = Config->submit(Changes[1], Version,
                                  base::operator_name("bo"), in(3s));
    });
    Results[0] =
        Config->submit(Changes[0], Version, base::operator_name("ana"), in(3s));
    Other.join();
    const int Winner =
        std::holds_alternative<store::accepted>(Results[0]) ? 0 : 1;
    CHECK_TRUE(std::holds_alternative<store::accepted>(Results[Winner]));
    const auto *Conflict = std::get_if<store::conflict>(&Results[1 - Winner]);
    CHECK_TRUE(Conflict != nullptr);
    STRCMP_EQUAL(Winner == 0 ? "ana" : "bo",
                 Conflict->SubmittedBy.str().c_str());
    CHECK_EQUAL(Version + 1, Conflict->Version);
    CHECK_TRUE(Conflict->IsBaseKnown);
    bool ListsField = false;
    for (const config::field_change &Change : Conflict->Changes)
      ListsField |=
          Change.Path == (Winner == 0 ? "/regions/north/cap_per_second"
                                      : "/regions/south/cap_per_second");
    CHECK_TRUE(ListsField);
    Document = Changes[Winner];
  }
}

// Guards against storing an invalid document or a changed number of seats.
TEST(store_config, RefusesInvalidDocumentsWithFindings) {
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(0, "ana")));
  Document.EntrySeats = 9;
  Document.Regions[0].CapPerSecond = 0;
  const auto Result = submit(1, "ana");
  CHECK_EQUAL(2u, std::get<store::refused_document>(Result).Findings.size());
  const auto Loaded = Config->load(in(2s));
  CHECK_EQUAL(1u, std::get<config::document>(Loaded).Version);
}

// Guards against reporting an outage as a refusal or an unknown outcome, and
// against reporting a submission as failed while lost responses and stale reads
// hide whether it took effect.
TEST(store_config, DistinguishesUnavailableFromUnknown) {
  store_faults Faults;
  Faults.Outage = store_outage::Refuse;
  Store->fault(Faults);
  CHECK_TRUE(
      std::holds_alternative<store::unavailable>(submit(0, "ana", 300ms)));
  Store->fault({});
  Faults = {};
  Faults.LoseAnswerProbability = 1;
  Faults.StaleReads = 1000;
  Store->fault(Faults);
  CHECK_TRUE(std::holds_alternative<store::unknown_submission>(
      submit(0, "ana", 300ms)));
}

// Guards against installing an older document after a stale read, and against
// reporting a conflict to a submitter because of a stale read.
TEST(store_config, AStaleReadNeverInstallsAnOlderVersion) {
  Watcher->start();
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(0, "ana")));
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(1, "ana")));
  CHECK_TRUE(eventuallyInstalls(2));
  store_faults Faults;
  Faults.StaleReads = 4;
  Store->fault(Faults);
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(2, "ana")));
  CHECK_TRUE(eventuallyInstalls(3));
  CHECK_EQUAL(0u, Watcher->counts().Invalid);
}

// Guards against a watcher that does not resume after a store outage, and
// against a stop that blocks while the store does not respond.
TEST(store_config, ResumesTheWatchAfterAnOutage) {
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(0, "ana")));
  Watcher->start();
  CHECK_TRUE(eventuallyInstalls(1));
  store_faults Faults;
  Faults.Outage = store_outage::Refuse;
  Store->fault(Faults);
  CHECK_TRUE(eventually([&] { return Watcher->counts().Failed > 1; }));
  CHECK_EQUAL(1u, versionInForce());
  Store->fault({});
  CHECK_TRUE(std::holds_alternative<store::accepted>(submit(1, "ana")));
  CHECK_TRUE(eventuallyInstalls(2));
  Faults.Outage = store_outage::Hang;
  Store->fault(Faults);
  const auto Start = base::boot_clock::now();
  Watcher->stop();
  CHECK_TRUE(base::boot_clock::now() - Start < 1s);
}

// Guards against installing an invalid document, or a different document with
// the version in force.
TEST(store_config, InstallsOnlyValidNewDocuments) {
  Watcher->start();
  put(config::encode(Document));
  CHECK_TRUE(eventuallyInstalls(7));
  Document.Regions[0].CapPerSecond = 1;
  put(config::encode(Document));
  CHECK_TRUE(eventually([&] { return Watcher->counts().Conflicting == 1; }));
  Document.Version = 8;
  Document.Regions[0].CapPerSecond = 0;
  put(config::encode(Document));
  CHECK_TRUE(eventually([&] { return Watcher->counts().Invalid == 1; }));
  put("no JSON");
  CHECK_TRUE(eventually([&] { return Watcher->counts().Invalid == 2; }));
  CHECK_EQUAL(7u, versionInForce());
  CHECK_EQUAL(1000u, Holder.current()->Regions[0].CapPerSecond);
}
