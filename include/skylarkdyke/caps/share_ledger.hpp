#ifndef SKYLARKDYKE_CAPS_SHARE_LEDGER_HPP
#define SKYLARKDYKE_CAPS_SHARE_LEDGER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/caps/cap.hpp"
#include "skylarkdyke/config/document.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::caps {

/// \brief Share and use of one cap at this entry.
struct cap_state {
  cap_id Cap;
  /// Configured cap for all entries together, in units per CapWindow.
  std::uint64_t CapLimit = 0;
  /// Share of this entry: the seat's share minus loans granted plus loans
  /// received.
  std::uint64_t Share = 0;
  /// Units used within the last CapWindow.
  std::uint64_t Used = 0;
  /// Units refused within the last CapWindow.
  std::uint64_t Refused = 0;
};

/// \brief Accounts for an entry's share of every cap.
///
/// Every cap is divided into equal shares, one for each seat. The first
/// document sets the number of seats, and at most one entry at a time holds a
/// seat. An entry that holds a seat may use that share, lends unused parts of
/// it to its peers and borrows from theirs, so that all entries together stay
/// within the cap.
///
/// Does no I/O and reads no clock: the time is an argument. Not thread-safe.
/// Read the clock after locking the mutex that guards the ledger and, for
/// lend(), after the request was received. Time is monotonic: an instant before
/// the latest one seen is replaced by the latest one.
class share_ledger {
public:
  /// \param Self incarnation id, generated anew for each process. Request ids
  /// start from its hash, so that a process ignores grants that were addressed
  /// to the process it replaced.
  explicit share_ledger(base::incarnation_id Self);
  ~share_ledger();
  share_ledger(share_ledger &&) noexcept;
  share_ledger &operator=(share_ledger &&) noexcept;

  /// \brief Reads the caps from a document. A lowered cap applies at once:
  /// loans received shrink in proportion and pending requests are dropped. The
  /// number of seats is fixed by the first document, because ledgers that
  /// divide a cap by different numbers could exceed it together.
  void configure(const config::document &Document);

  /// \brief Starts or extends the use of the seat's share.
  /// \param Deadline instant from which the seat's share is no longer used
  /// \param UsableFrom instant before which the share is not used. For a seat
  /// that had another holder, this is SeatHandoverDelay after the claim.
  void holdSeatUntil(base::boot_time Deadline,
                     base::boot_time UsableFrom = base::boot_time::min());

  /// \brief Ends the use of the seat's share at once. Loans already granted
  /// stay valid until they expire.
  void releaseSeat();

  /// \brief Earliest instant at which another entry may use the seat after
  /// releaseSeat(): all loans granted and the current window have then ended.
  base::boot_time seatFreeAt(base::boot_time Now) const;

  /// \brief Takes the amounts of all demands from the shares, or of none if the
  /// remaining share of any cap is too small or a cap is not in the document.
  /// \return true if the request may be sent now
  bool tryTake(const std::vector<demand> &Demands, base::boot_time Now);

  /// \brief Corrects an estimate: returns units that were taken but not used.
  /// Has no effect once the units have left the window.
  /// \param TakenAt instant of the tryTake() call
  void refund(const demand &Demand, base::boot_time TakenAt,
              base::boot_time Now);

  /// \brief Creates loan requests for caps whose recent demand (use and
  /// refusals), plus headroom for growth, exceeds the share, and renewals for
  /// loans that are due for renewal and still needed. Called at every control
  /// tick. The caller sends each request to one peer: a renewal to the
  /// peer that granted the loan, the new requests for one cap to different
  /// peers.
  /// \param PeerCount number of reachable peers
  /// \return the requests to send; this ledger has recorded them as pending
  std::vector<loan_request> createLoanRequests(std::size_t PeerCount,
                                               base::boot_time Now);

  /// \brief Handles a peer's loan request. The amount granted is subtracted
  /// from the share before this function returns, and added again at Now +
  /// Duration + CapWindow + ClockRateMargin. Only the seat's own share is lent,
  /// only the part not used within the last CapWindow, and not beyond the
  /// seat's deadline.
  /// \return the grant to send, or nothing if there is no unused share
  std::optional<loan_grant> lend(const loan_request &Request,
                                 base::boot_time Now);

  /// \brief Accepts a grant for a pending request of this ledger that has not
  /// expired. Unknown, duplicate and expired grants are ignored. A grant for a
  /// renewal replaces the loan that it renews.
  /// \return true if the grant was accepted
  bool acceptGrant(const loan_grant &Grant, base::boot_time Now);

  /// \brief State of every cap, in the order of the document.
  std::vector<cap_state> states(base::boot_time Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::caps

#endif
