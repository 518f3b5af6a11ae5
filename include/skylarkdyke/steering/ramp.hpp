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

/// \brief Weights of targets, failure domains and regions over time, as set by
/// the drains of one document. A drain of a domain or region changes the weight
/// linearly at the rate of the shift cap; a drain of a target changes it at
/// once.
///
/// All entries compute the same weights from the same document and wall clock.
/// Immutable; safe for concurrent reads.
class ramp {
public:
  /// \brief Reads the drains, the shift cap and the regions of a document.
  /// Complexity: O(d log d) for d drains.
  explicit ramp(const config::document &Document);

  /// \brief Weight of a target: the minimum of the weights of the target, its
  /// domain and its region, so that overlapping drains move traffic no faster
  /// than one drain.
  /// \return 0 (no new requests) to 1
  double weight(const config::target &Target, base::wall_time Now) const;

  /// \brief Weight of one scope without the scopes that contain it.
  /// \param Name the target id, domain or region
  /// \return 0 to 1; 1 for a scope without a drain
  double weight(config::drain_scope Scope, const std::string &Name,
                base::wall_time Now) const;

  /// \brief End of the latest drain of a scope.
  /// \return the instant from which the weight is final, or nothing if the
  /// scope has no drain or the shift cap is zero
  std::optional<base::wall_time> completeAt(config::drain_scope Scope,
                                            const std::string &Name) const;

private:
  /// One drain and the weight of its scope at its start.
  struct step {
    base::wall_time Start;
    config::drain_action Action;
    double WeightAtStart;
  };
  using scope_key = std::pair<config::drain_scope, std::string>;

  double weightAfter(const step &Step, config::drain_scope Scope,
                     base::wall_time Now) const;

  double RatePerSecond;
  std::map<scope_key, std::vector<step>> Steps;
  std::map<base::domain_name, base::region_name> RegionOf;
};

} // namespace skylarkdyke::steering

#endif
