#ifndef SKYLARKDYKE_ADMISSION_ADMISSION_CONTROLLER_HPP
#define SKYLARKDYKE_ADMISSION_ADMISSION_CONTROLLER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <unordered_map>

namespace skylarkdyke::admission {

/// \brief Estimates for a request at the target chosen for it.
struct queue_estimate {
  /// Time until the request gets a slot.
  std::chrono::nanoseconds Wait{0};
  /// Time from getting the slot to the answer, network included.
  std::chrono::nanoseconds ProcessingTime{0};
  /// Latency objective of the request's route; 0 if there is none.
  std::chrono::nanoseconds Objective{0};
  /// Latest completion time that meets the objective.
  base::boot_time ObjectiveDeadline;
};

/// \brief Decides whether a request may join the queue of its target.
///
/// Protects latency when a service is overloaded. In a queue that is bounded
/// only by request deadlines, every request waits until it misses its latency
/// objective, although the slots would suffice to serve most requests in time.
/// A request is therefore refused at once if it misses its objective only
/// because of the wait. A request that misses it even without a wait may join
/// only short queues, while most other requests can still meet theirs. A
/// request that a caller sends again after a refusal counts as a new one, so
/// that it is not refused again because of its age.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class admission_controller {
public:
  /// \return false if the request must be refused
  bool admits(const base::service_name &Service, const queue_estimate &Estimate,
              base::boot_time Now);

private:
  /// Moving average of the share of requests that would meet their objective
  /// without a wait, by service.
  std::unordered_map<base::service_name, double> OnTimeShare;
};

} // namespace skylarkdyke::admission

#endif
