#include "skylarkdyke/admission/active_priorities.hpp"

#include <algorithm>
#include <iterator>

namespace skylarkdyke::admission {

void active_priorities::record(const base::service_name &Service,
                               unsigned Priority, base::boot_time Now) {
  auto &Latest = LatestRequest[Service];
  Latest[Priority] = Now;
  if (Latest.size() > MaxPriorities)
    Latest.erase(std::prev(Latest.end()));
}

bool active_priorities::hasHigher(const base::service_name &Service,
                                  unsigned Priority,
                                  base::boot_time Now) const {
  const auto Found = LatestRequest.find(Service);
  if (Found == LatestRequest.end())
    return false;
  return std::any_of(
      Found->second.begin(), Found->second.lower_bound(Priority),
      [Now](const auto &Entry) { return Now - Entry.second < Retention; });
}

} // namespace skylarkdyke::admission
