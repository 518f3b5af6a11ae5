#ifndef SKYLARKDYKE_OPERATORS_DETAIL_ACTIONS_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_ACTIONS_HPP

#include "skylarkdyke/operators/dependencies.hpp"

namespace skylarkdyke::operators::detail {

/// \brief Ends a block and logs it. \return false if there is none
bool releaseBlock(const dependencies &Entry, std::uint64_t Fingerprint,
                  const base::operator_name &Operator);

/// \brief Frees the seat of a destroyed instance and logs it.
store::write_result confirmSeat(const dependencies &Entry, unsigned Seat,
                                base::incarnation_id Holder,
                                const base::operator_name &Operator);

/// \brief Name of a seat's state, for people and the API.
const char *toString(store::seat_state State);

} // namespace skylarkdyke::operators::detail

#endif
