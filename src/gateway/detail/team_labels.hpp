#ifndef SKYLARKDYKE_GATEWAY_DETAIL_TEAM_LABELS_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_TEAM_LABELS_HPP

#include "skylarkdyke/base/names.hpp"

#include <cstddef>
#include <set>
#include <string>

namespace skylarkdyke::gateway::detail {

/// \brief Values of the label "team" of metrics, of which a process has a
/// bounded number however many teams come and go.
class team_labels {
public:
  /// Largest number of teams that have values of their own.
  static constexpr std::size_t MaxTeams = 128;

  /// \return the name of the team; "other" for those that are beyond the bound
  std::string labelOf(const base::team_name &Team) {
    if (Known.size() < MaxTeams)
      Known.insert(Team);
    return Known.count(Team) != 0 ? Team.str() : "other";
  }

private:
  std::set<base::team_name> Known;
};

} // namespace skylarkdyke::gateway::detail

#endif
