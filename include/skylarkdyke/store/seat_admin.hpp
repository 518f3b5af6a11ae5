#ifndef SKYLARKDYKE_STORE_SEAT_ADMIN_HPP
#define SKYLARKDYKE_STORE_SEAT_ADMIN_HPP

#include "skylarkdyke/store/client.hpp"
#include "skylarkdyke/store/seat_record.hpp"

#include <variant>

namespace skylarkdyke::store {

/// \brief Reads the record of one seat for display.
/// \return the record, not_found if the seat was never claimed, or unavailable,
/// also for a record that cannot be decoded
std::variant<seat_record, not_found, unavailable>
readSeat(client &Store, unsigned Seat, base::boot_time Deadline);

/// \brief Releases the seat of an instance that an operator confirms to be
/// destroyed. If the instance still runs, both it and the next holder may use
/// the seat until the next renewal by the instance, so the caps can be
/// exceeded.
/// \param Holder incarnation that the operator saw as holder; a seat that has
/// another holder by now is not changed
/// \param Operator operator who confirms, stored in the record
/// \return refused if the seat is not held by that incarnation
write_result confirmDestroyed(client &Store, unsigned Seat,
                              base::incarnation_id Holder,
                              const base::operator_name &Operator,
                              base::boot_time Deadline);

} // namespace skylarkdyke::store

#endif
