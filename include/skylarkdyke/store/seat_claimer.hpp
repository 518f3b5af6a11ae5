#ifndef SKYLARKDYKE_STORE_SEAT_CLAIMER_HPP
#define SKYLARKDYKE_STORE_SEAT_CLAIMER_HPP

#include "skylarkdyke/store/seat_state_machine.hpp"

#include <memory>

namespace skylarkdyke::store {

/// \brief Background thread that claims a seat, renews it, and releases it on a
/// graceful stop.
class seat_claimer {
public:
  /// \param Store client for the store; outlives the claimer
  /// \param Rules time parameters, equal in all entries
  /// \param Incarnation identity of this process
  /// \param Entry name of this entry in the record, shown to operators
  seat_claimer(client &Store, seat_rules Rules,
               base::incarnation_id Incarnation, base::entry_name Entry);
  ~seat_claimer();

  /// \brief Starts the thread. Calls after the first have no effect.
  /// \param Seats number of seats in the configuration, at least 1
  void start(unsigned Seats);

  /// \brief Revokes the authority at once, releases the seat and joins the
  /// thread. Takes seat_rules::ReleaseDelay if a seat is held, and at most 3 s
  /// more if the store does not respond; the seat then stays claimed until
  /// another entry takes it over.
  void stop();

  /// \brief Returns the seat that may be used now, if any. Must be called at
  /// the moment of use, since the process may have been paused. Thread-safe.
  std::optional<seat_authority> authority() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
