#ifndef SKYLARKDYKE_PLACEMENT_MOVE_COUNTER_HPP
#define SKYLARKDYKE_PLACEMENT_MOVE_COUNTER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/placement/target_registry.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <unordered_map>

namespace skylarkdyke::placement {

/// \brief Why the requests for an object go to another target than before.
enum class move_cause {
  /// The target before takes no more requests: it left, is evacuated or pauses.
  TargetGone,
  /// The new target has joined lately and takes over objects.
  TargetJoined,
  /// The shares of the regions have changed.
  RegionShares,
  /// The target before is busy, slow or failing.
  Load,
};

inline constexpr std::size_t MoveCauseCount = 4;

/// \brief Counts how often objects change their target at this entry.
///
/// Remembers the latest target of up to MaxObjects objects. Reads no clock: the
/// time is passed as an argument. Not thread-safe.
class move_counter {
public:
  static constexpr std::size_t MaxObjects = 20000;
  /// Time for which a target counts as having joined lately.
  static constexpr std::chrono::seconds JoinedLately{60};

  explicit move_counter(const target_registry &Registry) : Registry(Registry) {}

  /// \brief Records where the first send of a request goes.
  void record(std::uint64_t ObjectHash, const target_state &Target,
              base::boot_time Now);

  /// \return number of moves for a cause since the start
  std::uint64_t count(move_cause Cause) const {
    return Counts[static_cast<std::size_t>(Cause)];
  }
  /// \return number of moves since the start
  std::uint64_t total() const {
    return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
  }

private:
  move_cause causeOf(const base::target_id &Previous,
                     const target_state &Target, base::boot_time Now) const;

  const target_registry &Registry;
  std::unordered_map<std::uint64_t, base::target_id> LatestTarget;
  std::array<std::uint64_t, MoveCauseCount> Counts{};
};

/// \return a short name of a cause, for metrics
const char *toString(move_cause Cause);

} // namespace skylarkdyke::placement

#endif
