#include "skylarkdyke/caps/share_ledger.hpp"
#include "skylarkdyke/caps/sliding_window.hpp"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const caps::cap_id Region = caps::region_cap{base::region_name("r")};
static const caps::cap_id Link =
    caps::link_cap{base::region_name("r"), base::region_name("s")};
static constexpr base::boot_time Start{100s};

TEST_GROUP(caps_share_ledger) {
  caps::share_ledger Lender{base::incarnation_id{1}};
  caps::share_ledger Borrower{base::incarnation_id{2}};

  static config::document document(std::uint64_t Cap, unsigned Seats) {
    config::document Document;
    Document.EntrySeats = Seats;
    Document.Regions.push_back({base::region_name("r"), Cap, {}});
    Document.Links.push_back(
        {base::region_name("r"), base::region_name("s"), 10 * Cap, 1ms});
    return Document;
  }

  void setup() override {
    for (caps::share_ledger *Ledger : {&Lender, &Borrower}) {
      Ledger->configure(document(32, 3));
      Ledger->holdSeatUntil(Start + 1h);
    }
  }

  static std::uint64_t takeAll(caps::share_ledger & Ledger,
                               base::boot_time Now) {
    std::uint64_t Count = 0;
    while (Ledger.tryTake({{Region, 1}}, Now))
      ++Count;
    return Count;
  }

  /// Demands more than the share, so that the ledger requests a loan.
  caps::loan_request requestLoan(base::boot_time Now) {
    takeAll(Borrower, Now);
    Borrower.tryTake({{Region, 5}}, Now);
    return Borrower.createLoanRequests(1, Now).at(0);
  }
};

// Guards against shares that are rounded up, so that all entries together
// exceed the cap.
TEST(caps_share_ledger, DividesTheCapAndRoundsDown) {
  CHECK_EQUAL(10U, takeAll(Lender, Start));
  CHECK_EQUAL(0U, takeAll(Lender, Start + 999ms));
  CHECK_EQUAL(10U, takeAll(Lender, Start + 1s + 20ms));
}

// Guards against a request that uses one cap although another cap refuses it.
TEST(caps_share_ledger, TakesAllDemandsOrNone) {
  CHECK_FALSE(Lender.tryTake({{Region, 1}, {Link, 107}}, Start));
  CHECK_FALSE(Lender.tryTake({{Region, 6}, {Region, 5}}, Start));
  CHECK_FALSE(Lender.tryTake({{Region, UINT64_MAX}, {Region, 2}}, Start));
  CHECK_TRUE(Lender.tryTake({{Region, 10}, {Link, 106}}, Start));
  Lender.refund({Region, 4}, Start, Start + 500ms);
  CHECK_EQUAL(4U, takeAll(Lender, Start + 500ms));
  CHECK_FALSE(Lender.tryTake(
      {{caps::region_cap{base::region_name("other")}, 0}}, Start));
}

// Guards against a process that was paused and then uses loans or a seat that
// have expired in the meantime.
TEST(caps_share_ledger, LoansAndSeatExpireDuringAPause) {
  const caps::loan_request Request = requestLoan(Start);
  const auto Grant = Lender.lend(Request, Start + 100ms);
  CHECK_TRUE(Grant.has_value());
  CHECK_TRUE(Borrower.acceptGrant(*Grant, Start + 200ms));
  CHECK_FALSE(Borrower.acceptGrant(*Grant, Start + 200ms));
  const std::uint64_t Lent = Grant->Amount;
  CHECK_EQUAL(10 + Lent, Borrower.states(Start + 1999ms)[0].Share);
  CHECK_EQUAL(10U, Borrower.states(Start + 2s)[0].Share);
  CHECK_EQUAL(10 - Lent, Lender.states(Start + 3100ms)[0].Share);
  CHECK_EQUAL(10U, Lender.states(Start + 3110ms)[0].Share);
  CHECK_EQUAL(0U, takeAll(Borrower, Start + 1h));
}

// Guards against a borrower that counts the duration of a late grant from its
// receipt instead of the request.
TEST(caps_share_ledger, IgnoresAGrantThatArrivesAfterItsEnd) {
  const auto Grant = Lender.lend(requestLoan(Start), Start);
  CHECK_FALSE(Borrower.acceptGrant(*Grant, Start + 2s));
}

// Guards against a restarted process that accepts a grant for its predecessor:
// both have requested their first loan.
TEST(caps_share_ledger, IgnoresAGrantToTheReplacedProcess) {
  const auto Grant = Lender.lend(requestLoan(Start), Start);
  Borrower = caps::share_ledger(base::incarnation_id{3});
  Borrower.configure(document(32, 3));
  requestLoan(Start + 1900ms);
  CHECK_FALSE(Borrower.acceptGrant(*Grant, Start + 1900ms));
}

// Guards against an underflow of the share, and a sum of shares above the new
// cap, when a cap is lowered below the amount lent.
TEST(caps_share_ledger, KeepsALoweredCapWhileLoansAreOutstanding) {
  Borrower.acceptGrant(*Lender.lend(requestLoan(Start), Start), Start);
  const std::uint64_t Lent = Borrower.states(Start)[0].Share - 10;
  CHECK_TRUE(Lent > 3);
  Lender.configure(document(9, 3));
  Borrower.configure(document(9, 3));
  CHECK_EQUAL(0U, Lender.states(Start)[0].Share);
  CHECK_EQUAL(3 + Lent * 9 / 32, Borrower.states(Start)[0].Share);
  CHECK_FALSE(Lender.tryTake({{Region, 1}}, Start));
  Lender.configure(document(0, 3));
  Lender.configure(document(32, 3));
  CHECK_EQUAL(10 - Lent, Lender.states(Start)[0].Share);
}

// Guards against a cap that is removed and added again with a full share while
// its loans have not expired.
TEST(caps_share_ledger, KeepsLoansOfARemovedCap) {
  CHECK_TRUE(Lender.lend(requestLoan(Start), Start).has_value());
  const std::uint64_t Remaining = Lender.states(Start)[0].Share;
  Lender.configure(config::document{});
  CHECK_FALSE(Lender.tryTake({{Region, 1}}, Start));
  Lender.configure(document(32, 3));
  CHECK_EQUAL(Remaining, takeAll(Lender, Start));
}

// Guards against a document that changes the number of seats, so that entries
// divide a cap differently.
TEST(caps_share_ledger, KeepsTheNumberOfSeats) {
  Lender.configure(document(32, 1));
  CHECK_EQUAL(10U, takeAll(Lender, Start));
}

// Guards against two entries that use one seat: the next holder must wait for
// the loans of the previous one to expire, and an extension must not end that
// wait.
TEST(caps_share_ledger, SeatIsReusedAfterItsLoansHaveExpired) {
  CHECK_TRUE(Lender.lend(requestLoan(Start), Start).has_value());
  Lender.releaseSeat();
  CHECK_EQUAL(0U, takeAll(Lender, Start));
  CHECK_TRUE(Lender.seatFreeAt(Start) == Start + caps::SeatHandoverDelay);
  Borrower.holdSeatUntil(Start + 1h, Start + caps::SeatHandoverDelay);
  Borrower.holdSeatUntil(Start + 2h);
  CHECK_EQUAL(0U, Borrower.states(Start + 3s)[0].Share);
  CHECK_EQUAL(10U, Borrower.states(Start + caps::SeatHandoverDelay)[0].Share);
}

// Guards against a loan that outlives the lender's right to the seat.
TEST(caps_share_ledger, LendsNoLongerThanTheSeatIsHeld) {
  Lender.holdSeatUntil(Start + 300ms);
  CHECK_TRUE(Lender.lend(requestLoan(Start), Start)->Duration == 300ms);
}

// Guards against renewals that subtract the amount from the lender's share
// twice: after ten minutes of renewals, both shares still add up to two seats.
TEST(caps_share_ledger, ARenewalExtendsTheSameAmount) {
  base::boot_time Now = Start;
  for (int Tick = 0; Tick < 6000; ++Tick, Now += 100ms) {
    takeAll(Borrower, Now);
    Borrower.tryTake({{Region, 20}}, Now);
    for (const caps::loan_request &Request :
         Borrower.createLoanRequests(1, Now))
      if (const auto Grant = Lender.lend(Request, Now))
        Borrower.acceptGrant(*Grant, Now);
  }
  const std::uint64_t Lent = 10 - Lender.states(Now)[0].Share;
  CHECK_EQUAL(10U, Lent);
  CHECK_EQUAL(10 + Lent, Borrower.states(Now)[0].Share);
}

// Guards against an amount that is borrowed twice, when the grants for two
// renewals of a loan arrive and the first one is late, and against an amount
// that is lost with the first grant.
TEST(caps_share_ledger, AcceptsOnlyTheLatestRenewal) {
  CHECK_TRUE(
      Borrower.acceptGrant(*Lender.lend(requestLoan(Start), Start), Start));
  const std::uint64_t Lent = Borrower.states(Start)[0].Share - 10;
  const auto First = Lender.lend(requestLoan(Start + 1s), Start + 1s);
  const caps::loan_request Renewal = requestLoan(Start + 1500ms);
  CHECK_TRUE(Renewal.Renews != 0);
  const auto Second = Lender.lend(Renewal, Start + 1500ms);
  CHECK_EQUAL(Lent, Second->Amount);
  CHECK_TRUE(Borrower.acceptGrant(*Second, Start + 1500ms));
  CHECK_FALSE(Borrower.acceptGrant(*First, Start + 1500ms));
  CHECK_EQUAL(10 + Lent, Borrower.states(Start + 1500ms)[0].Share);
  CHECK_EQUAL(10 - Lent, Lender.states(Start + 1500ms)[0].Share);
}

// Guards against units that leave the window early, for any instant within a
// bucket, and against a clock reading that is older than the latest one.
TEST(caps_share_ledger, WindowKeepsUnitsForItsFullLength) {
  for (int Offset = 0; Offset < 60; ++Offset) {
    caps::sliding_window Window;
    const base::boot_time At = Start + Offset * 1ms;
    Window.add(7, At);
    Window.add(1, Start - 5s);
    CHECK_EQUAL(8U, Window.sum(At + 1s - 1ns));
    CHECK_EQUAL(0U, Window.sum(At + 1s + caps::sliding_window::BucketWidth));
  }
}
