#include "operators/detail/change.hpp"
#include "operators/detail/status.hpp"
#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/steering/ramp.hpp"
#include "support/fake_admin_entry.hpp"

#include <fstream>
#include <sstream>
// Behind the others: it replaces new by a macro.

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using namespace operators::detail;
using config::drain_action;
using config::drain_scope;

TEST_GROUP(operators_status) {
  test_support::fake_admin_entry Entry;
  config::document Document = *Entry.Document;

  void install() {
    Entry.Document = std::make_shared<config::document>(Document);
  }

  std::vector<std::string> alarms() {
    std::vector<std::string> Names;
    for (const auto &Alarm : readStatus(Entry.functions()).Alarms)
      Names.push_back(Alarm.Name);
    return Names;
  }

  void expectAlarm(const char *Name) {
    const auto Names = alarms();
    CHECK_EQUAL_TEXT(1u, Names.size(), Name);
    STRCMP_EQUAL(Name, Names[0].c_str());
  }

  double weightOf(const config::document &Of) const {
    return steering::ramp(Of).weight(drain_scope::Domain, "north-a", Entry.Now);
  }
};

// Guards against a drain that is called empty while its targets still run
// requests, and against one that stays so unnoticed.
TEST(operators_status, FollowsADrainUntilItIsEmpty) {
  Document.Drains = {
      {drain_scope::Domain, "north-a", drain_action::Leave, Entry.Now - 4s}};
  install();
  Entry.SlotsInUse = {{base::target_id("t-north-a"), 3},
                      {base::target_id("t-south-a"), 2}};
  drain_status Drain = readStatus(Entry.functions()).Drains.at(0);
  DOUBLES_EQUAL(0.4, Drain.Progress, 1e-6);
  DOUBLES_EQUAL(0.6, Drain.Weight, 1e-6);
  CHECK_EQUAL(4, Drain.Age.count());
  CHECK_EQUAL(3u, Drain.Remaining);
  Entry.Now += 10s;
  CHECK_FALSE(readStatus(Entry.functions()).Drains.at(0).isEmpty());
  CHECK_EQUAL(0u, alarms().size());
  Entry.Now += StuckAfter;
  expectAlarm("Drain not finished");
  Entry.SlotsInUse.clear();
  CHECK_TRUE(readStatus(Entry.functions()).Drains.at(0).isEmpty());
  CHECK_EQUAL(0u, alarms().size());
}

// Guards against an alarm that is missing, comes without a cause, or has no
// section that tells what to do.
TEST(operators_status, RaisesEachAlarmForItsCause) {
  CHECK_EQUAL(0u, alarms().size());
  Entry.StoreDownSince = Entry.Now;
  expectAlarm("Store unavailable");
  Entry.StoreDownSince.reset();
  Entry.Members[1].ConfigVersion = 6;
  expectAlarm("Entry behind");
  Entry.Members[1].Ready = false;
  expectAlarm("Entry not ready");
  Entry.Members[1].Reachable = false;
  expectAlarm("Entry not reachable");
  Entry.Members[1].Leaving = true;
  CHECK_EQUAL(0u, alarms().size());
  Entry.Loads[0].RequestsPerSecond = 950;
  expectAlarm("Cap nearly used");
  Entry.Loads.clear();
  expectAlarm("Load unknown");
  Entry.Loads.resize(1);
  Entry.CapStates = {
      {caps::region_cap{base::region_name("north")}, 9, 1, 1, 1}};
  expectAlarm("Cap reached");
  Entry.CapStates.clear();
  Entry.Blocked.resize(1);
  expectAlarm("Requests blocked");
  Entry.Blocked.clear();
  Entry.Document = nullptr;
  expectAlarm("No configuration");
}

TEST(operators_status, DocumentsEveryAlarm) {
  std::ifstream File(SKYLARKDYKE_SOURCE_DIR "/docs/operators/alarms.md");
  std::ostringstream Text;
  Text << File.rdbuf();
  for (const char *Name :
       {"No configuration", "Store unavailable", "Entry not reachable",
        "Entry not ready", "Entry behind", "Cap nearly used", "Cap reached",
        "Load unknown", "Drain not finished", "Requests blocked"})
    CHECK_TEXT(
        test_support::contains(Text.str(), std::string("## ") + Name + "\n"),
        Name);
}

// Guards against a drain that is turned round half-way and moves the rest of
// the traffic at once.
TEST(operators_status, TurnsADrainRoundFromItsPresentWeight) {
  putDrain(Document, {drain_scope::Domain, "north-a", drain_action::Leave, {}},
           Entry.Now);
  DOUBLES_EQUAL(1, weightOf(Document), 1e-6);
  Entry.Now += 5s + 7s;
  DOUBLES_EQUAL(0.3, weightOf(Document), 1e-6);
  const config::document Leaving = Document;
  putDrain(Document, {drain_scope::Domain, "north-a", drain_action::Return, {}},
           Entry.Now);
  CHECK_EQUAL(1u, Document.Drains.size());
  DOUBLES_EQUAL(0.3, weightOf(Document), 1e-6);
  CHECK_EQUAL(0u, checkShifts(Leaving, Document, Entry.Now).size());
  Entry.Now += 2s;
  DOUBLES_EQUAL(0.5, weightOf(Document), 1e-6);
  putDrain(Document, {drain_scope::Domain, "north-a", drain_action::Leave, {}},
           Entry.Now);
  DOUBLES_EQUAL(0.5, weightOf(Document), 1e-6);
}

// Guards against a document that moves traffic at once, past the shift cap.
TEST(operators_status, RefusesShiftsAtOnce) {
  const auto Expect = [this](const config::document &Old,
                             const char *Location) {
    const base::findings Findings = checkShifts(Old, Document, Entry.Now);
    CHECK_EQUAL(1u, Findings.size());
    STRCMP_EQUAL(Location, Findings[0].Location.c_str());
  };
  const config::document Before = Document;
  Document.Drains = {
      {drain_scope::Region, "north", drain_action::Leave, Entry.Now - 5s}};
  Expect(Before, "/drains/0/start");
  const config::document Leaving = Document;
  Document.Drains.clear();
  Expect(Leaving, "/drains");
  Document = Leaving;
  Document.ShiftCapPercentPerSecond = 100;
  Expect(Leaving, "/drains/0/start");
  Document = Leaving;
  CHECK_EQUAL(0u, checkShifts(Leaving, Document, Entry.Now).size());
}

// Guards against a table that leaves out what needs attention, and against
// control characters from a server that reach the terminal.
TEST(operators_status, PrintsATableForTheCommandLine) {
  Document.Drains = {
      {drain_scope::Domain, "north-a", drain_action::Leave, Entry.Now - 4s}};
  install();
  Entry.Members[1].Name = base::entry_name("e2\x1b[2J");
  Entry.StoreDownSince = Entry.Now;
  const std::string Table =
      cli::formatStatus(toJson(readStatus(Entry.functions())).dump());
  for (const char *Part : {"Store unavailable", "e1", "region north",
                           "domain north-a", "40%", "900"})
    CHECK_TEXT(test_support::contains(Table, Part), Table.c_str());
  CHECK_FALSE(test_support::contains(Table, "\x1b"));
  STRCMP_EQUAL("", cli::formatStatus("{}").c_str());
  STRCMP_EQUAL("", cli::formatStatus("<html>").c_str());
}
