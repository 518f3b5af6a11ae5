#include "skylarkdyke/admission/waiting_requests.hpp"

#include <iterator>
#include <utility>

namespace skylarkdyke::admission {

waiting_place waiting_requests::add(const base::target_id &Target,
                                    waiting_place Place, wake_callback OnWake) {
  Place.Sequence = NextSequence++;
  ByTarget[Target].emplace(Place, std::move(OnWake));
  ++Size;
  return Place;
}

void waiting_requests::remove(const base::target_id &Target,
                              const waiting_place &Place) {
  const auto Found = ByTarget.find(Target);
  if (Found == ByTarget.end())
    return;
  Size -= Found->second.erase(Place);
  if (Found->second.empty())
    ByTarget.erase(Found);
}

std::size_t waiting_requests::countAhead(const base::target_id &Target,
                                         const waiting_place &Place) const {
  const auto Found = ByTarget.find(Target);
  if (Found == ByTarget.end())
    return 0;
  return static_cast<std::size_t>(
      std::distance(Found->second.begin(), Found->second.lower_bound(Place)));
}

void waiting_requests::wakeFirst(const base::target_id &Target) {
  const auto Found = ByTarget.find(Target);
  if (Found == ByTarget.end())
    return;
  const auto First = Found->second.begin();
  const wake_callback OnWake = std::move(First->second);
  remove(Target, waiting_place(First->first));
  OnWake();
}

} // namespace skylarkdyke::admission
