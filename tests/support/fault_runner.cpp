#include "support/fault_runner.hpp"

#include "skylarkdyke/store/seat_admin.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <thread>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;

// Leaving waits for the last lookup answer, at most 1 s in these documents, for
// requests in flight and for the share of the seat to become free.
static constexpr auto StopLimit = 20s;
static constexpr auto SeatTimeout = 300ms;

fault_runner::fault_runner(cluster &Cluster, version_watch &Watch, trace &Trace)
    : Cluster(Cluster), Watch(Watch), Trace(Trace) {}

void fault_runner::run(const std::vector<planned_fault> &Faults) {
  struct step {
    const planned_fault *Fault;
    bool Begins;
  };
  std::multimap<std::chrono::milliseconds, step> Steps;
  for (const planned_fault &Fault : Faults) {
    Steps.emplace(Fault.Start, step{&Fault, true});
    Steps.emplace(Fault.End, step{&Fault, false});
  }
  const auto Start = std::chrono::steady_clock::now();
  for (const auto &[At, Step] : Steps) {
    std::this_thread::sleep_until(Start + At);
    Trace.add((Step.Begins ? "begin " : "end   ") +
              describe(*Step.Fault, Cluster.Plan));
    change(*Step.Fault, Step.Begins);
    endStops(0ms);
    confirmSeats();
  }
  endStops(StopLimit);
}

void fault_runner::change(const planned_fault &Fault, bool Begins) {
  switch (Fault.Kind) {
  case fault_kind::CutRegions:
  case fault_kind::CutDomains:
  case fault_kind::LoseAnswers:
    if (Begins)
      Active.push_back(Fault);
    else
      Active.erase(std::find_if(
          Active.begin(), Active.end(), [&](const planned_fault &Each) {
            return Each.Kind == Fault.Kind && Each.Start == Fault.Start;
          }));
    return setProxyFaults();
  case fault_kind::TruncateAnswers:
    return setTarget(Fault, {{"truncates_answers", Begins}});
  case fault_kind::DelayAnswers:
    return setTarget(Fault, {{"late_us", Begins ? Fault.Amount * 1000 : 0}});
  case fault_kind::RefuseStore:
    StoreIsUp = !Begins;
    return Cluster.setStoreFaults({{"outage", Begins ? "refuse" : "none"}});
  case fault_kind::HangStore:
    StoreIsUp = !Begins;
    return Cluster.setStoreFaults({{"outage", Begins ? "hang" : "none"}});
  case fault_kind::LoseStoreAnswers:
    return Cluster.setStoreFaults(
        {{"lose_answers", Begins ? Fault.Amount : 0}});
  case fault_kind::StaleStoreReads:
    return Cluster.setStoreFaults({{"stale_reads", Begins ? Fault.Amount : 0}});
  default:
    return Begins ? begin(Fault) : end(Fault);
  }
}

void fault_runner::begin(const planned_fault &Fault) {
  if (Fault.Kind == fault_kind::CrashTarget)
    return Cluster.crashTarget(Cluster.Plan.Targets.at(Fault.Index),
                               Fault.End - Fault.Start);
  if (Fault.Kind == fault_kind::FreezeEntry)
    return Cluster.freezeEntry(Fault.Index);
  Watch.processChanges(Fault.Index);
  if (Fault.Kind == fault_kind::KillEntry) {
    Cluster.killEntry(Fault.Index);
    return rememberSeats(Cluster.Plan.Entries.at(Fault.Index).Name);
  }
  Stops.emplace(Fault.Index, base::boot_clock::now() + StopLimit);
  Cluster.stopEntry(Fault.Index, 0ms);
}

void fault_runner::end(const planned_fault &Fault) {
  if (Fault.Kind == fault_kind::FreezeEntry)
    return Cluster.resumeEntry(Fault.Index);
  // Crashed targets come back by themselves, and stopped entries are started
  // again when they have ended.
  if (Fault.Kind == fault_kind::KillEntry)
    startAgain(Fault.Index);
}

/// Starts entries again that have stopped, and kills those that did not stop in
/// time. Waits up to MaxWait for each.
void fault_runner::endStops(std::chrono::milliseconds MaxWait) {
  for (auto Each = Stops.begin(); Each != Stops.end();) {
    const auto [Entry, Limit] = *Each;
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Limit - base::boot_clock::now());
    const auto Exit = Cluster.stopEntry(Entry, std::clamp(Left, 0ms, MaxWait));
    if (!Exit && Left > 0ms && MaxWait == 0ms) {
      ++Each;
      continue;
    }
    const std::string Text =
        "graceful stop of " + Cluster.Plan.Entries.at(Entry).Name +
        " ended with " +
        (Exit ? "exit code " + std::to_string(*Exit) : "no exit in time");
    Trace.add(Text);
    if (Exit != 0) {
      const bool NamesItself = !Cluster.keyPrefix(Entry, "stock-view").empty();
      Violations.push_back(
          {std::chrono::system_clock::now(),
           Text + (NamesItself ? ", its lookups name it" : "")});
      Cluster.killEntry(Entry);
    }
    startAgain(Entry);
    Each = Stops.erase(Each);
  }
}

void fault_runner::startAgain(std::size_t Entry) {
  Cluster.startEntry(Entry);
  Watch.processChanges(Entry);
}

/// Reads the seats of an ended process from its log: "E302 SeatClaimed seat 8
/// by entry-5, incarnation 30da0d4ea04b26ea".
void fault_runner::rememberSeats(const std::string &Entry) {
  static constexpr std::string_view Mark = "SeatClaimed seat ";
  static constexpr std::string_view Holder = ", incarnation ";
  std::ifstream Log(Cluster.directory() / (Entry + ".log"));
  for (std::string Line; std::getline(Log, Line);) {
    const std::size_t Seat = Line.find(Mark);
    const std::size_t Incarnation = Line.find(Holder);
    if (Seat != std::string::npos && Incarnation != std::string::npos)
      DeadHolders[std::strtoul(Line.c_str() + Seat + Mark.size(), nullptr, 10)]
          .insert(Line.substr(Incarnation + Holder.size()));
  }
}

/// Does what an operator does in the console after an instance was destroyed,
/// as soon as the store can be reached; otherwise its seat would be unused for
/// the rest of the run, and after ten kills no request could pass.
void fault_runner::confirmSeats() {
  for (auto Each = DeadHolders.begin(); StoreIsUp && Each != DeadHolders.end();)
    Each = confirmSeat(Each->first) ? DeadHolders.erase(Each) : std::next(Each);
}

/// Returns false if the seat must be looked at again.
bool fault_runner::confirmSeat(unsigned Seat) {
  store::client Store(Cluster.Plan.StoreAddress);
  const auto Read =
      store::readSeat(Store, Seat, base::boot_clock::now() + SeatTimeout);
  if (std::holds_alternative<store::unavailable>(Read))
    return false;
  const auto *Record = std::get_if<store::seat_record>(&Read);
  if (Record == nullptr || Record->State != store::seat_state::Held ||
      DeadHolders[Seat].count(base::toString(Record->Incarnation)) == 0)
    return true;
  const auto Result = store::confirmDestroyed(
      Store, Seat, Record->Incarnation, base::operator_name("ana"),
      base::boot_clock::now() + SeatTimeout);
  const bool IsDone = std::holds_alternative<store::written>(Result);
  Trace.add("seat " + std::to_string(Seat) + " of " + Record->Entry.str() +
            (IsDone ? " confirmed as free" : " could not be confirmed"));
  return IsDone;
}

void fault_runner::setProxyFaults() {
  json Cuts = json::array();
  json Addresses = json::object();
  for (const planned_fault &Fault : Active)
    if (Fault.Kind == fault_kind::LoseAnswers)
      Addresses[Cluster.Plan.Targets.at(Fault.Index).Id] = {
          {"drop_answers", true}};
    else
      Cuts.push_back({{"from", Fault.From}, {"to", Fault.To}});
  Cluster.setFaults({{"cuts", Cuts}, {"addresses", Addresses}});
}

void fault_runner::setTarget(const planned_fault &Fault, const json &Change) {
  const auto &Target = Cluster.Plan.Targets.at(Fault.Index);
  json Behaviour = Change;
  Behaviour["target"] = base::toString(Target.Listen);
  Cluster.setBehaviour(Target.Service, Behaviour);
}

} // namespace test_support
