#ifndef SKYLARKDYKE_STORE_SEAT_RECORD_HPP
#define SKYLARKDYKE_STORE_SEAT_RECORD_HPP

#include "skylarkdyke/base/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::store {

/// \brief State of a seat in the store.
enum class seat_state {
  /// Claimed by the incarnation.
  Held,
  /// Given up by its holder.
  Released,
  /// Freed by an operator who confirmed that the holder was destroyed.
  Confirmed
};

/// \brief Record of one seat under the key seatKey().
struct seat_record {
  seat_state State = seat_state::Held;
  /// Last holder.
  base::incarnation_id Incarnation;
  base::entry_name Entry;
  /// Renewals since the claim; each changes the record, so that other entries
  /// see that its holder is alive.
  std::uint64_t Renewals = 0;
  /// Operator of a Confirmed record.
  base::operator_name ReleasedBy;

  friend bool operator==(const seat_record &Left, const seat_record &Right) {
    return Left.State == Right.State && Left.Incarnation == Right.Incarnation &&
           Left.Entry == Right.Entry && Left.Renewals == Right.Renewals &&
           Left.ReleasedBy == Right.ReleasedBy;
  }
};

/// \brief Store key of a seat.
std::string seatKey(unsigned Seat);

/// \brief Encodes a record as JSON.
std::string encode(const seat_record &Record);

/// \brief Decodes a record.
/// \return the record, or nothing if the text is not one
std::optional<seat_record> decodeSeatRecord(std::string_view Text);

} // namespace skylarkdyke::store

#endif
