#include "gateway/detail/rate_holders.hpp"

#include <string>
#include <xxhash.h>

namespace skylarkdyke::gateway::detail {

static placement::rate_holder
rateHolderOf(const base::endpoint &Mesh,
             const membership::share_weights &Weights) {
  const std::string Name = base::toString(Mesh);
  return {XXH3_64bits(Name.data(), Name.size()), Weights.Default,
          Weights.ByService};
}

placement::rate_division
rateDivisionOf(const membership::limit_division &Division,
               const base::endpoint &OwnMesh) {
  placement::rate_division Result;
  Result.Own = rateHolderOf(OwnMesh, Division.Own);
  Result.Others.reserve(Division.Others.size());
  for (const membership::limit_holder &Other : Division.Others)
    Result.Others.push_back(rateHolderOf(Other.MeshAddress, Other.Weights));
  // All entries read the same instant off their wall clocks.
  Result.SlotOrigin = base::toBootTime(base::wall_time{});
  return Result;
}

} // namespace skylarkdyke::gateway::detail
