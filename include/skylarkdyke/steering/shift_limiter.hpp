#ifndef SKYLARKDYKE_STEERING_SHIFT_LIMITER_HPP
#define SKYLARKDYKE_STEERING_SHIFT_LIMITER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <unordered_map>

namespace skylarkdyke::steering {

/// \brief Limits how fast the traffic of each service that fails over into
/// other regions rises: by at most the shift cap of the service's recent rate
/// per second.
///
/// Pure: time comes in as an argument. Not thread-safe. Holds one state per
/// service that it was called for.
class shift_limiter {
public:
  /// \param CapPercentPerSecond shift cap of the document
  explicit shift_limiter(double CapPercentPerSecond);

  /// \brief Replaces the shift cap.
  void setCap(double CapPercentPerSecond);

  /// \brief Counts a request of a service, wherever it goes.
  void countRequest(const base::service_name &Service, base::boot_time Now);

  /// \brief Asks to send one request of a service into another region.
  /// \return false if the request must not be sent there now
  bool tryShift(const base::service_name &Service, base::boot_time Now);

  /// \brief Requests per second that may fail over now.
  double allowedRate(const base::service_name &Service,
                     base::boot_time Now) const;

private:
  struct state {
    base::boot_time UpdatedAt = base::boot_time::min();
    /// Requests per second, all and those that failed over.
    double RecentRate = 0;
    double ShiftedRate = 0;
    double AllowedRate = 0;
    /// Requests that may be sent at once; below one refuses.
    double Tokens = 0;
    /// The allowed rate rises until this instant: a request was refused.
    base::boot_time RisesUntil = base::boot_time::min();
  };

  void advance(state &State, base::boot_time Now) const;

  double CapPerSecond;
  std::unordered_map<base::service_name, state> States;
};

} // namespace skylarkdyke::steering

#endif
