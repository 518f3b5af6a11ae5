#include "support/fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace test_support {

using namespace std::chrono_literals;
using skylarkdyke::emulators::deployment;
using std::chrono::milliseconds;

namespace {

struct fault_profile {
  const char *Name;
  /// Relative frequency.
  unsigned Weight;
  milliseconds Shortest;
  milliseconds Longest;
};

} // namespace

/// In the order of fault_kind. A stopped entry serves until its last lookup
/// answer has expired and then waits for its share to become free, so a stop
/// gets a long time.
static constexpr std::array<fault_profile, 13> Profiles = {{
    {"kill", 5, 300ms, 3000ms},
    {"freeze", 6, 200ms, 4000ms},
    {"graceful stop", 3, 5000ms, 6000ms},
    {"cut between regions", 4, 500ms, 4000ms},
    {"cut between failure domains", 4, 500ms, 4000ms},
    {"lost answers", 4, 300ms, 2500ms},
    {"truncated answers", 3, 300ms, 2500ms},
    {"late answers", 4, 300ms, 2500ms},
    {"crash", 4, 300ms, 2000ms},
    {"store refuses", 2, 500ms, 4000ms},
    {"store hangs", 2, 500ms, 4000ms},
    {"lost store answers", 3, 200ms, 1000ms},
    {"stale store reads", 3, 200ms, 1000ms},
}};

static constexpr milliseconds MaxStop{21000};

static const fault_profile &profileOf(fault_kind Kind) {
  return Profiles.at(static_cast<std::size_t>(Kind));
}

static bool isAtEntry(fault_kind Kind) { return Kind <= fault_kind::StopEntry; }

static bool isCut(fault_kind Kind) {
  return Kind == fault_kind::CutRegions || Kind == fault_kind::CutDomains;
}

static bool isAtTarget(fault_kind Kind) {
  return Kind >= fault_kind::LoseAnswers && Kind <= fault_kind::CrashTarget;
}

std::string describe(const planned_fault &Fault, const deployment &Plan) {
  std::string Text = profileOf(Fault.Kind).Name;
  if (isAtEntry(Fault.Kind))
    Text += " of " + Plan.Entries.at(Fault.Index).Name;
  else if (isAtTarget(Fault.Kind))
    Text += " of " + Plan.Targets.at(Fault.Index).Id;
  else if (isCut(Fault.Kind))
    Text += " from " + Fault.From + " to " + Fault.To;
  if (Fault.Kind == fault_kind::DelayAnswers)
    Text += " by " + std::to_string(Fault.Amount) + " ms";
  else if (Fault.Amount > 0)
    Text += " for " + std::to_string(Fault.Amount) + " calls";
  return Text;
}

namespace {

class schedule_maker {
public:
  schedule_maker(std::uint64_t Seed, milliseconds Length,
                 const deployment &Plan)
      : Random(Seed), Length(Length), Plan(Plan) {}

  std::vector<planned_fault> make() {
    for (milliseconds Now = 500ms; Now < Length; Now += draw(50ms, 350ms))
      if (const planned_fault Fault = drawFault(Now);
          Fault.End <= Length && reserve(Fault))
        Faults.push_back(Fault);
    return std::move(Faults);
  }

private:
  // The distributions of the standard library differ between implementations.
  std::size_t draw(std::size_t Count) { return Random() % Count; }

  milliseconds draw(milliseconds Least, milliseconds Most) {
    return Least + milliseconds(draw((Most - Least).count() + 1));
  }

  fault_kind drawKind() {
    unsigned Sum = 0;
    for (const fault_profile &Profile : Profiles)
      Sum += Profile.Weight;
    std::size_t Left = draw(Sum);
    std::size_t Kind = 0;
    while (Left >= Profiles.at(Kind).Weight)
      Left -= Profiles.at(Kind++).Weight;
    return static_cast<fault_kind>(Kind);
  }

  planned_fault drawFault(milliseconds Now) {
    planned_fault Fault;
    Fault.Kind = drawKind();
    const fault_profile &Profile = profileOf(Fault.Kind);
    Fault.Start = Now;
    Fault.End = Now + draw(Profile.Shortest, Profile.Longest);
    if (isAtEntry(Fault.Kind))
      Fault.Index = draw(Plan.Entries.size());
    if (isAtTarget(Fault.Kind))
      Fault.Index = draw(Plan.Targets.size());
    if (isCut(Fault.Kind))
      drawCut(Fault);
    if (Fault.Kind == fault_kind::DelayAnswers)
      Fault.Amount = 200 + draw(2300);
    if (Fault.Kind == fault_kind::LoseStoreAnswers)
      Fault.Amount = 1 + draw(4);
    if (Fault.Kind == fault_kind::StaleStoreReads)
      Fault.Amount = 5 + draw(40);
    return Fault;
  }

  void drawCut(planned_fault &Fault) {
    std::vector<std::string> Places;
    for (const auto &Region : Plan.Document.Regions) {
      if (Fault.Kind == fault_kind::CutRegions)
        Places.push_back(Region.Name.str());
      else
        for (const auto &Domain : Region.Domains)
          Places.push_back(Domain.str());
    }
    const std::size_t From = draw(Places.size());
    const std::size_t Step = 1 + draw(Places.size() - 1);
    Fault.From = Places.at(From);
    Fault.To = Places.at((From + Step) % Places.size());
  }

  /// Faults of one entry, target, direction or kind of store fault do not
  /// overlap. Returns false if the fault has no room.
  bool reserve(const planned_fault &Fault) {
    std::string Lane = "store";
    if (isAtEntry(Fault.Kind))
      Lane = "entry " + std::to_string(Fault.Index);
    else if (isAtTarget(Fault.Kind))
      Lane = "target " + std::to_string(Fault.Index);
    else if (isCut(Fault.Kind))
      Lane = "cut " + Fault.From + " " + Fault.To;
    else if (Fault.Amount > 0)
      Lane += " calls";
    milliseconds &BusyUntil = Lanes[Lane];
    if (BusyUntil > Fault.Start)
      return false;
    // A stop may take this long; the entry is started again when it ends.
    if (Fault.Kind == fault_kind::StopEntry) {
      BusyUntil = Fault.Start + MaxStop;
      return true;
    }
    // An entry needs some time after a restart to be worth another fault.
    BusyUntil = Fault.End + 1000ms;
    return true;
  }

  std::mt19937_64 Random;
  milliseconds Length;
  const deployment &Plan;
  std::map<std::string, milliseconds> Lanes;
  std::vector<planned_fault> Faults;
};

} // namespace

std::vector<planned_fault> makeSchedule(std::uint64_t Seed, milliseconds Length,
                                        const deployment &Plan) {
  return schedule_maker(Seed, Length, Plan).make();
}

} // namespace test_support
