#include "skylarkdyke/caps/share_ledger.hpp"

#include <array>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <set>

// Last, because the CppUTest macro for "new" must not reach the headers above.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

namespace {

const caps::cap_id Region = caps::region_cap{base::region_name("r")};
constexpr unsigned Seats = 3;
constexpr std::size_t Nodes = 4;

/// Faults injected into the reference implementation. The check must detect
/// each of them.
struct faults {
  bool ReturnsAtLoanEnd = false;
  bool CountsFromReceipt = false;
  bool LendsUsedShare = false;
};

/// Simple reference implementation of the loan protocol (docs/design.md,
/// section 6.2) for one cap. Requests a loan at every tick.
template <typename Faults> class reference_ledger {
public:
  explicit reference_ledger(base::incarnation_id Self)
      : NextId(Self.Value << 32) {}
  void configure(const config::document &Document) {
    CapLimit = Document.Regions.front().CapPerSecond;
  }
  void holdSeatUntil(base::boot_time Deadline,
                     base::boot_time UsableFrom = base::boot_time::min()) {
    From = UsableFrom;
    Until = Deadline;
  }
  void releaseSeat() { Until = base::boot_time::min(); }
  static base::boot_time seatFreeAt(base::boot_time Now) {
    return Now + caps::SeatHandoverDelay;
  }
  bool tryTake(const std::vector<caps::demand> &Demands, base::boot_time Now) {
    if (used(Now) + Demands[0].Amount > limit(Now))
      return false;
    Taken.emplace_back(Now, Demands[0].Amount);
    return true;
  }
  std::vector<caps::loan_request> createLoanRequests(std::size_t /*PeerCount*/,
                                                     base::boot_time Now) {
    PendingRequests[NextId] = Now;
    return {{NextId++, Region, CapLimit / 4, 0}};
  }
  std::optional<caps::loan_grant> lend(const caps::loan_request &Request,
                                       base::boot_time Now) {
    const std::uint64_t Used = Faults::value().LendsUsedShare ? 0 : used(Now);
    const std::uint64_t UnlentShare =
        difference(seatShare(Now), sumAfter(Lent, Now));
    const std::uint64_t Amount =
        std::min({Request.Amount, UnlentShare, difference(limit(Now), Used)});
    const auto Window = Faults::value().ReturnsAtLoanEnd ? 0s : 1s;
    Lent.emplace_back(Now + 2s + Window, Amount);
    return caps::loan_grant{Request.RequestId, Region, Amount, 2000ms};
  }
  bool acceptGrant(const caps::loan_grant &Grant, base::boot_time Now) {
    const auto Found = PendingRequests.find(Grant.RequestId);
    if (Found == PendingRequests.end())
      return false;
    Borrowed.emplace_back(
        (Faults::value().CountsFromReceipt ? Now : Found->second) + 2s,
        Grant.Amount);
    PendingRequests.erase(Found);
    return true;
  }

private:
  using amounts = std::deque<std::pair<base::boot_time, std::uint64_t>>;
  static std::uint64_t difference(std::uint64_t Left, std::uint64_t Right) {
    return Left > Right ? Left - Right : 0;
  }
  static std::uint64_t sumAfter(const amounts &Of, base::boot_time After) {
    std::uint64_t Sum = 0;
    for (const auto &[Time, Amount] : Of)
      Sum += Time > After ? Amount : 0;
    return Sum;
  }
  std::uint64_t used(base::boot_time Now) const {
    return sumAfter(Taken, Now - 1s);
  }
  std::uint64_t seatShare(base::boot_time Now) const {
    return From <= Now && Now < Until ? CapLimit / Seats : 0;
  }
  std::uint64_t limit(base::boot_time Now) const {
    return difference(seatShare(Now), sumAfter(Lent, Now)) +
           sumAfter(Borrowed, Now);
  }

  std::uint64_t NextId;
  std::uint64_t CapLimit = 0;
  base::boot_time From = base::boot_time::min();
  base::boot_time Until = base::boot_time::min();
  amounts Taken, Lent, Borrowed;
  std::map<std::uint64_t, base::boot_time> PendingRequests;
};

struct step {
  unsigned Action, Node, Argument, Wait;

  friend std::ostream &operator<<(std::ostream &Out, const step &Step) {
    return Out << Step.Action << '/' << Step.Node << '/' << Step.Argument << '/'
               << Step.Wait;
  }
};

/// Simulation of ledgers connected by a network that delays, loses, duplicates
/// and reorders messages. A node is paused while no step selects it.
template <typename Ledger> class simulation {
public:
  simulation() {
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      install(Node);
    for (std::size_t Node = 0; Node < Seats; ++Node)
      Ledgers[Node].holdSeatUntil(NoDeadline);
  }

  /// \return false if more units were taken within a window than allowed
  bool run(const std::vector<step> &Steps) {
    // Mostly no wait, so that many steps fall into one window.
    constexpr std::array<std::chrono::milliseconds, 20> Waits{
        0ms, 0ms, 0ms, 0ms, 0ms, 0ms,  0ms,  0ms,   0ms,   0ms,
        0ms, 0ms, 1ms, 5ms, 9ms, 20ms, 60ms, 150ms, 400ms, 990ms};
    for (const step &Step : Steps) {
      Now += Waits[Step.Wait % Waits.size()];
      apply(Step, Step.Node % Nodes);
      if (takenInWindow() > allowed())
        return false;
    }
    return true;
  }

  std::size_t LoansAccepted = 0;

private:
  struct message {
    std::size_t From, To;
    std::variant<caps::loan_request, caps::loan_grant> Content;
  };

  void apply(const step &Step, std::size_t Node) {
    const unsigned Action = Step.Action % 100;
    // Usually one node takes all units, so that the others have unused share.
    const std::size_t Consumer = Action < 19 ? BusyNode : Node;
    if (Action < 30)
      while (Ledgers[Consumer].tryTake({{Region, 1 + Step.Argument % 3}}, Now))
        Taken.emplace_back(Now, 1 + Step.Argument % 3);
    else if (Action < 31)
      BusyNode = Node;
    else if (Action < 50)
      requestLoans(Action < 40 ? BusyNode : Node);
    else if (Action < 92 && !Network.empty())
      deliver(Step.Argument % Network.size(), Action);
    else if (Action < 94)
      CapHistory.push_back(Step.Argument % 61);
    else if (Action < 97)
      install(Node);
    else if (Action == 97)
      restart(Node);
    else
      transferSeat(Node);
  }

  void requestLoans(std::size_t Node) {
    for (const caps::loan_request &Request :
         Ledgers[Node].createLoanRequests(Nodes - 1, Now)) {
      const std::size_t Peer =
          Request.Renews != 0 ? LenderByRequest[Request.Renews]
                              : (Node + 1 + NextPeer++ % (Nodes - 1)) % Nodes;
      LenderByRequest[Request.RequestId] = Peer;
      Network.push_back({Node, Peer, Request});
    }
  }

  void deliver(std::size_t Index, unsigned Action) {
    const message Message = Network[Index];
    const bool IsDuplicate = Action < 56;
    const bool IsLost = Action >= 88;
    if (!IsDuplicate)
      Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
    if (IsLost)
      return;
    if (const auto *Request =
            std::get_if<caps::loan_request>(&Message.Content)) {
      if (const auto Grant = Ledgers[Message.To].lend(*Request, Now))
        Network.push_back({Message.To, Message.From, *Grant});
    } else {
      LoansAccepted += Ledgers[Message.To].acceptGrant(
          std::get<caps::loan_grant>(Message.Content), Now);
    }
  }

  void install(std::size_t Node) {
    config::document Document;
    Document.EntrySeats = Seats;
    Document.Regions.push_back({base::region_name("r"), CapHistory.back(), {}});
    Ledgers[Node].configure(Document);
    InstalledCaps[Node] = CapHistory.back();
    HighestCaps.emplace_back(
        Now, *std::max_element(InstalledCaps.begin(), InstalledCaps.end()));
  }

  /// Replaces the process of a node. The new process receives the messages that
  /// were sent to the old one.
  void restart(std::size_t Node) {
    Ledgers[Node] = Ledger(base::incarnation_id{++Incarnation});
    install(Node);
    if (SeatHolders.count(Node) != 0)
      FreeSeats.push_back(Now + caps::SeatHandoverDelay);
    SeatHolders.erase(Node);
  }

  void transferSeat(std::size_t Node) {
    if (SeatHolders.erase(Node) != 0) {
      FreeSeats.push_back(Ledgers[Node].seatFreeAt(Now));
      Ledgers[Node].releaseSeat();
    } else if (!FreeSeats.empty()) {
      Ledgers[Node].holdSeatUntil(NoDeadline, FreeSeats.front());
      FreeSeats.pop_front();
      SeatHolders.insert(Node);
    }
  }

  std::uint64_t takenInWindow() const {
    std::uint64_t Sum = 0;
    for (auto Position = Taken.rbegin();
         Position != Taken.rend() && Position->first > Now - 1s; ++Position)
      Sum += Position->second;
    return Sum;
  }

  /// Highest cap that any node has had since the start of the oldest loan
  /// that may have been used in the window.
  std::uint64_t allowed() const {
    std::uint64_t Cap = 0;
    for (auto Position = HighestCaps.rbegin(); Position != HighestCaps.rend();
         ++Position) {
      Cap = std::max(Cap, Position->second);
      if (Position->first < Now - caps::SeatHandoverDelay)
        break;
    }
    return Cap;
  }

  static constexpr base::boot_time NoDeadline = base::boot_time(1000h);
  base::boot_time Now{100s};
  std::uint64_t Incarnation = 0;
  std::size_t NextPeer = 0;
  std::size_t BusyNode = 0;
  std::vector<Ledger> Ledgers = [] {
    std::vector<Ledger> All;
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      All.emplace_back(base::incarnation_id{1000 + Node});
    return All;
  }();
  std::vector<std::uint64_t> CapHistory{30};
  std::vector<std::uint64_t> InstalledCaps = std::vector<std::uint64_t>(Nodes);
  std::vector<std::pair<base::boot_time, std::uint64_t>> HighestCaps;
  std::set<std::size_t> SeatHolders{0, 1, 2};
  std::deque<base::boot_time> FreeSeats;
  std::map<std::uint64_t, std::size_t> LenderByRequest;
  std::vector<message> Network;
  std::vector<std::pair<base::boot_time, std::uint64_t>> Taken;
};

template <bool ReturnsAtLoanEnd, bool CountsFromReceipt, bool LendsUsedShare>
struct with_faults {
  static constexpr faults value() {
    return {ReturnsAtLoanEnd, CountsFromReceipt, LendsUsedShare};
  }
};

rc::Gen<std::vector<step>> generateSteps() {
  const auto AnyNumber = rc::gen::inRange(0U, 1000U);
  const auto Steps = rc::gen::container<std::vector<step>>(
      rc::gen::build<step>(rc::gen::set(&step::Action, AnyNumber),
                           rc::gen::set(&step::Node, AnyNumber),
                           rc::gen::set(&step::Argument, AnyNumber),
                           rc::gen::set(&step::Wait, AnyNumber)));
  // Maximum number of steps.
  return rc::gen::resize(1500, Steps);
}

/// Number of simulation runs that exceed a cap.
template <typename Ledger> unsigned countFailures(unsigned Runs) {
  unsigned Failures = 0;
  for (std::uint64_t Seed = 0; Seed < Runs; ++Seed)
    Failures += !simulation<Ledger>().run(
        generateSteps()(rc::Random(Seed), 100).value());
  return Failures;
}

} // namespace

TEST_GROUP(caps_fuzz){};

// Guards against entries that together exceed a cap within 1 s, in any order of
// requests, loans, lost, duplicate and late messages, pauses, restarts, seat
// changes and cap changes.
TEST(caps_fuzz, AllEntriesTogetherStayUnderTheCap) {
  std::size_t Loans = 0;
  CHECK_TRUE(rc::check([&Loans] {
    simulation<caps::share_ledger> Simulation;
    RC_ASSERT(Simulation.run(*generateSteps()));
    Loans += Simulation.LoansAccepted;
  }));
  // Rare orders of events need more runs than the default of rapidcheck.
  CHECK_EQUAL(0U, countFailures<caps::share_ledger>(4000));
  // Without loans, the checks above would be meaningless.
  CHECK_TRUE(Loans > 1000);
}

// Guards against a check that cannot fail: it must accept the reference
// implementation and detect each injected fault.
TEST(caps_fuzz, CheckDetectsEachInjectedFault) {
  constexpr unsigned Runs = 600;
  CHECK_EQUAL(
      0U, (countFailures<reference_ledger<with_faults<false, false, false>>>(
              Runs)));
  CHECK_TRUE((countFailures<reference_ledger<with_faults<true, false, false>>>(
                 Runs)) > 0);
  CHECK_TRUE((countFailures<reference_ledger<with_faults<false, true, false>>>(
                 Runs)) > 0);
  CHECK_TRUE((countFailures<reference_ledger<with_faults<false, false, true>>>(
                 Runs)) > 0);
}
