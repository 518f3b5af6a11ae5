#ifndef SKYLARKDYKE_STEERING_RAMP_HPP
#define SKYLARKDYKE_STEERING_RAMP_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/config/document.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkdyke::steering {

/// \brief Weights of targets, failure domains and regions under the drains of
/// one document.
///
/// Every entry computes the same weights from the same document and wall clock.
/// Immutable; safe for concurrent reads.
class ramp {
public:
  /// \brief Reads the drains, the shift cap and the regions of a document.
  /// Complexity: O(d log d) for d drains.
  explicit ramp(const config::document &Document);

  /// \brief Weight of a target: the smallest of those of the target, its domain
  /// and its region, so that two drains together move no faster than one.
  /// \return 0 (no new work) to 1
  double weight(const config::target &Target, base::wall_time Now) const;

  /// \brief Weight of one scope alone.
  /// \param Name the target id, domain or region
  /// \return 0 to 1; 1 for a scope without a drain
  double weight(config::drain_scope Scope, const std::string &Name,
                base::wall_time Now) const;

  /// \brief End of the latest drain of a scope.
  /// \return the instant from which the weight is final, or nothing if the
  /// scope has no drain or the shift cap allows no move
  std::optional<base::wall_time> completeAt(config::drain_scope Scope,
                                            const std::string &Name) const;

private:
  /// One drain with the weight that the earlier ones had left at its start.
  struct step {
    base::wall_time Start;
    config::drain_action Action;
    double WeightAtStart;
  };
  using scope_key = std::pair<config::drain_scope, std::string>;

  double after(const step &Step, config::drain_scope Scope,
               base::wall_time Now) const;

  double RatePerSecond;
  std::map<scope_key, std::vector<step>> Steps;
  std::map<base::domain_name, base::region_name> RegionOf;
};

} // namespace skylarkdyke::steering

#endif
