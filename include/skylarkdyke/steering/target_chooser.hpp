#ifndef SKYLARKDYKE_STEERING_TARGET_CHOOSER_HPP
#define SKYLARKDYKE_STEERING_TARGET_CHOOSER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/config/document.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::steering {

/// \brief A target and the fraction of its slots that may take new requests,
/// from 0 (none) to 1 (all).
struct weighted_target {
  config::target Target;
  double Weight = 1;
};

/// \brief Outcome of one attempt at a target, used to assess the target.
enum class attempt_result {
  /// The target sent a response with a status below 500.
  Completed,
  /// The target sent a response with a status of 500 or above.
  ErrorResponse,
  /// The target rejected the request because of overload.
  Shed,
  /// No valid response was received, for example after a timeout.
  Failed,
  /// The attempt says nothing about the target.
  Cancelled
};

/// \brief Load balancer for the targets of one service in one region. It counts
/// the slots in use and ejects targets that fail.
///
/// Does no I/O and reads no clock: the time is an argument. Not thread-safe.
class target_chooser {
public:
  target_chooser();
  ~target_chooser();
  target_chooser(target_chooser &&) noexcept;
  target_chooser &operator=(target_chooser &&) noexcept;

  /// \brief Replaces the set of targets. Targets in both sets keep their state.
  /// The state of a removed target is dropped once all its slots are released.
  void configure(std::vector<weighted_target> Targets, base::boot_time Now);

  /// \brief Selects an eligible target, preferring low utilization, and
  /// reserves a slot at it.
  /// \param MaxPerTarget maximum number of slots this entry may use at a target
  /// \param Excluded targets that this request has already been sent to
  /// \return the target, or nothing if no slot is available
  std::optional<config::target>
  acquire(unsigned MaxPerTarget, const std::vector<base::target_id> &Excluded,
          base::boot_time Now);

  /// \brief Releases a slot and updates the target's error rate and latency.
  /// \param Latency duration of the attempt; ignored unless it completed
  void release(const base::target_id &Target, attempt_result Result,
               std::chrono::nanoseconds Latency, base::boot_time Now);

  /// \brief Records a probe result. A recent success of this entry's own
  /// requests overrides an unhealthy result.
  /// \param ReportedInFlight number of requests in progress at the target
  void reportProbe(const base::target_id &Target, bool Healthy,
                   unsigned ReportedInFlight, base::boot_time Now);

  /// \brief Number of slots that may be used now, summed over all eligible
  /// targets, whether in use or not.
  unsigned usableSlots(base::boot_time Now) const;
  unsigned slotsInUse() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::steering

#endif
