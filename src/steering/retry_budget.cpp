#include "skylarkdyke/steering/retry_budget.hpp"

namespace skylarkdyke::steering {

void retry_budget::countRequest(const base::service_name &Service) {
  unsigned &Requests = Saved[Service];
  if (Requests < RequestsPerRetry * MaxSavedRetries)
    ++Requests;
}

bool retry_budget::tryRetry(const base::service_name &Service) {
  const auto Requests = Saved.find(Service);
  if (Requests == Saved.end() || Requests->second < RequestsPerRetry)
    return false;
  Requests->second -= RequestsPerRetry;
  return true;
}

} // namespace skylarkdyke::steering
