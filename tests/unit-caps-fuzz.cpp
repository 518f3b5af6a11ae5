#include "skylarkdyke/caps/share_ledger.hpp"

#include <array>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <set>

// Its macro for "new" must not reach the headers above.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

namespace {

const caps::cap_id Region = caps::region_cap{base::region_name("r")};
constexpr unsigned Seats = 3;
constexpr std::size_t Nodes = 4;

/// Ways in which a ledger can be wrong; each must be found by the check.
struct faults {
  bool ReturnsAtLoanEnd = false;
  bool CountsFromReceipt = false;
  bool LendsUsedShare = false;
};

/// The rules of section 6.2 for one cap in their simplest form. Asks for loans
/// all the time.
template <typename Faults> class simple_ledger {
public:
  explicit simple_ledger(base::incarnation_id Self)
      : NextId(Self.Value << 32) {}
  void configure(const config::document &Document) {
    Whole = Document.Regions.front().CapPerSecond;
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
  std::vector<caps::loan_request> wantedLoans(std::size_t /*PeerCount*/,
                                              base::boot_time Now) {
    Asked[NextId] = Now;
    return {{NextId++, Region, Whole / 4, 0}};
  }
  std::optional<caps::loan_grant> lend(const caps::loan_request &Request,
                                       base::boot_time Now) {
    const std::uint64_t Used = Faults::value().LendsUsedShare ? 0 : used(Now);
    const std::uint64_t Own = minus(seat(Now), sum(Lent, Now));
    const std::uint64_t Amount =
        std::min({Request.Amount, Own, minus(limit(Now), Used)});
    const auto Window = Faults::value().ReturnsAtLoanEnd ? 0s : 1s;
    Lent.emplace_back(Now + 2s + Window, Amount);
    return caps::loan_grant{Request.RequestId, Region, Amount, 2000ms};
  }
  bool borrow(const caps::loan_grant &Grant, base::boot_time Now) {
    const auto Found = Asked.find(Grant.RequestId);
    if (Found == Asked.end())
      return false;
    Borrowed.emplace_back(
        (Faults::value().CountsFromReceipt ? Now : Found->second) + 2s,
        Grant.Amount);
    Asked.erase(Found);
    return true;
  }

private:
  using amounts = std::deque<std::pair<base::boot_time, std::uint64_t>>;
  static std::uint64_t minus(std::uint64_t Left, std::uint64_t Right) {
    return Left > Right ? Left - Right : 0;
  }
  static std::uint64_t sum(const amounts &Of, base::boot_time After) {
    std::uint64_t Sum = 0;
    for (const auto &[Time, Amount] : Of)
      Sum += Time > After ? Amount : 0;
    return Sum;
  }
  std::uint64_t used(base::boot_time Now) const { return sum(Taken, Now - 1s); }
  std::uint64_t seat(base::boot_time Now) const {
    return From <= Now && Now < Until ? Whole / Seats : 0;
  }
  std::uint64_t limit(base::boot_time Now) const {
    return minus(seat(Now), sum(Lent, Now)) + sum(Borrowed, Now);
  }

  std::uint64_t NextId;
  std::uint64_t Whole = 0;
  base::boot_time From = base::boot_time::min();
  base::boot_time Until = base::boot_time::min();
  amounts Taken, Lent, Borrowed;
  std::map<std::uint64_t, base::boot_time> Asked;
};

struct step {
  unsigned Action, Node, Pick, Wait;

  friend std::ostream &operator<<(std::ostream &Out, const step &Step) {
    return Out << Step.Action << '/' << Step.Node << '/' << Step.Pick << '/'
               << Step.Wait;
  }
};

/// Ledgers connected by a network that delays, loses, repeats and reorders
/// messages. A node is paused as long as no step names it.
template <typename Ledger> class world {
public:
  world() {
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      install(Node);
    for (std::size_t Node = 0; Node < Seats; ++Node)
      Ledgers[Node].holdSeatUntil(Far);
  }

  /// \return false if more was taken in a window than allowed
  bool run(const std::vector<step> &Steps) {
    // Mostly none, so that many things happen within one window.
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
    // Mostly one node is busy, so that the others have something to lend.
    const std::size_t Taker = Action < 19 ? Busy : Node;
    if (Action < 30)
      while (Ledgers[Taker].tryTake({{Region, 1 + Step.Pick % 3}}, Now))
        Taken.emplace_back(Now, 1 + Step.Pick % 3);
    else if (Action < 31)
      Busy = Node;
    else if (Action < 50)
      ask(Action < 40 ? Busy : Node);
    else if (Action < 92 && !Network.empty())
      deliver(Step.Pick % Network.size(), Action);
    else if (Action < 94)
      Caps.push_back(Step.Pick % 61);
    else if (Action < 97)
      install(Node);
    else if (Action == 97)
      replace(Node);
    else
      passSeat(Node);
  }

  void ask(std::size_t Node) {
    for (const caps::loan_request &Each :
         Ledgers[Node].wantedLoans(Nodes - 1, Now)) {
      const std::size_t Peer =
          Each.Renews != 0 ? AskedPeer[Each.Renews]
                           : (Node + 1 + NextPeer++ % (Nodes - 1)) % Nodes;
      AskedPeer[Each.RequestId] = Peer;
      Network.push_back({Node, Peer, Each});
    }
  }

  void deliver(std::size_t Index, unsigned Action) {
    const message Message = Network[Index];
    const bool Repeat = Action < 56;
    const bool Lose = Action >= 88;
    if (!Repeat)
      Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
    if (Lose)
      return;
    if (const auto *Request =
            std::get_if<caps::loan_request>(&Message.Content)) {
      if (const auto Grant = Ledgers[Message.To].lend(*Request, Now))
        Network.push_back({Message.To, Message.From, *Grant});
    } else {
      LoansAccepted += Ledgers[Message.To].borrow(
          std::get<caps::loan_grant>(Message.Content), Now);
    }
  }

  void install(std::size_t Node) {
    config::document Document;
    Document.EntrySeats = Seats;
    Document.Regions.push_back({base::region_name("r"), Caps.back(), {}});
    Ledgers[Node].configure(Document);
    Installed[Node] = Caps.back();
    Highest.emplace_back(Now,
                         *std::max_element(Installed.begin(), Installed.end()));
  }

  /// A new process takes the place, the address and the messages of the old.
  void replace(std::size_t Node) {
    Ledgers[Node] = Ledger(base::incarnation_id{++Incarnation});
    install(Node);
    if (Seat.count(Node) != 0)
      FreeSeats.push_back(Now + caps::SeatHandoverDelay);
    Seat.erase(Node);
  }

  void passSeat(std::size_t Node) {
    if (Seat.erase(Node) != 0) {
      FreeSeats.push_back(Ledgers[Node].seatFreeAt(Now));
      Ledgers[Node].releaseSeat();
    } else if (!FreeSeats.empty()) {
      Ledgers[Node].holdSeatUntil(Far, FreeSeats.front());
      FreeSeats.pop_front();
      Seat.insert(Node);
    }
  }

  std::uint64_t takenInWindow() const {
    std::uint64_t Sum = 0;
    for (auto Each = Taken.rbegin();
         Each != Taken.rend() && Each->first > Now - 1s; ++Each)
      Sum += Each->second;
    return Sum;
  }

  /// The highest cap in force at any node since the oldest loan that may have
  /// been used in the window began.
  std::uint64_t allowed() const {
    std::uint64_t Cap = 0;
    for (auto Each = Highest.rbegin(); Each != Highest.rend(); ++Each) {
      Cap = std::max(Cap, Each->second);
      if (Each->first < Now - caps::SeatHandoverDelay)
        break;
    }
    return Cap;
  }

  static constexpr base::boot_time Far = base::boot_time(1000h);
  base::boot_time Now{100s};
  std::uint64_t Incarnation = 0;
  std::size_t NextPeer = 0;
  std::size_t Busy = 0;
  std::vector<Ledger> Ledgers = [] {
    std::vector<Ledger> All;
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      All.emplace_back(base::incarnation_id{1000 + Node});
    return All;
  }();
  std::vector<std::uint64_t> Caps{30};
  std::vector<std::uint64_t> Installed = std::vector<std::uint64_t>(Nodes);
  std::vector<std::pair<base::boot_time, std::uint64_t>> Highest;
  std::set<std::size_t> Seat{0, 1, 2};
  std::deque<base::boot_time> FreeSeats;
  std::map<std::uint64_t, std::size_t> AskedPeer;
  std::vector<message> Network;
  std::vector<std::pair<base::boot_time, std::uint64_t>> Taken;
};

template <bool ReturnsAtLoanEnd, bool CountsFromReceipt, bool LendsUsedShare>
struct with_faults {
  static constexpr faults value() {
    return {ReturnsAtLoanEnd, CountsFromReceipt, LendsUsedShare};
  }
};

rc::Gen<std::vector<step>> anySteps() {
  const auto Number = rc::gen::inRange(0U, 1000U);
  const auto Steps = rc::gen::container<std::vector<step>>(rc::gen::build<step>(
      rc::gen::set(&step::Action, Number), rc::gen::set(&step::Node, Number),
      rc::gen::set(&step::Pick, Number), rc::gen::set(&step::Wait, Number)));
  // Up to this number of steps.
  return rc::gen::resize(1500, Steps);
}

/// Runs that exceed a cap.
template <typename Ledger> unsigned failuresOf(unsigned Runs) {
  unsigned Failures = 0;
  for (std::uint64_t Seed = 0; Seed < Runs; ++Seed)
    Failures += !world<Ledger>().run(anySteps()(rc::Random(Seed), 100).value());
  return Failures;
}

} // namespace

TEST_GROUP(caps_fuzz){};

// Guards against any order of takes, loans, lost, repeated and late messages,
// pauses, replacements, seat changes and cap changes by which the entries
// together exceed a cap within 1 s.
TEST(caps_fuzz, AllEntriesTogetherStayUnderTheCap) {
  std::size_t Loans = 0;
  CHECK_TRUE(rc::check([&Loans] {
    world<caps::share_ledger> World;
    RC_ASSERT(World.run(*anySteps()));
    Loans += World.LoansAccepted;
  }));
  // Rare orders need more runs than rapidcheck does by default.
  CHECK_EQUAL(0U, failuresOf<caps::share_ledger>(4000));
  // Without loans, the checks above would show nothing.
  CHECK_TRUE(Loans > 1000);
}

// Guards against a check that cannot fail: it must pass the rules in their
// simplest form, and find each rule that is left out.
TEST(caps_fuzz, TheCheckFindsEachOmittedRule) {
  constexpr unsigned Runs = 600;
  CHECK_EQUAL(
      0U, (failuresOf<simple_ledger<with_faults<false, false, false>>>(Runs)));
  CHECK_TRUE(
      (failuresOf<simple_ledger<with_faults<true, false, false>>>(Runs)) > 0);
  CHECK_TRUE(
      (failuresOf<simple_ledger<with_faults<false, true, false>>>(Runs)) > 0);
  CHECK_TRUE(
      (failuresOf<simple_ledger<with_faults<false, false, true>>>(Runs)) > 0);
}
