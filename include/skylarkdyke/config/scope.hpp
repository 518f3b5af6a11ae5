#ifndef SKYLARKDYKE_CONFIG_SCOPE_HPP
#define SKYLARKDYKE_CONFIG_SCOPE_HPP

#include "skylarkdyke/config/document.hpp"

#include <array>
#include <map>
#include <set>

namespace skylarkdyke::config {

/// \brief Maps each failure domain of a document to its region.
using domain_regions = std::map<base::domain_name, base::region_name>;

/// \brief Returns the region of each failure domain. A failure domain that is
/// listed in several regions is assigned to the first.
domain_regions regionsOfDomains(const document &Document);

/// \brief Returns the name of a scope in the encoded document.
const char *toString(drain_scope Scope);

/// \brief Returns the name of an action in the encoded document.
const char *toString(drain_action Action);

/// \brief Targets, failure domains and regions from which the drains of a
/// document move traffic away, regardless of the start of the drains.
class drained_scopes {
public:
  explicit drained_scopes(const document &Document);

  /// \brief Returns whether a drain with the action `leave` names the target,
  /// its failure domain or its region. O(log n) in the number of drains.
  bool contains(const target &Target) const;

private:
  domain_regions Regions;
  /// Drained names, indexed by drain_scope.
  std::array<std::set<std::string>, 3> NamesByScope;
};

} // namespace skylarkdyke::config

#endif
