#ifndef SKYLARKDYKE_CONFIG_SCOPE_HPP
#define SKYLARKDYKE_CONFIG_SCOPE_HPP

#include "skylarkdyke/config/document.hpp"

#include <array>
#include <map>
#include <set>

namespace skylarkdyke::config {

/// \brief Region of each failure domain of a document.
using domain_regions = std::map<base::domain_name, base::region_name>;

/// \brief Collects the region of each failure domain; a domain that stands in
/// several regions belongs to the first.
domain_regions regionsOfDomains(const document &Document);

/// \brief Name of a scope as in the document.
const char *toString(drain_scope Scope);

/// \brief Name of an action as in the document.
const char *toString(drain_action Action);

/// \brief What the drains of a document take out of service, regardless of
/// their start.
class leaving_scopes {
public:
  explicit leaving_scopes(const document &Document);

  /// \brief Tells whether a drain with the action `leave` names the target, its
  /// domain or its region. O(log n) in the drains.
  bool contains(const target &Target) const;

private:
  domain_regions Regions;
  /// Names by drain_scope.
  std::array<std::set<std::string>, 3> Names;
};

} // namespace skylarkdyke::config

#endif
