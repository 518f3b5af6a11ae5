#include "skylarkdyke/caps/share_ledger.hpp"

#include "skylarkdyke/caps/sliding_window.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <xxhash.h>

namespace skylarkdyke::caps {

namespace {

using namespace std::chrono_literals;

/// Age from which a loan is renewed.
constexpr std::chrono::milliseconds RenewAfter = 1000ms;
/// Time after which a request counts as lost and its amount is requested again:
/// one tick of 100 ms at the peer plus two link delays.
constexpr std::chrono::milliseconds RequestTimeout = 300ms;
/// Limits of messages per tick and of memory for one cap.
constexpr std::size_t MaxRequestsPerTick = 16;
constexpr std::size_t MaxLoansPerCap = 256;
/// Divisor of a seat's share for the part that is never lent, so that an idle
/// entry can serve its first requests.
constexpr std::uint64_t ReserveDivisor = 16;
/// Divisor of the recent demand for the part that is borrowed in addition, as
/// headroom for growth.
constexpr std::uint64_t GrowthDivisor = 8;

/// A loan that this entry has granted.
struct lent_amount {
  std::uint64_t RequestId;
  std::uint64_t Amount;
  base::boot_time ReturnAt;
  /// Id of the request whose loan this one renewed, or 0. The borrower sends it
  /// again in the next renewal if it did not receive the grant.
  std::uint64_t RenewedId = 0;
  /// True if the lender needs the amount itself and did not extend the loan in
  /// full.
  bool Reclaimed = false;
};

/// A loan that this entry has received.
struct borrowed_amount {
  std::uint64_t RequestId;
  std::uint64_t Amount;
  base::boot_time Deadline;
};

/// A loan request that has not been granted yet.
struct pending_request {
  std::uint64_t RequestId;
  std::uint64_t Renews;
  std::uint64_t Amount;
  base::boot_time RequestedAt;
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

/// Left - Right, saturating at 0.
std::uint64_t difference(std::uint64_t Left, std::uint64_t Right) {
  return Left > Right ? Left - Right : 0;
}

/// Amount * Numerator / Denominator, rounded down, for Numerator <= Denominator
/// and Denominator > 0.
std::uint64_t scaled(std::uint64_t Amount, std::uint64_t Numerator,
                     std::uint64_t Denominator) {
  __extension__ using wide = unsigned __int128;
  return static_cast<std::uint64_t>(static_cast<wide>(Amount) * Numerator /
                                    Denominator);
}

template <typename Record, typename Predicate>
void eraseIf(std::vector<Record> &Records, Predicate Matches) {
  Records.erase(std::remove_if(Records.begin(), Records.end(), Matches),
                Records.end());
}

/// State of one cap in a ledger.
struct cap_account {
  cap_id Cap;
  std::uint64_t CapLimit = 0;
  /// False for a cap that was removed from the document. The account stays
  /// until its loans and its window have ended, in case the cap is added again.
  bool Configured = false;
  sliding_window Used;
  sliding_window Refused;
  std::vector<lent_amount> Lent;
  std::vector<borrowed_amount> Borrowed;
  std::vector<pending_request> Pending;

  std::uint64_t lent(base::boot_time Now) const {
    std::uint64_t Sum = 0;
    for (const lent_amount &Loan : Lent)
      Sum += Loan.ReturnAt > Now ? Loan.Amount : 0;
    return Sum;
  }

  std::uint64_t borrowed(base::boot_time Now) const {
    std::uint64_t Sum = 0;
    for (const borrowed_amount &Loan : Borrowed)
      Sum = saturatingSum(Sum, Loan.Deadline > Now ? Loan.Amount : 0);
    return Sum;
  }

  std::uint64_t limit(std::uint64_t SeatShare, base::boot_time Now) const {
    return std::min(CapLimit, saturatingSum(difference(SeatShare, lent(Now)),
                                            borrowed(Now)));
  }

  std::uint64_t recentDemand(base::boot_time Now) const {
    return std::min(CapLimit, saturatingSum(Used.sum(Now), Refused.sum(Now)));
  }

  void dropExpired(base::boot_time Now) {
    eraseIf(Lent, [Now](const auto &Loan) { return Loan.ReturnAt <= Now; });
    eraseIf(Borrowed, [Now](const auto &Loan) { return Loan.Deadline <= Now; });
    eraseIf(Pending, [Now](const auto &Request) {
      return Request.RequestedAt + MaxLoanDuration <= Now;
    });
  }

  bool isIdle(base::boot_time Now) const {
    return lent(Now) == 0 && borrowed(Now) == 0 && Used.sum(Now) == 0;
  }

  void setCapLimit(std::uint64_t NewLimit) {
    if (NewLimit < CapLimit) {
      for (borrowed_amount &Loan : Borrowed)
        Loan.Amount = scaled(Loan.Amount, NewLimit, CapLimit);
      Pending.clear();
    }
    CapLimit = NewLimit;
  }

  bool isBeingRenewed(std::uint64_t RequestId, base::boot_time Now) const {
    return std::any_of(Pending.begin(), Pending.end(),
                       [&](const auto &Request) {
                         return Request.Renews == RequestId &&
                                Request.RequestedAt + RequestTimeout > Now;
                       });
  }

  /// Extends a granted loan, except for the part that this entry needs itself.
  /// \return the amount that is now lent under the new request
  std::uint64_t extend(const loan_request &Request, std::uint64_t SeatShare,
                       base::boot_time ReturnAt, base::boot_time Now) {
    const auto Found =
        std::find_if(Lent.begin(), Lent.end(), [&](const lent_amount &Loan) {
          return (Loan.RequestId == Request.Renews ||
                  Loan.RenewedId == Request.Renews) &&
                 Loan.ReturnAt > Now;
        });
    if (Request.Renews == 0 || Found == Lent.end())
      return 0;
    // After a cap was lowered, loans may exceed the seat's share.
    const std::uint64_t Overcommitted = difference(lent(Now), SeatShare);
    std::uint64_t Available = limit(SeatShare, Now);
    for (const lent_amount &Loan : Lent)
      Available = saturatingSum(Available, Loan.Reclaimed ? Loan.Amount : 0);
    const std::uint64_t Shortfall = difference(recentDemand(Now), Available);
    const std::uint64_t Extended =
        std::min(Request.Amount,
                 difference(Found->Amount, std::max(Overcommitted, Shortfall)));
    Found->Reclaimed = Extended < Request.Amount;
    if (Extended == 0)
      return 0;
    // If this grant is lost, the borrower may use the old loan until it
    // expires.
    const base::boot_time LoanEnd = std::max(ReturnAt, Found->ReturnAt);
    Found->Amount -= Extended;
    if (Found->Amount == 0)
      Lent.erase(Found);
    Lent.push_back({Request.RequestId, Extended, LoanEnd, Request.Renews});
    return Extended;
  }

  /// Grants a new loan from the unused part of the share.
  /// \return the amount lent, 0 if there is no unused share
  std::uint64_t lendUnused(const loan_request &Request, std::uint64_t SeatShare,
                           base::boot_time ReturnAt, base::boot_time Now) {
    const std::uint64_t UnlentShare = difference(SeatShare, lent(Now));
    const std::uint64_t Unused = std::min(
        UnlentShare, difference(limit(SeatShare, Now), recentDemand(Now)));
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

  /// In the order of the document, followed by accounts of removed caps.
  std::vector<cap_account> Accounts;
  std::unordered_map<cap_id, std::size_t, cap_id_hash> IndexOf;
  unsigned Seats = 0;
  base::boot_time HeldFrom = base::boot_time::min();
  base::boot_time HeldUntil = base::boot_time::min();
  base::boot_time LatestTime = base::boot_time::min();
  std::uint64_t NextRequestId;

  base::boot_time advance(base::boot_time Now) {
    LatestTime = std::max(LatestTime, Now);
    return LatestTime;
  }

  cap_account *find(const cap_id &Cap) {
    const auto Found = IndexOf.find(Cap);
    return Found == IndexOf.end() ? nullptr : &Accounts[Found->second];
  }

  std::uint64_t seatShare(const cap_account &Account,
                          base::boot_time Now) const {
    const bool Held = HeldFrom <= Now && Now < HeldUntil;
    return Held && Seats > 0 ? Account.CapLimit / Seats : 0;
  }

  std::uint64_t limit(const cap_account &Account, base::boot_time Now) const {
    return Account.limit(seatShare(Account, Now), Now);
  }

  std::uint64_t addRequest(cap_account &Account, std::uint64_t Amount,
                           std::uint64_t Renews, base::boot_time Now,
                           std::vector<loan_request> &Requests) {
    // Id 0 means "no request".
    if (NextRequestId == 0)
      ++NextRequestId;
    // The lender extends the same amount for all renewals of a loan, so only
    // the grant for the latest renewal may be accepted.
    eraseIf(Account.Pending, [Renews](const auto &Request) {
      return Renews != 0 && Request.Renews == Renews;
    });
    Account.Pending.push_back({NextRequestId, Renews, Amount, Now});
    Requests.push_back({NextRequestId, Account.Cap, Amount, Renews});
    ++NextRequestId;
    return Amount;
  }

  void requestLoans(cap_account &Account, std::size_t PeerCount,
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
  std::vector<cap_account> OldAccounts = std::move(Impl->Accounts);
  auto OldIndexOf = std::move(Impl->IndexOf);
  Impl->Accounts.clear();
  Impl->IndexOf.clear();
  const auto AddAccount = [&](const cap_id &Cap, std::uint64_t CapLimit,
                              bool Configured) {
    const auto [Position, IsNew] =
        Impl->IndexOf.emplace(Cap, Impl->Accounts.size());
    if (IsNew) {
      const auto Found = OldIndexOf.find(Cap);
      Impl->Accounts.push_back(Found == OldIndexOf.end()
                                   ? cap_account{}
                                   : std::move(OldAccounts[Found->second]));
    }
    cap_account &Account = Impl->Accounts[Position->second];
    Account.Cap = Cap;
    Account.Configured = Configured;
    // If the document lists a cap twice, the lower value applies.
    Account.setCapLimit(IsNew ? CapLimit
                              : std::min(CapLimit, Account.CapLimit));
  };
  for (const config::region &Region : Document.Regions)
    AddAccount(region_cap{Region.Name}, Region.CapPerSecond, true);
  for (const config::link &Link : Document.Links)
    AddAccount(link_cap{Link.From, Link.To}, Link.CapBitsPerSecond, true);
  for (const auto &[Cap, Index] : OldIndexOf)
    if (Impl->IndexOf.count(Cap) == 0 &&
        !OldAccounts[Index].isIdle(Impl->LatestTime))
      AddAccount(Cap, 0, false);
}

void share_ledger::holdSeatUntil(base::boot_time Deadline,
                                 base::boot_time UsableFrom) {
  // An extension does not shorten the wait for the previous holder's loans.
  Impl->HeldFrom = std::max(Impl->HeldFrom, UsableFrom);
  Impl->HeldUntil = Deadline;
}

void share_ledger::releaseSeat() { Impl->HeldUntil = base::boot_time::min(); }

base::boot_time share_ledger::seatFreeAt(base::boot_time Now) const {
  Now = std::max(Now, Impl->LatestTime);
  // This entry may have used units until now.
  base::boot_time FreeAt = Now + CapWindow + ClockRateMargin;
  for (const cap_account &Account : Impl->Accounts)
    for (const lent_amount &Loan : Account.Lent)
      FreeAt = std::max(FreeAt, Loan.ReturnAt);
  return FreeAt;
}

bool share_ledger::tryTake(const std::vector<demand> &Demands,
                           base::boot_time Now) {
  Now = Impl->advance(Now);
  bool Fits = true;
  for (auto Demand = Demands.begin(); Demand != Demands.end(); ++Demand) {
    cap_account *Account = Impl->find(Demand->Cap);
    if (!Account)
      return false;
    // Earlier demands of this request for the same cap count as used.
    std::uint64_t Taken = Account->Used.sum(Now);
    for (auto Earlier = Demands.begin(); Earlier != Demand; ++Earlier)
      if (Earlier->Cap == Demand->Cap)
        Taken = saturatingSum(Taken, Earlier->Amount);
    if (Demand->Amount > difference(Impl->limit(*Account, Now), Taken)) {
      Account->Refused.add(Demand->Amount, Now);
      Fits = false;
    }
  }
  if (Fits)
    for (const demand &Demand : Demands)
      Impl->find(Demand.Cap)->Used.add(Demand.Amount, Now);
  return Fits;
}

void share_ledger::refund(const demand &Demand, base::boot_time TakenAt,
                          base::boot_time Now) {
  Now = Impl->advance(Now);
  if (cap_account *Account = Impl->find(Demand.Cap))
    Account->Used.remove(Demand.Amount, TakenAt, Now);
}

void share_ledger::impl::requestLoans(cap_account &Account,
                                      std::size_t PeerCount,
                                      base::boot_time Now,
                                      std::vector<loan_request> &Requests) {
  const std::uint64_t Demand = Account.recentDemand(Now);
  const std::uint64_t DesiredShare =
      Demand == 0 ? 0
                  : std::min(Account.CapLimit,
                             saturatingSum(Demand, Demand / GrowthDivisor + 1));
  std::uint64_t Need = difference(
      DesiredShare, difference(seatShare(Account, Now), Account.lent(Now)));
  std::vector<borrowed_amount> DueForRenewal;
  for (const borrowed_amount &Loan : Account.Borrowed) {
    if (Loan.Deadline - Now > MaxLoanDuration - RenewAfter ||
        Account.isBeingRenewed(Loan.RequestId, Now))
      Need = difference(Need, Loan.Amount);
    else
      DueForRenewal.push_back(Loan);
  }
  for (const pending_request &Request : Account.Pending)
    if (Request.Renews == 0 && Request.RequestedAt + RequestTimeout > Now)
      Need = difference(Need, Request.Amount);
  for (const borrowed_amount &Loan : DueForRenewal)
    if (const std::uint64_t Amount = std::min(Need, Loan.Amount))
      Need -= addRequest(Account, Amount, Loan.RequestId, Now, Requests);

  const std::size_t RequestCount = std::min(PeerCount, MaxRequestsPerTick);
  if (RequestCount == 0 ||
      Account.Borrowed.size() + Account.Pending.size() + RequestCount >
          MaxLoansPerCap)
    return;
  const std::uint64_t AmountPerRequest =
      Need / RequestCount + (Need % RequestCount == 0 ? 0 : 1);
  while (Need > 0)
    Need -=
        addRequest(Account, std::min(AmountPerRequest, Need), 0, Now, Requests);
}

std::vector<loan_request>
share_ledger::createLoanRequests(std::size_t PeerCount, base::boot_time Now) {
  Now = Impl->advance(Now);
  std::vector<loan_request> Requests;
  for (cap_account &Account : Impl->Accounts) {
    Account.dropExpired(Now);
    if (Account.Configured)
      Impl->requestLoans(Account, PeerCount, Now, Requests);
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
  Account->dropExpired(Now);
  const bool Duplicate = std::any_of(
      Account->Lent.begin(), Account->Lent.end(),
      [&](const auto &Loan) { return Loan.RequestId == Request.RequestId; });
  if (Duplicate || Account->Lent.size() + 2 > MaxLoansPerCap)
    return std::nullopt;
  const auto Duration = std::min(
      MaxLoanDuration, std::chrono::duration_cast<std::chrono::milliseconds>(
                           Impl->HeldUntil - Now));
  const base::boot_time ReturnAt = Now + Duration + CapWindow + ClockRateMargin;
  const std::uint64_t Extended =
      Account->extend(Request, SeatShare, ReturnAt, Now);
  loan_request Remainder = Request;
  Remainder.Amount -= Extended;
  const std::uint64_t Amount =
      Extended + Account->lendUnused(Remainder, SeatShare, ReturnAt, Now);
  if (Amount == 0)
    return std::nullopt;
  return loan_grant{Request.RequestId, Request.Cap, Amount, Duration};
}

bool share_ledger::acceptGrant(const loan_grant &Grant, base::boot_time Now) {
  Now = Impl->advance(Now);
  cap_account *Account = Impl->find(Grant.Cap);
  if (!Account)
    return false;
  const auto Found =
      std::find_if(Account->Pending.begin(), Account->Pending.end(),
                   [&](const auto &Request) {
                     return Request.RequestId == Grant.RequestId;
                   });
  if (Found == Account->Pending.end())
    return false;
  const pending_request Request = *Found;
  Account->Pending.erase(Found);
  const base::boot_time Deadline =
      Request.RequestedAt + std::min(Grant.Duration, MaxLoanDuration);
  if (Deadline <= Now || Grant.Amount == 0)
    return false;
  eraseIf(Account->Borrowed, [&](const auto &Loan) {
    return Request.Renews != 0 && Loan.RequestId == Request.Renews;
  });
  Account->Borrowed.push_back(
      {Request.RequestId, std::min(Grant.Amount, Request.Amount), Deadline});
  return true;
}

std::vector<cap_state> share_ledger::states(base::boot_time Now) const {
  Now = std::max(Now, Impl->LatestTime);
  std::vector<cap_state> States;
  for (const cap_account &Account : Impl->Accounts)
    if (Account.Configured)
      States.push_back({Account.Cap, Account.CapLimit,
                        Impl->limit(Account, Now), Account.Used.sum(Now),
                        Account.Refused.sum(Now)});
  return States;
}

} // namespace skylarkdyke::caps
