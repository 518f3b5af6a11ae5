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
/// Pure: time comes in as an argument. Not thread-safe.
class share_ledger {
public:
  share_ledger();
  ~share_ledger();
  share_ledger(share_ledger &&) noexcept;
  share_ledger &operator=(share_ledger &&) noexcept;

  /// \brief Takes the caps and the number of seats from a document.
  void configure(const config::document &Document);

  /// \brief Starts or extends the use of the seat's share.
  /// \param Deadline instant after which the seat's share is not used any more
  void holdSeatUntil(base::boot_time Deadline);

  /// \brief Ends the use of the seat's share at once.
  void releaseSeat();

  /// \brief Takes all demands, or none if any cap has too little share left in
  /// the window. \return true if the request may be sent now
  bool tryTake(const std::vector<demand> &Demands, base::boot_time Now);

  /// \brief Corrects an estimate: returns units that were taken at an instant
  /// within the last window but not used. Later corrections have no effect.
  void giveBack(const demand &Demand, base::boot_time TakenAt,
                base::boot_time Now);

  /// \brief Caps for which more share is wanted now, from recent use and
  /// refusals. Starts a request for each; the caller sends it to a peer. \param
  /// PeerCount number of peers that will be asked, each for its part
  std::vector<loan_request> wantedLoans(std::size_t PeerCount,
                                        base::boot_time Now);

  /// \brief Decides on a peer's request. The amount is subtracted before this
  /// returns, and added again at Now + Length + CapWindow. \return the grant to
  /// send, or nothing if no unused share is left
  std::optional<loan_grant> lend(const loan_request &Request,
                                 base::boot_time Now);

  /// \brief Accepts a grant for a request that this ledger started and that has
  /// not expired. Unknown, repeated and expired grants are ignored. \return
  /// true if the share grew
  bool borrow(const loan_grant &Grant, base::boot_time Now);

  /// \brief State of every cap, in the order of the document.
  std::vector<cap_state> states(base::boot_time Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::caps

#endif
