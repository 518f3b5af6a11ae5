#include "skylarkdyke/once/ledger.hpp"
#include "skylarkdyke/once/witness_table.hpp"

#include <array>
#include <map>
#include <rapidcheck.h>
#include <set>

// Last, because the CppUTest macro for "new" must not reach the headers above.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Entries = 4;

/// Faults injected into the simulation. The check must detect each of them.
enum class fault {
  None,
  /// The owner dispatches without an acknowledgement from the witness.
  SkipsTheWitness,
  /// An entry that cannot reach the owner runs the request itself.
  RetriesElsewhere,
  /// A restarted witness keeps its incarnation.
  WitnessKeepsItsIncarnation,
  /// Every refusal by the ledger is reported as NotRun.
  RefusalMeansNotRun,
  /// A witness that may have dropped a record reports NeverRecorded.
  NotKnownMeansNeverRecorded,
};

struct step {
  unsigned Action, Entry, Argument;

  friend std::ostream &operator<<(std::ostream &Out, const step &Step) {
    return Out << Step.Action << '/' << Step.Entry << '/' << Step.Argument;
  }
};

/// Simulation of entries that run, relay, record and seal keys. Every stage of
/// an attempt is a separate step, so an attempt is paused while no step selects
/// it.
class simulation {
public:
  explicit simulation(fault Fault) : Fault(Fault) {
    for (entry &Entry : All)
      restart(Entry, {++Incarnations});
  }

  /// \return false if a request ran twice, or ran although NotRun was reported
  /// to a caller
  bool run(const std::vector<step> &Steps) {
    for (const step &Step : Steps) {
      apply(Step, All[Step.Entry % Entries]);
      for (const auto &[Key, Count] : Runs)
        if (Count > 1 || ReportedNotRun.count(Key) > 0)
          return false;
    }
    return true;
  }

  std::size_t runCount() const { return Runs.size(); }
  std::size_t notRunCount() const { return ReportedNotRun.size(); }

private:
  struct entry {
    base::incarnation_id Self;
    /// Shared with attempts that started under an earlier incarnation.
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

  base::wall_time wallTime(const entry &Entry) const {
    return base::wall_time(1000000s + Elapsed + Entry.ClockError);
  }

  void apply(const step &Step, entry &Entry) {
    const unsigned Action = Step.Action % 100;
    if (Action < 8)
      issue(Entry, Step.Argument);
    else if (Action < 30 && !Keys.empty())
      Attempts.push_back({Keys[Step.Argument % Keys.size()],
                          Step.Entry % Entries,
                          stage::Arrived,
                          {}});
    else if (Action < 88 && !Attempts.empty())
      proceed(Step.Argument % Attempts.size(), Action);
    else if (Action < 94)
      Elapsed +=
          std::array{1s, 1s, 1s, 1s, 4s, 5s, 15s, 130s}[Step.Argument % 8];
    else if (Action < 96)
      Entry.ClockError = std::chrono::seconds(Step.Argument % 61) - 30s;
    else if (Action < 98)
      crash(Step.Entry % Entries);
    else
      startIncarnation(Entry);
  }

  void issue(const entry &Owner, unsigned Argument) {
    const std::size_t Witness = Argument % Entries;
    const once::key_prefix Prefix{
        Owner.Self,
        std::chrono::floor<std::chrono::seconds>(wallTime(Owner)) +
            std::array{5s, 60s, 120s}[Argument % 3],
        All[Witness].WitnessSelf};
    Keys.push_back(*once::parseKey(once::toString(Prefix) + "." +
                                   std::to_string(Keys.size())));
  }

  void restart(entry &Entry, base::incarnation_id WitnessSelf) {
    startIncarnation(Entry);
    Entry.WitnessSelf = WitnessSelf;
    Entry.Witness = std::make_shared<once::witness_table>(WitnessSelf, 3);
  }

  void startIncarnation(entry &Entry) {
    if (Entry.Ledger)
      Entry.Ledger->seal();
    Entry.Self = {++Incarnations};
    Entry.Ledger = std::make_shared<once::ledger>(Entry.Self, 4, 8);
  }

  void crash(std::size_t Index) {
    Attempts.erase(std::remove_if(Attempts.begin(), Attempts.end(),
                                  [&](const attempt &Attempt) {
                                    return Attempt.At == Index &&
                                           Attempt.Ledger;
                                  }),
                   Attempts.end());
    const bool KeepsIncarnation = Fault == fault::WitnessKeepsItsIncarnation;
    restart(All[Index], KeepsIncarnation
                            ? All[Index].WitnessSelf
                            : base::incarnation_id{++Incarnations});
  }

  void proceed(std::size_t Index, unsigned Action) {
    attempt Attempt = Attempts[Index];
    Attempts.erase(Attempts.begin() + static_cast<std::ptrdiff_t>(Index));
    // Some messages are lost; the attempt then ends at its deadline.
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
          {200, {}, "answer"}, wallTime(All[Attempt.At]));
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
        Key.Prefix.Owner, Key.Text, Key.Prefix.Expiry, wallTime(Witness));
    if (Result == once::seal_result::NeverRecorded ||
        (Result == once::seal_result::NotKnown &&
         Fault == fault::NotKnownMeansNeverRecorded))
      ReportedNotRun.insert(Key.Text);
  }

  void begin(attempt &Attempt) {
    entry &Entry = All[Attempt.At];
    const once::begin_result Result =
        Entry.Ledger->begin(Attempt.Key, 1, wallTime(Entry));
    const auto *Refused = std::get_if<once::begin_refused>(&Result);
    const auto *Finished = std::get_if<once::begin_finished>(&Result);
    if ((Refused && (Refused->Outcome == once::outcome::NotRun ||
                     Fault == fault::RefusalMeansNotRun)) ||
        (Finished && Finished->Outcome == once::outcome::NotRun))
      ReportedNotRun.insert(Attempt.Key.Text);
    if (!std::holds_alternative<once::begin_accepted>(Result))
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
                                 Attempt.Key.Prefix.Expiry, wallTime(*Witness));
    if (Result != once::record_result::Recorded || AnswerLost)
      return finishNotRun(Attempt);
    Attempt.Stage = stage::Acknowledged;
    Attempts.push_back(Attempt);
  }

  void dispatch(attempt &Attempt) {
    if (Attempt.Key.Prefix.Expiry <= wallTime(All[Attempt.At]))
      return finishNotRun(Attempt);
    ++Runs[Attempt.Key.Text];
    Attempt.Stage = stage::Running;
    Attempts.push_back(Attempt);
  }

  void finishNotRun(const attempt &Attempt) {
    ReportedNotRun.insert(Attempt.Key.Text);
    Attempt.Ledger->finish(Attempt.Key, once::outcome::NotRun, {},
                           wallTime(All[Attempt.At]));
  }

  std::optional<entry> witnessOf(const once::idempotency_key &Key) const {
    for (const entry &Entry : All)
      if (Entry.WitnessSelf == Key.Prefix.Witness)
        return Entry;
    return std::nullopt;
  }

  fault Fault;
  std::uint64_t Incarnations = 0;
  std::array<entry, Entries> All;
  std::chrono::seconds Elapsed{0};
  std::vector<once::idempotency_key> Keys;
  std::vector<attempt> Attempts;
  std::map<std::string, unsigned> Runs;
  std::set<std::string> ReportedNotRun;
};

rc::Gen<std::vector<step>> generateSteps() {
  const auto AnyNumber = rc::gen::inRange(0U, 1000U);
  const auto Steps = rc::gen::container<std::vector<step>>(
      rc::gen::build<step>(rc::gen::set(&step::Action, AnyNumber),
                           rc::gen::set(&step::Entry, AnyNumber),
                           rc::gen::set(&step::Argument, AnyNumber)));
  // Maximum number of steps.
  return rc::gen::resize(1000, Steps);
}

/// Number of simulation runs with a request that ran twice or after NotRun.
unsigned countFailures(fault Fault, unsigned Runs) {
  unsigned Failures = 0;
  for (std::uint64_t Seed = 0; Seed < Runs; ++Seed)
    Failures +=
        !simulation(Fault).run(generateSteps()(rc::Random(Seed), 100).value());
  return Failures;
}

} // namespace

TEST_GROUP(once_fuzz){};

// Guards against a request that runs twice, or runs although NotRun was
// reported, in any order of attempts, relays, records, seals, pauses, restarts,
// and wrong or adjusted clocks.
TEST(once_fuzz, RunsAtMostOnceAndNeverAfterNotRun) {
  std::size_t Ran = 0;
  std::size_t NotRun = 0;
  CHECK_TRUE(rc::check([&] {
    simulation Simulation(fault::None);
    RC_ASSERT(Simulation.run(*generateSteps()));
    Ran += Simulation.runCount();
    NotRun += Simulation.notRunCount();
  }));
  // Rare orders of events need more runs than the default of rapidcheck.
  CHECK_EQUAL(0U, countFailures(fault::None, 3000));
  // Without both outcomes, the checks above would be meaningless.
  CHECK_TRUE(Ran > 200);
  CHECK_TRUE(NotRun > 300);
}

// Guards against a check that cannot fail: it must detect each injected fault.
TEST(once_fuzz, CheckDetectsEachInjectedFault) {
  for (const fault Fault :
       {fault::SkipsTheWitness, fault::RetriesElsewhere,
        fault::WitnessKeepsItsIncarnation, fault::RefusalMeansNotRun,
        fault::NotKnownMeansNeverRecorded}) {
    CHECK_TRUE(countFailures(Fault, 500) > 0);
  }
}
