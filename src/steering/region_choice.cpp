#include "skylarkdyke/steering/region_choice.hpp"

namespace skylarkdyke::steering {

using std::chrono::nanoseconds;

nanoseconds expectedWait(std::size_t Waiting, unsigned UsableSlots,
                         nanoseconds MeanLatency) {
  if (UsableSlots == 0)
    return nanoseconds::max();
  return MeanLatency * static_cast<nanoseconds::rep>(Waiting) / UsableSlots;
}

/// Delay of a request that runs in a region: expected wait plus round-trip
/// time, saturating.
static nanoseconds delayOf(const region_option &Option) {
  if (Option.ExpectedWait > nanoseconds::max() - Option.RoundTrip)
    return nanoseconds::max();
  return Option.ExpectedWait + Option.RoundTrip;
}

std::optional<base::region_name>
chooseRegion(const region_option &Own,
             const std::vector<region_option> &Others) {
  const region_option *Best = Own.Usable ? &Own : nullptr;
  for (const region_option &Other : Others)
    if (Other.Usable && (!Best || delayOf(Other) < delayOf(*Best)))
      Best = &Other;
  if (!Best)
    return std::nullopt;
  return Best->Region;
}

} // namespace skylarkdyke::steering
