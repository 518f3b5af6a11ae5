#include "skylarkdyke/steering/dispatcher.hpp"

#include "steering/detail/rendezvous.hpp"

#include <tuple>

namespace skylarkdyke::steering {

const entries::member *
dispatcherOf(const base::service_name &Service, const base::region_name &Region,
             const std::vector<entries::member> &Members) {
  const entries::member *Best = nullptr;
  std::tuple<std::uint64_t, base::incarnation_id> BestRank;
  for (const entries::member &Member : Members) {
    if (Member.Region != Region || !detail::takesNewWork(Member))
      continue;
    const std::tuple Rank(detail::scoreOf(Service, detail::seedOf(Member.Name)),
                          Member.Incarnation);
    if (!Best || BestRank < Rank) {
      Best = &Member;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace skylarkdyke::steering
