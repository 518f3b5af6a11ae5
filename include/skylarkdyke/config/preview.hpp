#ifndef SKYLARKDYKE_CONFIG_PREVIEW_HPP
#define SKYLARKDYKE_CONFIG_PREVIEW_HPP

#include "skylarkdyke/config/document.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkdyke::config {

/// \brief Observed load of one service from callers whose requests arrive in
/// one region.
struct service_load {
  base::service_name Service;
  /// Region whose entries receive the requests from the callers.
  base::region_name Origin;
  double RequestsPerSecond = 0;
  /// Mean number of slots in use; 0 if unknown.
  double BusySlots = 0;
  double RequestBitsPerSecond = 0;
  double AnswerBitsPerSecond = 0;
};

/// \brief Effect of a configuration change on one region.
struct region_effect {
  base::region_name Region;
  std::uint64_t CapPerSecond = 0;
  /// Slots of the targets in the region that are not drained before the change.
  std::uint64_t SlotsBefore = 0;
  /// Slots of the targets in the region that remain after the drains.
  std::uint64_t SlotsAfter = 0;
  /// Requests per second that targets in the region serve.
  double RequestsPerSecondBefore = 0;
  double RequestsPerSecondAfter = 0;
  /// Fraction of the total load that the region serves, from 0 to 1.
  double LoadShareBefore = 0;
  double LoadShareAfter = 0;
  /// Reasons for which the region would be overloaded after the change; empty
  /// if it would not.
  std::vector<std::string> Overloads;
};

/// \brief Effect of a configuration change on one link.
struct link_effect {
  base::region_name From;
  base::region_name To;
  std::uint64_t CapBitsPerSecond = 0;
  double BitsPerSecondBefore = 0;
  double BitsPerSecondAfter = 0;
  bool IsOverloaded = false;
};

/// \brief A target that serves traffic before the change but not after it.
struct leaving_target {
  base::target_id Id;
  base::service_name Service;
  /// True if the target is removed from the document, so that its traffic moves
  /// at once instead of in a ramp.
  bool IsRemoved = false;
};

/// \brief A drain that the change adds or modifies.
struct drain_effect {
  drain Drain;
  /// Time from the start of the drain until all traffic has moved; zero for a
  /// single target, whose traffic moves at once.
  std::chrono::milliseconds Ramp{0};
};

/// \brief Effect of a configuration change at the observed load.
struct change_preview {
  std::vector<region_effect> Regions;
  std::vector<link_effect> Links;
  std::vector<leaving_target> LeavingTargets;
  std::vector<drain_effect> Drains;
  /// Requests per second of services that would have no target.
  double UnservedPerSecond = 0;
};

/// \brief Estimates the state after all drains of a change have ended.
///
/// The load of a service stays in its origin region up to the slots of the
/// remaining targets there; the excess is distributed over the other regions in
/// proportion to their remaining slots for the service.
/// \param Old the document in force
/// \param New its valid successor
/// \param Loads observed load, at most one item per service and origin
/// \return the effect; O(targets log + loads * regions)
change_preview preview(const document &Old, const document &New,
                       const std::vector<service_load> &Loads);

} // namespace skylarkdyke::config

#endif
