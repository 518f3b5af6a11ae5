#ifndef SKYLARKDYKE_STEERING_TARGET_CHOOSER_HPP
#define SKYLARKDYKE_STEERING_TARGET_CHOOSER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/config/document.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::steering {

/// \brief A target with its share of new work from 0 (none) to 1 (all of its
/// slots).
struct weighted_target {
  config::target Target;
  double Weight = 1;
};

/// \brief How an attempt at a target ended, as far as it tells about the
/// target.
enum class attempt_result { Completed, ErrorAnswer, Shed, Failed, Cancelled };

/// \brief Chooses among the targets of one service in one region and counts
/// their slots in use.
///
/// Pure: time comes in as an argument. Not thread-safe.
class target_chooser {
public:
  target_chooser();
  ~target_chooser();
  target_chooser(target_chooser &&) noexcept;
  target_chooser &operator=(target_chooser &&) noexcept;

  /// \brief Replaces the targets. State of targets that stay is kept; a slot in
  /// use at a target that is gone is forgotten when it is released.
  void configure(std::vector<weighted_target> Targets, base::boot_time Now);

  /// \brief Takes a slot at the best target.
  /// \param MaxPerTarget most slots that this entry may use at one target
  /// \param Excluded targets that this request has tried already
  /// \return the target, or nothing if no slot is free
  std::optional<config::target>
  acquire(unsigned MaxPerTarget, const std::vector<base::target_id> &Excluded,
          base::boot_time Now);

  /// \brief Returns a slot and learns from the attempt.
  void release(const base::target_id &Target, attempt_result Result,
               std::chrono::nanoseconds Latency, base::boot_time Now);

  /// \brief Learns from a probe. Own observation of attempts goes before it.
  void report(const base::target_id &Target, bool Healthy,
              unsigned ReportedInFlight, base::boot_time Now);

  /// \brief Slots that may be used now, over all targets that are not ejected.
  unsigned usableSlots(base::boot_time Now) const;
  unsigned slotsInUse() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::steering

#endif
