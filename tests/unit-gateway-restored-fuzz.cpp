#include "gateway/detail/steering_state.hpp"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::steering_state;

/// Decodes a test document, which consists of its version number only.
static gateway::configuration_result decode(const std::string &Document) {
  routing::configuration Configuration;
  Configuration.Version = std::stoull(Document);
  return Configuration;
}

namespace {

constexpr std::size_t Targets = 4;
constexpr std::size_t Domains = 2;
/// A copy is at most this old when the store returns from it.
constexpr auto MaxCopyAge = 10s;
/// Time after which nothing is held back any more.
constexpr auto SettlingTime = 11s;

base::domain_name domain(std::size_t Index) {
  return base::domain_name("z" + std::to_string(Index));
}

struct record {
  std::int64_t StartedAtMs = 0;
  bool Draining = false;
};
bool operator==(const record &Left, const record &Right) {
  return Left.StartedAtMs == Right.StartedAtMs &&
         Left.Draining == Right.Draining;
}

/// Items of the store.
struct content {
  std::uint64_t Configuration = 0;
  std::map<std::size_t, record> Records;
  std::set<std::size_t> Evacuated;
};

routing::store_change publication(std::size_t Index, const record &Record) {
  routing::target Target;
  Target.Id = base::target_id("t" + std::to_string(Index));
  Target.Service = base::service_name("s");
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = domain(Index % Domains);
  Target.Draining = Record.Draining;
  Target.StartedAtMs = Record.StartedAtMs;
  return routing::target_published{Target};
}

routing::store_change publication(std::uint64_t Configuration) {
  return routing::configuration_published{std::to_string(Configuration)};
}

/// The store, with copies of itself.
class fake_store {
public:
  void writeConfiguration(std::uint64_t Version) {
    Items.Configuration = Version;
    add(publication(Version));
  }
  void writeRecord(std::size_t Index, const record &Record) {
    Items.Records[Index] = Record;
    add(publication(Index, Record));
  }
  void removeRecord(std::size_t Index) {
    if (Items.Records.erase(Index) != 0)
      add(routing::target_removed{
          base::target_id("t" + std::to_string(Index))});
  }
  void startEvacuation(std::size_t Index) {
    if (Items.Evacuated.insert(Index).second)
      add(routing::evacuation_started{domain(Index)});
  }
  void endEvacuation(std::size_t Index) {
    if (Items.Evacuated.erase(Index) != 0)
      add(routing::evacuation_ended{domain(Index)});
  }

  void copy(base::boot_time Now) { Copies.push_back({Now, Version, Items}); }
  /// Returns from a copy, if there is one that is recent enough.
  void restore(std::size_t Index, base::boot_time Now) {
    while (!Copies.empty() && Now - Copies.front().TakenAt > MaxCopyAge)
      Copies.pop_front();
    if (Copies.empty())
      return;
    const store_copy &Copy = Copies[Index % Copies.size()];
    Items = Copy.Items;
    Version = {Version.Era + 1, Copy.Version.Revision};
    History.clear();
    HistoryStartsAfter = Version.Revision;
  }

  void list(steering_state &State, bool Early) const {
    std::vector<routing::store_change> Listed;
    if (Items.Configuration != 0)
      Listed.push_back(publication(Items.Configuration));
    for (const std::size_t Index : Items.Evacuated)
      Listed.push_back(routing::evacuation_started{domain(Index)});
    for (const auto &[Index, Record] : Items.Records)
      Listed.push_back(publication(Index, Record));
    if (Early)
      for (const auto &Item : Listed)
        State.applyEarly(Item);
    State.replaceAll(Listed, Version.Revision, Version);
  }

  /// Delivers the changes that a state lacks, or else everything.
  void update(steering_state &State) const {
    const base::store_version Known = State.confirmedVersion();
    if (Known.Era != Version.Era || Known.Revision < HistoryStartsAfter)
      return list(State, false);
    for (const auto &[Revision, Change] : History)
      if (Revision > Known.Revision)
        State.apply(Change, {Version.Era, Revision});
    State.confirmVersion(Version);
  }

  const content &items() const { return Items; }

private:
  struct store_copy {
    base::boot_time TakenAt{};
    base::store_version Version;
    content Items;
  };

  void add(const routing::store_change &Change) {
    ++Version.Revision;
    History.emplace_back(Version.Revision, Change);
  }

  base::store_version Version{1, 100};
  std::uint64_t HistoryStartsAfter = 100;
  content Items;
  std::vector<std::pair<std::uint64_t, routing::store_change>> History;
  std::deque<store_copy> Copies;
};

/// Operators and targets: they write again what a return of the store has
/// taken back.
struct writers {
  /// Writes again one item that differs, or all of them.
  void repair(fake_store &Store, std::size_t Only) const {
    if (Store.items().Configuration < Wanted.Configuration)
      Store.writeConfiguration(Wanted.Configuration);
    for (std::size_t Index = 0; Index < Targets; ++Index)
      if (Only >= Targets || Only == Index)
        repairRecord(Store, Index);
    for (std::size_t Index = 0; Index < Domains; ++Index)
      if (Only >= Targets || Only == Index)
        Wanted.Evacuated.count(Index) != 0 ? Store.startEvacuation(Index)
                                           : Store.endEvacuation(Index);
  }
  void repairAll(fake_store &Store) const { repair(Store, Targets); }

  content Wanted;

private:
  void repairRecord(fake_store &Store, std::size_t Index) const {
    const auto Written = Store.items().Records.find(Index);
    const auto Alive = Wanted.Records.find(Index);
    if (Alive == Wanted.Records.end())
      Store.removeRecord(Index);
    else if (Written == Store.items().Records.end() ||
             !(Written->second == Alive->second))
      Store.writeRecord(Index, Alive->second);
  }
};

struct entry_state {
  explicit entry_state(const base::boot_time &Now) : Now(Now) {}

  const base::boot_time &Now;
  placement::target_registry Registry{{{domain(0), base::region_name("r")},
                                       {domain(1), base::region_name("r")}}};
  steering_state State{Registry, decode, 2s, [this] { return Now; }};
};

/// Two entries, the store, and all who write there.
class scenario {
public:
  explicit scenario(unsigned Seed) : Random(Seed) {
    writeConfiguration();
    for (std::size_t Index = 0; Index < Targets; ++Index)
      startTarget(Index);
    for (entry_state *Entry : Entries)
      Store.list(Entry->State, false);
  }

  /// Performs a random step.
  /// \param MayReturn whether the store may return from a copy, and entries may
  /// list it and skip changes
  /// \return whether no configuration version has fallen
  bool step(bool MayReturn) {
    const std::array<std::uint64_t, 2> Before = {First.State.version(),
                                                 Second.State.version()};
    switch (below(16)) {
    case 0:
      writeConfiguration();
      break;
    case 1:
      startTarget(below(Targets));
      break;
    case 2:
      drainTarget(below(Targets));
      break;
    case 3:
      stopTarget(below(Targets));
      break;
    case 4:
      changeEvacuation(below(Domains));
      break;
    case 5:
    case 6:
      Store.copy(Now);
      break;
    case 7:
      if (MayReturn)
        Store.restore(below(Targets), Now);
      break;
    case 8:
      Writers.repair(Store, below(Targets));
      break;
    case 9:
      if (MayReturn)
        Store.list(anyEntry().State, below(2) == 0);
      break;
    case 10:
    case 11:
      Store.update(anyEntry().State);
      break;
    case 12:
      sendState(below(2));
      break;
    case 13:
      deliver();
      break;
    default:
      advance(std::chrono::milliseconds(below(2500)));
    }
    return First.State.version() >= Before[0] &&
           Second.State.version() >= Before[1];
  }

  void updateEntries() {
    for (entry_state *Entry : Entries)
      Store.update(Entry->State);
  }

  void restore() { Store.restore(below(Targets), Now); }

  /// Performs a random step shortly after a return of the store, in which
  /// nothing new is decided.
  void stepAfterReturn() {
    switch (below(6)) {
    case 0:
      Writers.repair(Store, below(Targets));
      break;
    case 1:
      Store.list(anyEntry().State, below(2) == 0);
      break;
    case 2:
      Store.update(anyEntry().State);
      break;
    case 3:
      sendState(below(2));
      break;
    case 4:
      deliver();
      break;
    default:
      advance(std::chrono::milliseconds(below(100)));
    }
  }

  /// Lets everybody write again, and all holds end.
  void settle() {
    while (!Messages.empty())
      deliver();
    Writers.repairAll(Store);
    updateEntries();
    for (std::size_t From : {0U, 1U}) {
      sendState(From);
      deliver();
    }
    advance(SettlingTime);
  }

  /// \return how an entry differs from what was acknowledged; empty if it does
  /// not
  std::string difference(std::size_t Index) const {
    const entry_state &Entry = *Entries.at(Index);
    std::string Text;
    if (Entry.State.version() != Writers.Wanted.Configuration)
      Text += " configuration " + std::to_string(Entry.State.version());
    for (std::size_t Domain = 0; Domain < Domains; ++Domain)
      if (Entry.Registry.evacuatedDomains().count(domain(Domain)) !=
          Writers.Wanted.Evacuated.count(Domain))
        Text += " evacuation " + std::to_string(Domain);
    for (std::size_t Target = 0; Target < Targets; ++Target)
      if (!hasRecord(Entry, Target))
        Text += " target " + std::to_string(Target);
    return Text;
  }

  /// \return the targets that an entry uses although they are withdrawn, or
  /// does not use although they are not; empty if there are none
  std::string misuse(std::size_t Index) const {
    const entry_state &Entry = *Entries.at(Index);
    std::string Text;
    for (std::size_t Target = 0; Target < Targets; ++Target) {
      const auto *Found =
          Entry.Registry.find(base::target_id("t" + std::to_string(Target)));
      const bool IsUsed =
          Found != nullptr && Entry.Registry.acceptsRequests(*Found, Now);
      if (IsUsed != isUsable(Target))
        Text += (IsUsed ? " uses " : " lacks ") + std::to_string(Target);
    }
    return Text;
  }

private:
  bool isUsable(std::size_t Target) const {
    const auto Alive = Writers.Wanted.Records.find(Target);
    return Alive != Writers.Wanted.Records.end() && !Alive->second.Draining &&
           Writers.Wanted.Evacuated.count(Target % Domains) == 0;
  }

  unsigned below(unsigned Limit) { return Random() % Limit; }
  entry_state &anyEntry() { return *Entries.at(below(2)); }

  void writeConfiguration() {
    Writers.Wanted.Configuration += 1 + below(4);
    Store.writeConfiguration(Writers.Wanted.Configuration);
  }
  void startTarget(std::size_t Index) {
    const record Record{++StartTime, false};
    Writers.Wanted.Records[Index] = Record;
    Store.writeRecord(Index, Record);
  }
  void drainTarget(std::size_t Index) {
    const auto Found = Writers.Wanted.Records.find(Index);
    if (Found == Writers.Wanted.Records.end() || Found->second.Draining)
      return;
    Found->second.Draining = true;
    Store.writeRecord(Index, Found->second);
  }
  void stopTarget(std::size_t Index) {
    Writers.Wanted.Records.erase(Index);
    Store.removeRecord(Index);
  }
  void changeEvacuation(std::size_t Index) {
    if (Writers.Wanted.Evacuated.erase(Index) != 0)
      return Store.endEvacuation(Index);
    Writers.Wanted.Evacuated.insert(Index);
    Store.startEvacuation(Index);
  }

  /// One entry asks another one for its state.
  void sendState(std::size_t From) {
    const steering_state &Requester = Entries.at(1 - From)->State;
    Messages.push_back(
        {1 - From, Entries.at(From)->State.encodeStateAfter(
                       Requester.confirmedVersion(), Requester.version())});
  }
  /// Delivers one of the messages on their way, not always the oldest.
  void deliver() {
    if (Messages.empty())
      return;
    const auto Chosen =
        Messages.begin() + static_cast<std::ptrdiff_t>(
                               below(static_cast<unsigned>(Messages.size())));
    Entries.at(Chosen->To)->State.adoptState(Chosen->Bytes);
    Messages.erase(Chosen);
  }
  void advance(std::chrono::milliseconds Time) {
    Now += Time;
    for (entry_state *Entry : Entries) {
      Entry->State.applyHeld();
      Entry->Registry.sweep(Now);
    }
  }

  bool hasRecord(const entry_state &Entry, std::size_t Index) const {
    const auto *Found =
        Entry.Registry.find(base::target_id("t" + std::to_string(Index)));
    const auto Alive = Writers.Wanted.Records.find(Index);
    if (Found == nullptr || Alive == Writers.Wanted.Records.end())
      return Found == nullptr && Alive == Writers.Wanted.Records.end();
    return !Found->RemovedAt && record{Found->Target.StartedAtMs,
                                       Found->Target.Draining} == Alive->second;
  }

  struct message {
    std::size_t To = 0;
    std::string Bytes;
  };

  std::minstd_rand Random;
  base::boot_time Now{1h};
  std::int64_t StartTime = 0;
  fake_store Store;
  writers Writers;
  entry_state First{Now};
  entry_state Second{Now};
  std::array<entry_state *, 2> Entries{&First, &Second};
  std::deque<message> Messages;
};

} // namespace

TEST_GROUP(gateway_restored_fuzz){};

// Guards against orders of changes, returns and messages after which an entry
// believes for good what was withdrawn, lacks what was acknowledged, or goes
// back to an older configuration.
TEST(gateway_restored_fuzz, EntriesAgreeWithTheStoreAfterReturns) {
  static constexpr unsigned Seeds = 1000;
  static constexpr unsigned Steps = 60;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    scenario Scenario(Seed);
    for (unsigned Step = 0; Step < Steps; ++Step)
      CHECK_TEXT(Scenario.step(true), ("seed " + std::to_string(Seed) +
                                       " step " + std::to_string(Step))
                                          .c_str());
    Scenario.settle();
    for (std::size_t Entry : {0U, 1U}) {
      const std::string Difference = Scenario.difference(Entry);
      CHECK_TEXT(Difference.empty(),
                 ("seed " + std::to_string(Seed) + " entry " +
                  std::to_string(Entry) + ':' + Difference)
                     .c_str());
    }
  }
}

// Guards against callers that notice a return of the store: requests to a
// target that is known to be withdrawn, and none to one that is known to be
// ready, until the writers have written again.
TEST(gateway_restored_fuzz, EntriesKeepWhatTheyKnowUntilItIsWrittenAgain) {
  static constexpr unsigned Seeds = 1000;
  static constexpr unsigned StepsBefore = 30;
  static constexpr unsigned StepsAfter = 15;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    scenario Scenario(Seed);
    for (unsigned Step = 0; Step < StepsBefore; ++Step)
      Scenario.step(false);
    Scenario.updateEntries();
    for (unsigned Step = 0; Step < StepsAfter; ++Step) {
      if (Step % 8 == 0)
        Scenario.restore();
      Scenario.stepAfterReturn();
      for (std::size_t Entry : {0U, 1U}) {
        const std::string Misuse = Scenario.misuse(Entry);
        CHECK_TEXT(Misuse.empty(), ("seed " + std::to_string(Seed) + " step " +
                                    std::to_string(Step) + " entry " +
                                    std::to_string(Entry) + Misuse)
                                       .c_str());
      }
    }
  }
}
