#ifndef SKYLARKDYKE_STEERING_REGION_CHOICE_HPP
#define SKYLARKDYKE_STEERING_REGION_CHOICE_HPP

#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace skylarkdyke::steering {

/// \brief State of a region as a candidate for running a request.
struct region_option {
  base::region_name Region;
  /// False if no target there accepts new requests or a cap is exhausted.
  bool Usable = false;
  /// Expected time until a slot is free there; zero if not known.
  std::chrono::nanoseconds ExpectedWait{0};
  /// Round-trip time to the region; zero for the own region.
  std::chrono::nanoseconds RoundTrip{0};
};

/// \brief Estimates the wait for a free slot in a queue.
/// \param Waiting number of requests in the queue
/// \param UsableSlots number of slots that serve the queue
/// \param MeanLatency mean latency of a request at a target
/// \return the expected wait of the next request, or the maximum duration if
/// there is no slot
std::chrono::nanoseconds expectedWait(std::size_t Waiting, unsigned UsableSlots,
                                      std::chrono::nanoseconds MeanLatency);

/// \brief Selects the region that runs a request: the own region, unless it is
/// not usable or its expected wait exceeds the sum of the round-trip time to
/// another region and the expected wait there.
/// Complexity: O(n) for n regions.
/// \return the region, or nothing if none is usable
std::optional<base::region_name>
chooseRegion(const region_option &Own,
             const std::vector<region_option> &Others);

} // namespace skylarkdyke::steering

#endif
