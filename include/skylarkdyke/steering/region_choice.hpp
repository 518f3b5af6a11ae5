#ifndef SKYLARKDYKE_STEERING_REGION_CHOICE_HPP
#define SKYLARKDYKE_STEERING_REGION_CHOICE_HPP

#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace skylarkdyke::steering {

/// \brief What is known of a region as a place to run a request.
struct region_option {
  base::region_name Region;
  /// False if no target there takes new work or a cap leaves no share.
  bool Usable = false;
  /// How long a request would wait there for a free slot; zero if not known.
  std::chrono::nanoseconds ExpectedWait{0};
  /// Of the link to it; zero for the own region.
  std::chrono::nanoseconds RoundTrip{0};
};

/// \brief Estimates the wait for a free slot in a queue.
/// \param Waiting requests in the queue
/// \param UsableSlots slots that serve it
/// \param MeanLatency of a request at a target
/// \return the wait of the next request, or the largest duration if there is
/// no slot
std::chrono::nanoseconds expectedWait(std::size_t Waiting, unsigned UsableSlots,
                                      std::chrono::nanoseconds MeanLatency);

/// \brief Chooses the region that runs a request. The own region is kept unless
/// it is not usable or its expected wait exceeds the round trip to another
/// region and the wait there.
/// Complexity: O(n) for n regions.
/// \return the region, or nothing if none is usable
std::optional<base::region_name>
chooseRegion(const region_option &Own,
             const std::vector<region_option> &Others);

} // namespace skylarkdyke::steering

#endif
