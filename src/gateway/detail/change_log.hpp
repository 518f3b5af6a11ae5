#ifndef SKYLARKDYKE_GATEWAY_DETAIL_CHANGE_LOG_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_CHANGE_LOG_HPP

#include "skylarkdyke/base/store_version.hpp"
#include "skylarkdyke/routing/target.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief A change with its revision in the era of the store that its context
/// names.
struct recorded_change {
  std::uint64_t Revision = 0;
  routing::store_change Change;
};

/// \brief The latest changes of the store, for entries that are a few changes
/// behind. All belong to one era of the store. Memory is bounded by MaxChanges.
class change_log {
public:
  static constexpr std::size_t MaxChanges = 2000;

  /// \param Version of the era of the log
  void add(const routing::store_change &Change,
           const base::store_version &Version);

  /// \brief Forgets all changes: those up to a version are not known one by
  /// one. The era of the log becomes that of the version.
  void restartAfter(const base::store_version &Version);

  /// \return whether the log has every change after a version
  bool covers(const base::store_version &Version) const {
    return Version.Era == StartsAfter.Era && Version >= StartsAfter;
  }

  /// \return whether a configuration was published after a version that the
  /// log covers
  bool hasConfigurationAfter(const base::store_version &Version) const;

  /// \return the changes after a version that the log covers, in order
  std::vector<recorded_change>
  changesAfter(const base::store_version &Version) const;

private:
  std::deque<recorded_change> Changes;
  base::store_version StartsAfter;
};

} // namespace skylarkdyke::gateway::detail

#endif
