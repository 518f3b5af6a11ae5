#ifndef SKYLARKDYKE_GATEWAY_DETAIL_WATCH_DELAY_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_WATCH_DELAY_HPP

#include <algorithm>
#include <chrono>

namespace skylarkdyke::gateway::detail {

/// Minimum delay between a watch call that returned changes and the next one,
/// so that changes in quick succession cost one call.
inline constexpr std::chrono::milliseconds MinWatchDelay{250};
/// Maximum delay: a change must be active on all entries within two to three
/// seconds.
inline constexpr std::chrono::milliseconds MaxWatchDelay{750};
/// Largest number of entries that use the minimum delay.
inline constexpr unsigned MaxEntriesAtMinDelay = 12;

/// \brief Returns the delay between two watch calls of one entry. It is
/// longer with many entries, so that the calls of all entries grow more
/// slowly than their number.
/// \param EntryCount number of entries that watch the store, this one
/// included
inline std::chrono::milliseconds watchDelay(unsigned EntryCount) {
  const auto Scaled = MinWatchDelay *
                      std::max(EntryCount, MaxEntriesAtMinDelay) /
                      MaxEntriesAtMinDelay;
  return std::min(Scaled, MaxWatchDelay);
}

} // namespace skylarkdyke::gateway::detail

#endif
