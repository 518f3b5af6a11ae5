#ifndef SKYLARKDYKE_CAPS_SHARE_LEDGER_HPP
#define SKYLARKDYKE_CAPS_SHARE_LEDGER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/caps/cap.hpp"
#include "skylarkdyke/config/document.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::caps {

/// \brief How much of a cap this entry holds and has used.
struct cap_state {
  cap_id Cap;
  /// The whole cap of the configuration, in units per CapWindow.
  std::uint64_t Whole = 0;
  /// Seat share, less what is lent, plus what is borrowed.
  std::uint64_t Share = 0;
  /// Units used within the last CapWindow.
  std::uint64_t Used = 0;
  /// Units refused within the last CapWindow.
  std::uint64_t Refused = 0;
};

/// \brief An entry's share of every cap: its seat's share, loans given and
/// loans taken.
///
/// Pure: time comes in as an argument. Not thread-safe. Read the clock after
/// the lock that guards the ledger was taken and, for lend(), after the request
/// was received. Time never goes back: an earlier instant is read as the latest
/// one seen.
class share_ledger {
public:
  /// \param Self drawn anew for each process. Request ids start from a hash of
  /// it, so that a grant to a process that was replaced is unknown to the one
  /// that took its address.
  explicit share_ledger(base::incarnation_id Self);
  ~share_ledger();
  share_ledger(share_ledger &&) noexcept;
  share_ledger &operator=(share_ledger &&) noexcept;

  /// \brief Takes the caps from a document. A lower cap is in force at once:
  /// loans taken shrink in proportion and pending requests are dropped. The
  /// number of seats is that of the first document, because ledgers that divide
  /// by different numbers could exceed a cap together.
  void configure(const config::document &Document);

  /// \brief Starts or extends the use of the seat's share.
  /// \param Deadline instant after which the seat's share is not used any more
  /// \param UsableFrom instant before which it is not used yet. For a seat that
  /// had another holder before, SeatHandoverDelay after the claim.
  void holdSeatUntil(base::boot_time Deadline,
                     base::boot_time UsableFrom = base::boot_time::min());

  /// \brief Ends the use of the seat's share at once. Loans given go on.
  void releaseSeat();

  /// \brief Earliest instant at which the seat may be given to another entry
  /// after releaseSeat(): all loans given and the window have then ended.
  base::boot_time seatFreeAt(base::boot_time Now) const;

  /// \brief Takes all demands, or none if any cap has too little share left in
  /// the window, or is not in the document.
  /// \return true if the request may be sent now
  bool tryTake(const std::vector<demand> &Demands, base::boot_time Now);

  /// \brief Corrects an estimate: returns units that were taken at an instant
  /// within the last window but not used. Later corrections have no effect.
  void giveBack(const demand &Demand, base::boot_time TakenAt,
                base::boot_time Now);

  /// \brief Starts requests for the caps that need more share now, from recent
  /// use and refusals, and for loans that are due for renewal. Called at every
  /// control tick. The caller sends each request to one peer: a renewal to the
  /// peer that granted the loan, the others of one cap to different peers.
  /// \param PeerCount number of peers that can be asked
  std::vector<loan_request> wantedLoans(std::size_t PeerCount,
                                        base::boot_time Now);

  /// \brief Decides on a peer's request. The amount is subtracted before this
  /// returns, and added again at Now + Length + CapWindow + ClockRateMargin.
  /// Only the seat's own share is lent, only what was not used within the last
  /// CapWindow, and not beyond the seat's deadline.
  /// \return the grant to send, or nothing if no unused share is left
  std::optional<loan_grant> lend(const loan_request &Request,
                                 base::boot_time Now);

  /// \brief Accepts a grant for a request that this ledger started and that has
  /// not expired. Unknown, repeated and expired grants are ignored. A grant for
  /// a renewal replaces the loan that it renews.
  /// \return true if the grant was accepted
  bool borrow(const loan_grant &Grant, base::boot_time Now);

  /// \brief State of every cap, in the order of the document.
  std::vector<cap_state> states(base::boot_time Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::caps

#endif
