#ifndef SKYLARKDYKE_STEERING_RETRY_BUDGET_HPP
#define SKYLARKDYKE_STEERING_RETRY_BUDGET_HPP

#include "skylarkdyke/base/names.hpp"

#include <unordered_map>

namespace skylarkdyke::steering {

/// \brief Limits the retries of each service to a tenth of its requests by a
/// token bucket that requests fill.
///
/// The bucket starts empty, so the limit holds from the first request on.
/// Not thread-safe. Holds one number per service that it was called for.
class retry_budget {
public:
  /// Requests that pay for one retry.
  static constexpr unsigned RequestsPerRetry = 10;
  /// Most retries that a service can save up. It bounds the burst with which
  /// retries can meet targets that have just failed.
  static constexpr unsigned MaxSavedRetries = 10;

  /// \brief Counts a request's first attempt.
  void countRequest(const base::service_name &Service);

  /// \brief Takes one retry from the budget.
  /// \return false if the request must not be sent again
  bool tryRetry(const base::service_name &Service);

private:
  /// Requests that no retry has used yet.
  std::unordered_map<base::service_name, unsigned> Saved;
};

} // namespace skylarkdyke::steering

#endif
