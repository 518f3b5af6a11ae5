#include "skylarkdyke/steering/retry_budget.hpp"

namespace skylarkdyke::steering {

void retry_budget::countRequest(const base::service_name &Service) {
  unsigned &Requests = Credits[Service];
  if (Requests < RequestsPerRetry * MaxBurstRetries)
    ++Requests;
}

bool retry_budget::tryRetry(const base::service_name &Service) {
  const auto Requests = Credits.find(Service);
  if (Requests == Credits.end() || Requests->second < RequestsPerRetry)
    return false;
  Requests->second -= RequestsPerRetry;
  return true;
}

} // namespace skylarkdyke::steering
