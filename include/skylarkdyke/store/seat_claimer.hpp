#ifndef SKYLARKDYKE_STORE_SEAT_CLAIMER_HPP
#define SKYLARKDYKE_STORE_SEAT_CLAIMER_HPP

#include "skylarkdyke/store/seat_machine.hpp"

#include <memory>

namespace skylarkdyke::store {

/// \brief Thread that claims a seat, renews it and releases it on a graceful
/// stop.
class seat_claimer {
public:
  /// \param Store client for the store; outlives the claimer
  /// \param Rules times, equal in all entries
  /// \param Incarnation identity of this process
  /// \param Entry name of this entry, for operators
  seat_claimer(client &Store, seat_rules Rules,
               base::incarnation_id Incarnation, base::entry_name Entry);
  ~seat_claimer();

  /// \brief Starts the thread. Calls after the first have no effect.
  /// \param Seats number of seats in the configuration, at least 1
  void start(unsigned Seats);

  /// \brief Ends the authority at once, releases the seat and ends the thread.
  /// Takes QuietTime when a seat is held, and at most 3 s more when the store
  /// does not answer; the seat then stays claimed until it is taken over.
  void stop();

  /// \brief The seat that may be used now. To be asked at the moment of use,
  /// since the process may have been paused. Thread-safe.
  std::optional<seat_authority> authority() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
