#ifndef SKYLARKDYKE_STORE_SEAT_RECORD_HPP
#define SKYLARKDYKE_STORE_SEAT_RECORD_HPP

#include "skylarkdyke/base/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::store {

/// \brief State of a seat record in the store.
enum class seat_state {
  /// Claimed by the incarnation.
  Held,
  /// Released by its holder.
  Released,
  /// Released by an operator who confirmed that the holder was destroyed.
  Confirmed
};

/// \brief Value stored for one seat under the key seatKey(). A seat entitles
/// its holder to a share of every cap.
struct seat_record {
  seat_state State = seat_state::Held;
  /// Current or last holder.
  base::incarnation_id Incarnation;
  base::entry_name Entry;
  /// Number of renewals since the claim. Each renewal changes the record, which
  /// shows other entries that the holder is alive.
  std::uint64_t Renewals = 0;
  /// Operator who confirmed the release; empty unless State is Confirmed.
  base::operator_name ReleasedBy;

  friend bool operator==(const seat_record &Left, const seat_record &Right) {
    return Left.State == Right.State && Left.Incarnation == Right.Incarnation &&
           Left.Entry == Right.Entry && Left.Renewals == Right.Renewals &&
           Left.ReleasedBy == Right.ReleasedBy;
  }
};

/// \brief Returns the store key of a seat.
std::string seatKey(unsigned Seat);

/// \brief Encodes a seat record as JSON.
std::string encode(const seat_record &Record);

/// \brief Decodes a seat record from JSON.
/// \return the record, or nothing if the text is not a valid record
std::optional<seat_record> decodeSeatRecord(std::string_view Text);

} // namespace skylarkdyke::store

#endif
