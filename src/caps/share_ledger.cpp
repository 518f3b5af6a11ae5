#include "skylarkdyke/caps/share_ledger.hpp"

#include "skylarkdyke/caps/sliding_window.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <xxhash.h>

namespace skylarkdyke::caps {

namespace {

using namespace std::chrono_literals;

/// Age at which a loan is renewed.
constexpr std::chrono::milliseconds RenewAfter = 1000ms;
/// Time after which a request counts as lost and its amount is asked for again:
/// a tick of 100 ms at the peer and two link delays.
constexpr std::chrono::milliseconds AskAgainAfter = 300ms;
/// Bounds of memory and messages for one cap.
constexpr std::size_t MaxRequestsPerRound = 16;
constexpr std::size_t MaxLoansPerCap = 256;
/// Part of a seat's share that is never lent, so that an idle entry can serve
/// its first requests.
constexpr std::uint64_t ReserveDivisor = 16;
/// Part of the recent demand that is borrowed on top, for growth.
constexpr std::uint64_t GrowthDivisor = 8;

struct lent_amount {
  std::uint64_t RequestId;
  std::uint64_t Amount;
  base::boot_time ReturnAt;
  /// Request that this one renewed, or 0. The borrower names it again if it did
  /// not receive the grant.
  std::uint64_t PreviousId = 0;
  /// The lender needs this amount itself and did not extend the loan.
  bool Reclaimed = false;
};

struct borrowed_amount {
  std::uint64_t RequestId;
  std::uint64_t Amount;
  base::boot_time Deadline;
};

struct pending_request {
  std::uint64_t RequestId;
  std::uint64_t Renews;
  std::uint64_t Amount;
  base::boot_time AskedAt;
};

struct cap_id_hash {
  std::size_t operator()(const cap_id &Cap) const noexcept {
    if (const auto *Region = std::get_if<region_cap>(&Cap))
      return std::hash<base::region_name>()(Region->Region);
    const auto *Link = std::get_if<link_cap>(&Cap);
    return 31 * std::hash<base::region_name>()(Link->From) +
           std::hash<base::region_name>()(Link->To);
  }
};

std::uint64_t saturatingSum(std::uint64_t Left, std::uint64_t Right) {
  const std::uint64_t Sum = Left + Right;
  return Sum < Left ? std::numeric_limits<std::uint64_t>::max() : Sum;
}

/// Left - Right, but not below 0.
std::uint64_t difference(std::uint64_t Left, std::uint64_t Right) {
  return Left > Right ? Left - Right : 0;
}

/// Amount * Part / Whole, rounded down, for Part <= Whole and Whole > 0.
std::uint64_t scaled(std::uint64_t Amount, std::uint64_t Part,
                     std::uint64_t Whole) {
  __extension__ using wide = unsigned __int128;
  return static_cast<std::uint64_t>(static_cast<wide>(Amount) * Part / Whole);
}

template <typename Record, typename Predicate>
void eraseIf(std::vector<Record> &Records, Predicate Matches) {
  Records.erase(std::remove_if(Records.begin(), Records.end(), Matches),
                Records.end());
}

/// All that a ledger holds of one cap.
struct cap_account {
  cap_id Cap;
  std::uint64_t Whole = 0;
  /// False for a cap that the document in force no longer has. The account
  /// stays until its loans and its window have ended, in case the cap returns.
  bool Listed = false;
  sliding_window Used;
  sliding_window Refused;
  std::vector<lent_amount> Lent;
  std::vector<borrowed_amount> Borrowed;
  std::vector<pending_request> Pending;

  std::uint64_t lent(base::boot_time Now) const {
    std::uint64_t Sum = 0;
    for (const lent_amount &Each : Lent)
      Sum += Each.ReturnAt > Now ? Each.Amount : 0;
    return Sum;
  }

  std::uint64_t borrowed(base::boot_time Now) const {
    std::uint64_t Sum = 0;
    for (const borrowed_amount &Each : Borrowed)
      Sum = saturatingSum(Sum, Each.Deadline > Now ? Each.Amount : 0);
    return Sum;
  }

  std::uint64_t limit(std::uint64_t SeatShare, base::boot_time Now) const {
    return std::min(
        Whole, saturatingSum(difference(SeatShare, lent(Now)), borrowed(Now)));
  }

  std::uint64_t recentDemand(base::boot_time Now) const {
    return std::min(Whole, saturatingSum(Used.sum(Now), Refused.sum(Now)));
  }

  void dropEnded(base::boot_time Now) {
    eraseIf(Lent, [Now](const auto &Each) { return Each.ReturnAt <= Now; });
    eraseIf(Borrowed, [Now](const auto &Each) { return Each.Deadline <= Now; });
    eraseIf(Pending, [Now](const auto &Each) {
      return Each.AskedAt + LoanLength <= Now;
    });
  }

  bool isIdle(base::boot_time Now) const {
    return lent(Now) == 0 && borrowed(Now) == 0 && Used.sum(Now) == 0;
  }

  void setWhole(std::uint64_t NewWhole) {
    if (NewWhole < Whole) {
      for (borrowed_amount &Each : Borrowed)
        Each.Amount = scaled(Each.Amount, NewWhole, Whole);
      Pending.clear();
    }
    Whole = NewWhole;
  }

  bool isBeingRenewed(std::uint64_t RequestId, base::boot_time Now) const {
    return std::any_of(Pending.begin(), Pending.end(), [&](const auto &Each) {
      return Each.Renews == RequestId && Each.AskedAt + AskAgainAfter > Now;
    });
  }

  /// Extends a loan given, as far as this entry does not need the share itself.
  /// \return the amount that stays lent under the new request
  std::uint64_t extend(const loan_request &Request, std::uint64_t SeatShare,
                       base::boot_time ReturnAt, base::boot_time Now) {
    const auto Found =
        std::find_if(Lent.begin(), Lent.end(), [&](const lent_amount &Each) {
          return (Each.RequestId == Request.Renews ||
                  Each.PreviousId == Request.Renews) &&
                 Each.ReturnAt > Now;
        });
    if (Request.Renews == 0 || Found == Lent.end())
      return 0;
    // More than the seat's share can be lent after the cap was lowered.
    const std::uint64_t Excess = difference(lent(Now), SeatShare);
    std::uint64_t Coming = limit(SeatShare, Now);
    for (const lent_amount &Each : Lent)
      Coming = saturatingSum(Coming, Each.Reclaimed ? Each.Amount : 0);
    const std::uint64_t Missing = difference(recentDemand(Now), Coming);
    const std::uint64_t Kept = std::min(
        Request.Amount, difference(Found->Amount, std::max(Excess, Missing)));
    Found->Reclaimed = Kept < Request.Amount;
    if (Kept == 0)
      return 0;
    // The borrower may hold the old loan to its end if this grant is lost.
    const base::boot_time End = std::max(ReturnAt, Found->ReturnAt);
    Found->Amount -= Kept;
    if (Found->Amount == 0)
      Lent.erase(Found);
    Lent.push_back({Request.RequestId, Kept, End, Request.Renews});
    return Kept;
  }

  /// Lends unused share.
  std::uint64_t lendUnused(const loan_request &Request, std::uint64_t SeatShare,
                           base::boot_time ReturnAt, base::boot_time Now) {
    const std::uint64_t Own = difference(SeatShare, lent(Now));
    const std::uint64_t Unused =
        std::min(Own, difference(limit(SeatShare, Now), recentDemand(Now)));
    const std::uint64_t Amount = std::min(
        Request.Amount, difference(Unused, SeatShare / ReserveDivisor));
    if (Amount > 0)
      Lent.push_back({Request.RequestId, Amount, ReturnAt});
    return Amount;
  }
};

} // namespace

struct share_ledger::impl {
  explicit impl(base::incarnation_id Self)
      : NextRequestId(XXH3_64bits(&Self.Value, sizeof Self.Value)) {}

  /// In the order of the document, then those that it no longer has.
  std::vector<cap_account> Accounts;
  std::unordered_map<cap_id, std::size_t, cap_id_hash> IndexOf;
  unsigned Seats = 0;
  base::boot_time HeldFrom = base::boot_time::min();
  base::boot_time HeldUntil = base::boot_time::min();
  base::boot_time Latest = base::boot_time::min();
  std::uint64_t NextRequestId;

  base::boot_time advance(base::boot_time Now) {
    Latest = std::max(Latest, Now);
    return Latest;
  }

  cap_account *find(const cap_id &Cap) {
    const auto Found = IndexOf.find(Cap);
    return Found == IndexOf.end() ? nullptr : &Accounts[Found->second];
  }

  std::uint64_t seatShare(const cap_account &Account,
                          base::boot_time Now) const {
    const bool Held = HeldFrom <= Now && Now < HeldUntil;
    return Held && Seats > 0 ? Account.Whole / Seats : 0;
  }

  std::uint64_t limit(const cap_account &Account, base::boot_time Now) const {
    return Account.limit(seatShare(Account, Now), Now);
  }

  std::uint64_t ask(cap_account &Account, std::uint64_t Amount,
                    std::uint64_t Renews, base::boot_time Now,
                    std::vector<loan_request> &Requests) {
    // 0 means "no request".
    if (NextRequestId == 0)
      ++NextRequestId;
    // The lender extends one amount for all renewals of a loan, so only the
    // grant for the latest one may be accepted.
    eraseIf(Account.Pending, [Renews](const auto &Each) {
      return Renews != 0 && Each.Renews == Renews;
    });
    Account.Pending.push_back({NextRequestId, Renews, Amount, Now});
    Requests.push_back({NextRequestId, Account.Cap, Amount, Renews});
    ++NextRequestId;
    return Amount;
  }

  void askForCap(cap_account &Account, std::size_t PeerCount,
                 base::boot_time Now, std::vector<loan_request> &Requests);
};

share_ledger::share_ledger(base::incarnation_id Self)
    : Impl(std::make_unique<impl>(Self)) {}
share_ledger::~share_ledger() = default;
share_ledger::share_ledger(share_ledger &&) noexcept = default;
share_ledger &share_ledger::operator=(share_ledger &&) noexcept = default;

void share_ledger::configure(const config::document &Document) {
  if (Impl->Seats == 0)
    Impl->Seats = Document.EntrySeats;
  std::vector<cap_account> Old = std::move(Impl->Accounts);
  auto OldIndexOf = std::move(Impl->IndexOf);
  Impl->Accounts.clear();
  Impl->IndexOf.clear();
  const auto Place = [&](const cap_id &Cap, std::uint64_t Whole, bool Listed) {
    const auto [Position, IsNew] =
        Impl->IndexOf.emplace(Cap, Impl->Accounts.size());
    if (IsNew) {
      const auto Found = OldIndexOf.find(Cap);
      Impl->Accounts.push_back(Found == OldIndexOf.end()
                                   ? cap_account{}
                                   : std::move(Old[Found->second]));
    }
    cap_account &Account = Impl->Accounts[Position->second];
    Account.Cap = Cap;
    Account.Listed = Listed;
    // Of two entries for one cap, the lower is in force.
    Account.setWhole(IsNew ? Whole : std::min(Whole, Account.Whole));
  };
  for (const config::region &Each : Document.Regions)
    Place(region_cap{Each.Name}, Each.CapPerSecond, true);
  for (const config::link &Each : Document.Links)
    Place(link_cap{Each.From, Each.To}, Each.CapBitsPerSecond, true);
  for (const auto &[Cap, Index] : OldIndexOf)
    if (Impl->IndexOf.count(Cap) == 0 && !Old[Index].isIdle(Impl->Latest))
      Place(Cap, 0, false);
}

void share_ledger::holdSeatUntil(base::boot_time Deadline,
                                 base::boot_time UsableFrom) {
  // An extension does not end a wait for the former holder.
  Impl->HeldFrom = std::max(Impl->HeldFrom, UsableFrom);
  Impl->HeldUntil = Deadline;
}

void share_ledger::releaseSeat() { Impl->HeldUntil = base::boot_time::min(); }

base::boot_time share_ledger::seatFreeAt(base::boot_time Now) const {
  Now = std::max(Now, Impl->Latest);
  // The holder itself took units until now.
  base::boot_time FreeAt = Now + CapWindow + ClockRateMargin;
  for (const cap_account &Account : Impl->Accounts)
    for (const lent_amount &Each : Account.Lent)
      FreeAt = std::max(FreeAt, Each.ReturnAt);
  return FreeAt;
}

bool share_ledger::tryTake(const std::vector<demand> &Demands,
                           base::boot_time Now) {
  Now = Impl->advance(Now);
  bool Fits = true;
  for (auto Each = Demands.begin(); Each != Demands.end(); ++Each) {
    cap_account *Account = Impl->find(Each->Cap);
    if (!Account)
      return false;
    // Earlier demands of this request on the same cap count as taken.
    std::uint64_t Taken = Account->Used.sum(Now);
    for (auto Earlier = Demands.begin(); Earlier != Each; ++Earlier)
      if (Earlier->Cap == Each->Cap)
        Taken = saturatingSum(Taken, Earlier->Amount);
    if (Each->Amount > difference(Impl->limit(*Account, Now), Taken)) {
      Account->Refused.add(Each->Amount, Now);
      Fits = false;
    }
  }
  if (Fits)
    for (const demand &Each : Demands)
      Impl->find(Each.Cap)->Used.add(Each.Amount, Now);
  return Fits;
}

void share_ledger::giveBack(const demand &Demand, base::boot_time TakenAt,
                            base::boot_time Now) {
  Now = Impl->advance(Now);
  if (cap_account *Account = Impl->find(Demand.Cap))
    Account->Used.remove(Demand.Amount, TakenAt, Now);
}

void share_ledger::impl::askForCap(cap_account &Account, std::size_t PeerCount,
                                   base::boot_time Now,
                                   std::vector<loan_request> &Requests) {
  const std::uint64_t Demand = Account.recentDemand(Now);
  const std::uint64_t Target =
      Demand == 0 ? 0
                  : std::min(Account.Whole,
                             saturatingSum(Demand, Demand / GrowthDivisor + 1));
  std::uint64_t Need = difference(
      Target, difference(seatShare(Account, Now), Account.lent(Now)));
  std::vector<borrowed_amount> Due;
  for (const borrowed_amount &Each : Account.Borrowed) {
    if (Each.Deadline - Now > LoanLength - RenewAfter ||
        Account.isBeingRenewed(Each.RequestId, Now))
      Need = difference(Need, Each.Amount);
    else
      Due.push_back(Each);
  }
  for (const pending_request &Each : Account.Pending)
    if (Each.Renews == 0 && Each.AskedAt + AskAgainAfter > Now)
      Need = difference(Need, Each.Amount);
  for (const borrowed_amount &Each : Due)
    if (const std::uint64_t Amount = std::min(Need, Each.Amount))
      Need -= ask(Account, Amount, Each.RequestId, Now, Requests);

  const std::size_t Asked = std::min(PeerCount, MaxRequestsPerRound);
  if (Asked == 0 ||
      Account.Borrowed.size() + Account.Pending.size() + Asked > MaxLoansPerCap)
    return;
  const std::uint64_t Part = Need / Asked + (Need % Asked == 0 ? 0 : 1);
  while (Need > 0)
    Need -= ask(Account, std::min(Part, Need), 0, Now, Requests);
}

std::vector<loan_request> share_ledger::wantedLoans(std::size_t PeerCount,
                                                    base::boot_time Now) {
  Now = Impl->advance(Now);
  std::vector<loan_request> Requests;
  for (cap_account &Account : Impl->Accounts) {
    Account.dropEnded(Now);
    if (Account.Listed)
      Impl->askForCap(Account, PeerCount, Now, Requests);
  }
  return Requests;
}

std::optional<loan_grant> share_ledger::lend(const loan_request &Request,
                                             base::boot_time Now) {
  Now = Impl->advance(Now);
  cap_account *Account = Impl->find(Request.Cap);
  const std::uint64_t SeatShare = Account ? Impl->seatShare(*Account, Now) : 0;
  if (SeatShare == 0)
    return std::nullopt;
  Account->dropEnded(Now);
  const bool Repeated = std::any_of(
      Account->Lent.begin(), Account->Lent.end(),
      [&](const auto &Each) { return Each.RequestId == Request.RequestId; });
  if (Repeated || Account->Lent.size() + 2 > MaxLoansPerCap)
    return std::nullopt;
  const auto Length = std::min(
      LoanLength, std::chrono::duration_cast<std::chrono::milliseconds>(
                      Impl->HeldUntil - Now));
  const base::boot_time ReturnAt = Now + Length + CapWindow + ClockRateMargin;
  const std::uint64_t Kept = Account->extend(Request, SeatShare, ReturnAt, Now);
  loan_request Rest = Request;
  Rest.Amount -= Kept;
  const std::uint64_t Amount =
      Kept + Account->lendUnused(Rest, SeatShare, ReturnAt, Now);
  if (Amount == 0)
    return std::nullopt;
  return loan_grant{Request.RequestId, Request.Cap, Amount, Length};
}

bool share_ledger::borrow(const loan_grant &Grant, base::boot_time Now) {
  Now = Impl->advance(Now);
  cap_account *Account = Impl->find(Grant.Cap);
  if (!Account)
    return false;
  const auto Asked = std::find_if(
      Account->Pending.begin(), Account->Pending.end(),
      [&](const auto &Each) { return Each.RequestId == Grant.RequestId; });
  if (Asked == Account->Pending.end())
    return false;
  const pending_request Request = *Asked;
  Account->Pending.erase(Asked);
  const base::boot_time Deadline =
      Request.AskedAt + std::min(Grant.Length, LoanLength);
  if (Deadline <= Now || Grant.Amount == 0)
    return false;
  eraseIf(Account->Borrowed, [&](const auto &Each) {
    return Request.Renews != 0 && Each.RequestId == Request.Renews;
  });
  Account->Borrowed.push_back(
      {Request.RequestId, std::min(Grant.Amount, Request.Amount), Deadline});
  return true;
}

std::vector<cap_state> share_ledger::states(base::boot_time Now) const {
  Now = std::max(Now, Impl->Latest);
  std::vector<cap_state> States;
  for (const cap_account &Each : Impl->Accounts)
    if (Each.Listed)
      States.push_back({Each.Cap, Each.Whole, Impl->limit(Each, Now),
                        Each.Used.sum(Now), Each.Refused.sum(Now)});
  return States;
}

} // namespace skylarkdyke::caps
