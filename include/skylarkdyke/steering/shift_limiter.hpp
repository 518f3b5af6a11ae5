#ifndef SKYLARKDYKE_STEERING_SHIFT_LIMITER_HPP
#define SKYLARKDYKE_STEERING_SHIFT_LIMITER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <unordered_map>

namespace skylarkdyke::steering {

/// \brief Limits how fast each service's failover traffic into other regions
/// grows: per second by at most the shift cap, a percentage of the service's
/// recent request rate.
///
/// Does no I/O and reads no clock: the time is an argument. Not thread-safe.
/// Stores one state per service seen.
class shift_limiter {
public:
  /// \param CapPercentPerSecond shift cap of the document, in percent of the
  /// recent rate per second
  explicit shift_limiter(double CapPercentPerSecond);

  /// \brief Replaces the shift cap.
  void setCap(double CapPercentPerSecond);

  /// \brief Counts a request of a service, whichever region runs it.
  void countRequest(const base::service_name &Service, base::boot_time Now);

  /// \brief Requests permission to send one request of a service to another
  /// region.
  /// \return false if the request must not be sent there now
  bool tryShift(const base::service_name &Service, base::boot_time Now);

  /// \brief Rate at which requests may fail over now, in requests per second.
  double allowedRate(const base::service_name &Service,
                     base::boot_time Now) const;

private:
  struct state {
    base::boot_time UpdatedAt = base::boot_time::min();
    /// Smoothed rate of all requests, per second.
    double RecentRate = 0;
    /// Smoothed rate of the requests that failed over, per second.
    double ShiftedRate = 0;
    double AllowedRate = 0;
    /// Token bucket: number of requests that may fail over at once. Requests
    /// are refused while it is below 1.
    double Tokens = 0;
    /// Instant until which the allowed rate rises. A refused request extends
    /// it.
    base::boot_time IncreaseUntil = base::boot_time::min();
  };

  void advance(state &State, base::boot_time Now) const;

  double CapPerSecond;
  std::unordered_map<base::service_name, state> States;
};

} // namespace skylarkdyke::steering

#endif
