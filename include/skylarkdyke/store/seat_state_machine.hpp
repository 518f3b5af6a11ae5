#ifndef SKYLARKDYKE_STORE_SEAT_STATE_MACHINE_HPP
#define SKYLARKDYKE_STORE_SEAT_STATE_MACHINE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/store/client.hpp"
#include "skylarkdyke/store/seat_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace skylarkdyke::store {

/// \brief Time parameters of the seat protocol. All entries must use the same
/// values.
struct seat_rules {
  /// How long a holder may use its seat after its last successful renewal.
  base::boot_clock::duration Lease = std::chrono::hours(24);
  /// Time between two renewals of a held seat.
  base::boot_clock::duration RenewalPeriod = std::chrono::seconds(5);
  /// Delay before the next call after one without a definite result.
  base::boot_clock::duration RetryPeriod = std::chrono::seconds(1);
  /// Delay between two scans of all seats.
  base::boot_clock::duration ScanPeriod = std::chrono::seconds(5);
  /// Delay from the last use of the seat until the release is written. It
  /// equals the window over which caps are enforced, so that no window contains
  /// use by both this holder and the next.
  base::boot_clock::duration ReleaseDelay = std::chrono::seconds(1);

  /// \brief Returns how long beyond the lease a record must be observed without
  /// a renewal before another entry takes the seat over. One thousandth of the
  /// lease covers two clocks slewed in opposite directions by 500 ppm each; 2 s
  /// cover the enforcement window of the caps.
  base::boot_clock::duration takeoverMargin() const {
    return Lease / 1000 + std::chrono::seconds(2);
  }
};

/// \brief Permission to use the share of every cap that belongs to a seat.
struct seat_authority {
  unsigned Seat = 0;
  /// Instant from which the seat must not be used, unless it has been renewed.
  base::boot_time Until;
};

/// \brief Step: read the record of a seat, and pass the result to onRead().
struct read_seat {
  unsigned Seat = 0;
};

/// \brief Step: write the record of a seat by compare-and-swap, and pass the
/// result to onWrite().
struct write_seat {
  unsigned Seat = 0;
  std::string Bytes;
  std::uint64_t Index = 0;
};

/// \brief Step: call next() again at this instant.
struct wait_until {
  base::boot_time Time;
};

/// \brief Step: the release has ended, and no call follows.
struct seat_done {};

using seat_step = std::variant<read_seat, write_seat, wait_until, seat_done>;

/// \brief State machine that claims, renews and releases one seat. It does no
/// I/O and reads no clock: the caller makes the calls to the store, one at a
/// time, and passes the current time. Not thread-safe.
///
/// Every change of a record is a compare-and-swap. A swap with an unknown
/// effect is repeated unchanged until it is either written or refused, and a
/// refused swap is followed by a read, so the state machine never proceeds to
/// another seat while it may hold one.
class seat_state_machine {
public:
  /// \param Rules time parameters, equal in all entries
  /// \param Incarnation identity of this process in the records
  /// \param Entry name of this entry in the records, shown to operators
  /// \param Seats number of seats, at least 1
  seat_state_machine(seat_rules Rules, base::incarnation_id Incarnation,
                     base::entry_name Entry, unsigned Seats);

  /// \brief Returns the next call to make to the store, or the time to wait
  /// for.
  seat_step next(base::boot_time Now) const;

  /// \brief Processes the result of a read_seat step.
  void onRead(base::boot_time Now, const read_result &Result);

  /// \brief Processes the result of a write_seat step.
  /// \param SentAt instant before the call was made
  void onWrite(base::boot_time SentAt, base::boot_time Now,
               const write_result &Result);

  /// \brief Revokes the authority at once and starts the release of the seat.
  /// Must not be called between a step and its result.
  void release(base::boot_time Now);

  /// \brief Returns the seat that may be used at an instant, if any.
  std::optional<seat_authority> authority(base::boot_time Now) const;

private:
  enum class purpose { Claim, Renew, Release };

  /// Last observed record of a seat that another entry holds.
  struct observation {
    std::uint64_t Index = 0;
    std::string Bytes;
    /// When the record was first observed in this form.
    base::boot_time FirstSeen;
  };

  /// A compare-and-swap whose outcome has not been confirmed by a read.
  struct pending_swap {
    purpose Purpose = purpose::Claim;
    seat_record Record;
    std::uint64_t Index = 0;
    /// Instant before which the swap is not sent.
    base::boot_time NotBefore;
    /// When the swap was first sent with an unknown effect since the last
    /// definite result.
    std::optional<base::boot_time> UnknownSince;
    /// True after a definite result; the next read shows whether this swap or
    /// another writer produced the record in the store.
    bool MustRead = false;
    /// True if the store reported the swap as written.
    bool IsWritten = false;
    /// Number of reads that showed a record no newer than the one swapped.
    unsigned StaleReads = 0;
  };

  bool isLeaseExpired(base::boot_time Now, const value &Value);
  void onScanRead(base::boot_time Now, const read_result &Result);
  void beginSwap(purpose Purpose, seat_record Record, std::uint64_t Index,
                 base::boot_time NotBefore);
  void resolveSwap(base::boot_time Now, const read_result &Result);
  void onStaleRead(base::boot_time Now);
  void confirmSwap(base::boot_time Now, std::uint64_t Index);
  void abandonSeat(base::boot_time Now);

  seat_rules Rules;
  base::incarnation_id Incarnation;
  base::entry_name Entry;
  unsigned Seats;

  /// Seat that is being scanned, claimed or held.
  unsigned Seat;
  /// Seats scanned without finding a free one since the last pause.
  unsigned ScannedSeats = 0;
  /// Instant before which next() only returns wait_until.
  base::boot_time ResumeAt;
  std::map<unsigned, observation> Observations;
  std::optional<pending_swap> Swap;
  /// Record and index of the held seat.
  std::optional<seat_record> HeldRecord;
  std::uint64_t HeldIndex = 0;
  /// End of the lease of the held seat.
  std::optional<base::boot_time> LeaseEnd;
  /// True between a refused swap and the read that shows its cause. The seat
  /// must not be used during this time.
  bool IsSuspended = false;
  /// Instant at which the release is written; set by release().
  std::optional<base::boot_time> ReleaseAt;
  bool IsDone = false;
};

} // namespace skylarkdyke::store

#endif
