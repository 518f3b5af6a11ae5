#ifndef SKYLARKDYKE_ENTRIES_FAILURE_DETECTOR_HPP
#define SKYLARKDYKE_ENTRIES_FAILURE_DETECTOR_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <memory>

namespace skylarkdyke::entries {

/// \brief Decides from the arrival of heartbeats which members are suspected to
/// have failed. Called on the mesh thread only.
class failure_detector {
public:
  virtual ~failure_detector() = default;

  /// \brief Records the arrival of a heartbeat.
  virtual void heartbeat(base::incarnation_id Member, base::boot_time Now) = 0;

  /// \brief Removes the state of a member.
  virtual void forget(base::incarnation_id Member) = 0;

  /// \return true while the member is suspected to have failed; a member
  /// without any heartbeat is suspected
  virtual bool suspects(base::incarnation_id Member,
                        base::boot_time Now) const = 0;
};

/// \brief Creates a detector that suspects a member when its last heartbeat is
/// older than a fixed time.
/// \param Timeout age of the last heartbeat from which a member is suspected
std::unique_ptr<failure_detector>
makeTimeoutDetector(std::chrono::milliseconds Timeout);

} // namespace skylarkdyke::entries

#endif
