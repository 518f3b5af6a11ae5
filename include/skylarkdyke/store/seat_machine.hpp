#ifndef SKYLARKDYKE_STORE_SEAT_MACHINE_HPP
#define SKYLARKDYKE_STORE_SEAT_MACHINE_HPP

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

/// \brief Times of the seat protocol, equal in all entries.
struct seat_rules {
  /// How long a holder uses its seat after its last successful renewal.
  base::boot_clock::duration Lease = std::chrono::hours(24);
  base::boot_clock::duration RenewalPeriod = std::chrono::seconds(5);
  /// Pause after a call that did not settle the matter.
  base::boot_clock::duration RetryPeriod = std::chrono::seconds(1);
  /// Pause between two scans of all seats.
  base::boot_clock::duration ScanPeriod = std::chrono::seconds(5);
  /// Time from the last use until the release is written: the window over which
  /// the caps are enforced, so that the next holder's use does not fall into a
  /// window with this one's.
  base::boot_clock::duration QuietTime = std::chrono::seconds(1);

  /// \brief Time beyond the lease for which a record must have been seen
  /// unrenewed before it is taken over. A thousandth of the lease covers two
  /// clocks that are slewed apart by 500 ppm each, 2 s cover the window of the
  /// caps.
  base::boot_clock::duration takeoverMargin() const {
    return Lease / 1000 + std::chrono::seconds(2);
  }
};

/// \brief Permission to use a seat's share of every cap.
struct seat_authority {
  unsigned Seat = 0;
  /// Instant from which the seat must not be used, unless it is renewed.
  base::boot_time Until;
};

/// \brief Read the record of a seat, and pass the result to onRead().
struct read_seat {
  unsigned Seat = 0;
};

/// \brief Write the record of a seat by compare-and-swap, and pass the result
/// to onWrite().
struct write_seat {
  unsigned Seat = 0;
  std::string Bytes;
  std::uint64_t Index = 0;
};

/// \brief Call next() again at this instant.
struct wait_until {
  base::boot_time Time;
};

/// \brief The seat was released; there is nothing more to do.
struct seat_done {};

using seat_step = std::variant<read_seat, write_seat, wait_until, seat_done>;

/// \brief Claims, renews and releases one seat. Pure: the caller makes the
/// calls to the store, one at a time, and passes the time.
///
/// Every change is a compare-and-swap. One with an unknown effect is repeated
/// unchanged until it is either written or refused, and a refused one is
/// followed by a read, so the machine never goes on to another seat while it
/// may hold one.
class seat_machine {
public:
  /// \param Rules times
  /// \param Incarnation identity of this process in the records
  /// \param Entry name of this entry, for operators
  /// \param Seats number of seats, at least 1
  seat_machine(seat_rules Rules, base::incarnation_id Incarnation,
               base::entry_name Entry, unsigned Seats);

  /// \brief The next call to the store, or the time to wait for.
  seat_step next(base::boot_time Now) const;

  /// \brief Takes the result of a read_seat step.
  void onRead(base::boot_time Now, const read_result &Result);

  /// \brief Takes the result of a write_seat step.
  /// \param SentAt instant before the call was made
  void onWrite(base::boot_time SentAt, base::boot_time Now,
               const write_result &Result);

  /// \brief Ends the authority at once and begins to release the seat. Not to
  /// be called between a step and its result.
  void release(base::boot_time Now);

  /// \brief The seat that may be used at this instant.
  std::optional<seat_authority> authority(base::boot_time Now) const;

private:
  enum class purpose { Claim, Renew, Release };

  /// Record of a seat that belongs to another holder.
  struct observation {
    std::uint64_t Index = 0;
    std::string Bytes;
    base::boot_time FirstSeen;
  };

  /// A compare-and-swap that is not settled.
  struct swap {
    purpose Purpose = purpose::Claim;
    seat_record Record;
    std::uint64_t Index = 0;
    base::boot_time NotBefore;
    /// First sending with an unknown effect since the last definite result.
    std::optional<base::boot_time> UnknownSince;
    /// True after a definite result, of which the record now in the store shows
    /// the rest.
    bool MustRead = false;
    bool IsWritten = false;
    /// First read that showed no more than before the swap.
    std::optional<base::boot_time> StaleSince;
  };

  bool isUnrenewed(base::boot_time Now, const value &Value);
  void scanned(base::boot_time Now, const read_result &Result);
  void beginSwap(purpose Purpose, seat_record Record, std::uint64_t Index,
                 base::boot_time NotBefore);
  void settle(base::boot_time Now, const read_result &Result);
  void noteStale(base::boot_time Now);
  void succeed(base::boot_time Now, std::uint64_t Index);
  void lose(base::boot_time Now);

  seat_rules Rules;
  base::incarnation_id Incarnation;
  base::entry_name Entry;
  unsigned Seats;

  /// Seat that is scanned, claimed or held.
  unsigned Seat;
  unsigned Scanned = 0;
  base::boot_time ResumeAt;
  std::map<unsigned, observation> Observations;
  std::optional<swap> Swap;
  /// Record and index of the held seat.
  std::optional<seat_record> Held;
  std::uint64_t HeldIndex = 0;
  std::optional<base::boot_time> Until;
  /// True between a refused renewal and the read that tells why.
  bool IsSuspended = false;
  std::optional<base::boot_time> ReleaseAt;
  bool IsDone = false;
};

} // namespace skylarkdyke::store

#endif
