#ifndef SKYLARKDYKE_STEERING_RETRY_BUDGET_HPP
#define SKYLARKDYKE_STEERING_RETRY_BUDGET_HPP

#include "skylarkdyke/base/names.hpp"

#include <unordered_map>

namespace skylarkdyke::steering {

/// \brief Limits the retries of each service to 10% of its requests with a
/// token bucket that is filled by requests.
///
/// The bucket starts empty, so the limit holds from the first request on.
/// Not thread-safe. Stores one number per service seen.
class retry_budget {
public:
  /// Number of requests that allow one retry.
  static constexpr unsigned RequestsPerRetry = 10;
  /// Capacity of a service's bucket in retries. It bounds the burst of retries
  /// that can hit targets which have just failed.
  static constexpr unsigned MaxBurstRetries = 10;

  /// \brief Counts a request's first attempt.
  void countRequest(const base::service_name &Service);

  /// \brief Consumes one retry from the budget.
  /// \return false if the budget is exhausted and the request must not be
  /// retried
  bool tryRetry(const base::service_name &Service);

private:
  /// Requests per service that no retry has consumed yet.
  std::unordered_map<base::service_name, unsigned> Credits;
};

} // namespace skylarkdyke::steering

#endif
