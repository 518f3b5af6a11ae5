#include "skylarkdyke/steering/dispatcher.hpp"

#include "steering/detail/rendezvous.hpp"

#include <tuple>

namespace skylarkdyke::steering {

const entries::member *
dispatcherOf(const base::service_name &Service, const base::region_name &Region,
             const std::vector<entries::member> &Members) {
  const entries::member *Best = nullptr;
  std::tuple<std::uint64_t, base::incarnation_id> BestScore;
  for (const entries::member &Member : Members) {
    if (Member.Region != Region || !detail::acceptsRequests(Member))
      continue;
    const std::tuple Score(
        detail::scoreOf(Service, detail::seedOf(Member.Name)),
        Member.Incarnation);
    if (!Best || BestScore < Score) {
      Best = &Member;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace skylarkdyke::steering
