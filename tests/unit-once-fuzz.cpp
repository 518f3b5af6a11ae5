#include "skylarkdyke/once/ledger.hpp"
#include "skylarkdyke/once/witness_table.hpp"

#include <array>
#include <map>
#include <rapidcheck.h>
#include <set>

// Its macro for "new" must not reach the headers above.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 4;

/// Ways in which entries can be wrong; each must be found by the check.
enum class fault {
  None,
  /// The owner dispatches without the witness's acknowledgement.
  SkipsTheWitness,
  /// An entry that cannot reach the owner runs the request itself.
  RetriesElsewhere,
  /// A restarted witness keeps its incarnation.
  WitnessKeepsItsIncarnation,
  /// Every refusal of the ledger is told as not run.
  RefusalMeansNotRun,
  /// A witness that dropped a record says that it never had one.
  NotKnownMeansNeverRecorded,
};

struct step {
  unsigned Action, Entry, Pick;

  friend std::ostream &operator<<(std::ostream &Out, const step &Step) {
    return Out << Step.Action << '/' << Step.Entry << '/' << Step.Pick;
  }
};

/// Entries that run, relay, record and seal keys. Every stage of an attempt is
/// a step of its own, so an attempt is frozen as long as no step names it.
class world {
public:
  explicit world(fault Fault) : Fault(Fault) {
    for (entry &Each : All)
      restart(Each, {++Incarnations});
  }

  /// \return false if a key ran twice, or ran although a caller was told that
  /// it did not
  bool run(const std::vector<step> &Steps) {
    for (const step &Step : Steps) {
      apply(Step, All[Step.Entry % Entries]);
      for (const auto &[Key, Count] : Runs)
        if (Count > 1 || ToldNotRun.count(Key) > 0)
          return false;
    }
    return true;
  }

  std::size_t runCount() const { return Runs.size(); }
  std::size_t notRunCount() const { return ToldNotRun.size(); }

private:
  struct entry {
    base::incarnation_id Self;
    /// Shared with attempts that began under an earlier incarnation.
    std::shared_ptr<once::ledger> Ledger;
    std::shared_ptr<once::witness_table> Witness;
    base::incarnation_id WitnessSelf;
    std::chrono::seconds ClockError{0};
  };

  enum class stage { Arrived, Recording, Acknowledged, Running };

  struct attempt {
    once::idempotency_key Key;
    std::size_t At;
    stage Stage = stage::Arrived;
    std::shared_ptr<once::ledger> Ledger;
  };

  base::wall_time wall(const entry &Entry) const {
    return base::wall_time(1000000s + Elapsed + Entry.ClockError);
  }

  void apply(const step &Step, entry &Entry) {
    const unsigned Action = Step.Action % 100;
    if (Action < 8)
      issue(Entry, Step.Pick);
    else if (Action < 30 && !Keys.empty())
      Attempts.push_back({Keys[Step.Pick % Keys.size()],
                          Step.Entry % Entries,
                          stage::Arrived,
                          {}});
    else if (Action < 88 && !Attempts.empty())
      proceed(Step.Pick % Attempts.size(), Action);
    else if (Action < 94)
      Elapsed += std::array{1s, 1s, 1s, 1s, 4s, 5s, 15s, 130s}[Step.Pick % 8];
    else if (Action < 96)
      Entry.ClockError = std::chrono::seconds(Step.Pick % 61) - 30s;
    else if (Action < 98)
      kill(Step.Entry % Entries);
    else
      drawIncarnation(Entry);
  }

  void issue(const entry &Owner, unsigned Pick) {
    const std::size_t Witness = Pick % Entries;
    const once::key_prefix Prefix{
        Owner.Self,
        std::chrono::floor<std::chrono::seconds>(wall(Owner)) +
            std::array{5s, 60s, 120s}[Pick % 3],
        All[Witness].WitnessSelf};
    Keys.push_back(*once::parseKey(once::toString(Prefix) + "." +
                                   std::to_string(Keys.size())));
  }

  void restart(entry &Entry, base::incarnation_id WitnessSelf) {
    drawIncarnation(Entry);
    Entry.WitnessSelf = WitnessSelf;
    Entry.Witness = std::make_shared<once::witness_table>(WitnessSelf, 3);
  }

  void drawIncarnation(entry &Entry) {
    if (Entry.Ledger)
      Entry.Ledger->seal();
    Entry.Self = {++Incarnations};
    Entry.Ledger = std::make_shared<once::ledger>(Entry.Self, 4, 8);
  }

  void kill(std::size_t Index) {
    Attempts.erase(std::remove_if(Attempts.begin(), Attempts.end(),
                                  [&](const attempt &Each) {
                                    return Each.At == Index && Each.Ledger;
                                  }),
                   Attempts.end());
    const bool Keeps = Fault == fault::WitnessKeepsItsIncarnation;
    restart(All[Index], Keeps ? All[Index].WitnessSelf
                              : base::incarnation_id{++Incarnations});
  }

  void proceed(std::size_t Index, unsigned Action) {
    attempt Attempt = Attempts[Index];
    Attempts.erase(Attempts.begin() + static_cast<std::ptrdiff_t>(Index));
    // Messages are lost now and then; the attempt then ends at its deadline.
    const bool Lost = Action < 36;
    switch (Attempt.Stage) {
    case stage::Arrived:
      return arrive(Attempt, Lost);
    case stage::Recording:
      return record(Attempt, Lost);
    case stage::Acknowledged:
      return dispatch(Attempt);
    case stage::Running:
      Attempt.Ledger->finish(
          Attempt.Key, Lost ? once::outcome::Unknown : once::outcome::Completed,
          {200, {}, "answer"}, wall(All[Attempt.At]));
    }
  }

  void arrive(attempt &Attempt, bool Lost) {
    entry &Entry = All[Attempt.At];
    if (Attempt.Key.Prefix.Owner == Entry.Self)
      return begin(Attempt);
    for (std::size_t Owner = 0; Owner < Entries; ++Owner)
      if (All[Owner].Self == Attempt.Key.Prefix.Owner && !Lost) {
        Attempt.At = Owner;
        Attempts.push_back(Attempt);
        return;
      }
    if (Fault == fault::RetriesElsewhere)
      ++Runs[Attempt.Key.Text];
    else if (const auto Witness = witnessOf(Attempt.Key))
      seal(Attempt.Key, *Witness);
  }

  void seal(const once::idempotency_key &Key, const entry &Witness) {
    const once::seal_result Result = Witness.Witness->seal(
        Key.Prefix.Owner, Key.Text, Key.Prefix.Expiry, wall(Witness));
    if (Result == once::seal_result::NeverRecorded ||
        (Result == once::seal_result::NotKnown &&
         Fault == fault::NotKnownMeansNeverRecorded))
      ToldNotRun.insert(Key.Text);
  }

  void begin(attempt &Attempt) {
    entry &Entry = All[Attempt.At];
    const once::begin_result Result =
        Entry.Ledger->begin(Attempt.Key, 1, wall(Entry));
    const auto *Refused = std::get_if<once::begin_refused>(&Result);
    const auto *Finished = std::get_if<once::begin_finished>(&Result);
    if ((Refused && (Refused->Outcome == once::outcome::NotRun ||
                     Fault == fault::RefusalMeansNotRun)) ||
        (Finished && Finished->Outcome == once::outcome::NotRun))
      ToldNotRun.insert(Attempt.Key.Text);
    if (!std::holds_alternative<once::begin_run>(Result))
      return;
    Attempt.Ledger = Entry.Ledger;
    Attempt.Stage = Fault == fault::SkipsTheWitness ? stage::Acknowledged
                                                    : stage::Recording;
    Attempts.push_back(Attempt);
  }

  void record(attempt &Attempt, bool AnswerLost) {
    const auto Witness = witnessOf(Attempt.Key);
    if (!Witness)
      return finishNotRun(Attempt);
    const auto Result =
        Witness->Witness->record(Attempt.Key.Prefix.Owner, Attempt.Key.Text,
                                 Attempt.Key.Prefix.Expiry, wall(*Witness));
    if (Result != once::record_result::Recorded || AnswerLost)
      return finishNotRun(Attempt);
    Attempt.Stage = stage::Acknowledged;
    Attempts.push_back(Attempt);
  }

  void dispatch(attempt &Attempt) {
    if (Attempt.Key.Prefix.Expiry <= wall(All[Attempt.At]))
      return finishNotRun(Attempt);
    ++Runs[Attempt.Key.Text];
    Attempt.Stage = stage::Running;
    Attempts.push_back(Attempt);
  }

  void finishNotRun(const attempt &Attempt) {
    ToldNotRun.insert(Attempt.Key.Text);
    Attempt.Ledger->finish(Attempt.Key, once::outcome::NotRun, {},
                           wall(All[Attempt.At]));
  }

  std::optional<entry> witnessOf(const once::idempotency_key &Key) const {
    for (const entry &Each : All)
      if (Each.WitnessSelf == Key.Prefix.Witness)
        return Each;
    return std::nullopt;
  }

  fault Fault;
  std::uint64_t Incarnations = 0;
  std::array<entry, Entries> All;
  std::chrono::seconds Elapsed{0};
  std::vector<once::idempotency_key> Keys;
  std::vector<attempt> Attempts;
  std::map<std::string, unsigned> Runs;
  std::set<std::string> ToldNotRun;
};

rc::Gen<std::vector<step>> anySteps() {
  const auto Number = rc::gen::inRange(0U, 1000U);
  const auto Steps = rc::gen::container<std::vector<step>>(rc::gen::build<step>(
      rc::gen::set(&step::Action, Number), rc::gen::set(&step::Entry, Number),
      rc::gen::set(&step::Pick, Number)));
  // Up to this number of steps.
  return rc::gen::resize(1000, Steps);
}

/// Runs with a request that ran twice or against what a caller was told.
unsigned failuresOf(fault Fault, unsigned Runs) {
  unsigned Failures = 0;
  for (std::uint64_t Seed = 0; Seed < Runs; ++Seed)
    Failures += !world(Fault).run(anySteps()(rc::Random(Seed), 100).value());
  return Failures;
}

} // namespace

TEST_GROUP(once_fuzz){};

// Guards against any order of attempts, relays, records, seals, freezes,
// restarts and wrong or changed clocks by which a request runs twice, or runs
// although a caller was told that it did not.
TEST(once_fuzz, RunsAtMostOnceAndNeverAfterNotRun) {
  std::size_t Ran = 0;
  std::size_t NotRun = 0;
  CHECK_TRUE(rc::check([&] {
    world World(fault::None);
    RC_ASSERT(World.run(*anySteps()));
    Ran += World.runCount();
    NotRun += World.notRunCount();
  }));
  // Rare orders need more runs than rapidcheck does by default.
  CHECK_EQUAL(0U, failuresOf(fault::None, 3000));
  // Without both outcomes, the checks above would show nothing.
  CHECK_TRUE(Ran > 200);
  CHECK_TRUE(NotRun > 300);
}

// Guards against a check that cannot fail.
TEST(once_fuzz, TheCheckFindsEachFault) {
  for (const fault Fault :
       {fault::SkipsTheWitness, fault::RetriesElsewhere,
        fault::WitnessKeepsItsIncarnation, fault::RefusalMeansNotRun,
        fault::NotKnownMeansNeverRecorded}) {
    CHECK_TRUE(failuresOf(Fault, 500) > 0);
  }
}
