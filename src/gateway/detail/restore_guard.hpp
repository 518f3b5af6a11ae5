#ifndef SKYLARKDYKE_GATEWAY_DETAIL_RESTORE_GUARD_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_RESTORE_GUARD_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/placement/leaving_targets.hpp"
#include "skylarkdyke/routing/target.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief A change that an entry does not believe yet.
struct held_change {
  routing::store_change Change;
  /// Time at which the change takes effect unless another one replaces it.
  base::boot_time DueAt{};
};

/// \brief Decides what a store that has come back from a copy is believed.
///
/// The copy is some seconds old: it may still hold what was withdrawn since,
/// and may lack what was written since. What contradicts the knowledge of an
/// earlier era is held back. The operators and the targets write again what
/// they wrote, so that a change of the new era mostly replaces it; otherwise
/// the store is believed after HoldTime.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class restore_guard {
public:
  /// Time after which the store is believed. The record of a target that is
  /// gone expires in the store well before.
  static constexpr std::chrono::seconds HoldTime{10};
  /// The same for an evacuation that was ended and is listed again: it may have
  /// been started anew, and must then be in force within seconds.
  static constexpr std::chrono::seconds EvacuationHoldTime{3};
  /// Time for which a withdrawal is remembered. A copy is some seconds old.
  static constexpr std::chrono::seconds WithdrawalRetention{60};
  /// Maximum number of withdrawals that are remembered.
  static constexpr std::size_t MaxWithdrawals = 4096;

  /// \brief Records that the record of a target was removed.
  /// \param Era of the store in which it was
  void noteRemoved(const placement::target_incarnation &Target,
                   std::uint64_t Era, base::boot_time Now);

  /// \brief Records that an evacuation was ended.
  void noteEvacuationEnded(const base::domain_name &Domain, std::uint64_t Era,
                           base::boot_time Now);

  /// \brief Returns whether an item of a listing may be one that was withdrawn
  /// in an earlier era.
  /// \param Era of the listing
  bool isWithdrawn(const routing::store_change &Item, std::uint64_t Era,
                   base::boot_time Now) const;

  /// \return the item that a change concerns, for the log
  static std::string describe(const routing::store_change &Change);

  /// \brief Holds a change back, in place of an earlier one of the same item.
  void hold(const routing::store_change &Change, base::boot_time DueAt);

  /// \brief Forgets what is held back of the item that a change concerns: the
  /// change is newer. Unless it removes a target, an earlier withdrawal is
  /// forgotten as well.
  void release(const routing::store_change &Change);

  /// \brief Forgets all that is held back.
  void releaseAll() { Held.clear(); }

  /// \brief Releases and returns what is due.
  std::vector<routing::store_change> takeDue(base::boot_time Now);

  bool holdsAny() const { return !Held.empty(); }

  /// \return what is held back
  std::vector<held_change> held() const;

private:
  /// What changes of one item have in common: index of the kind, and name.
  using item_key = std::pair<int, std::string>;
  struct withdrawal {
    std::uint64_t Era = 0;
    base::boot_time At{};
    /// Start time of the target; 0 for an evacuation.
    std::int64_t StartedAtMs = 0;
  };

  static item_key keyOf(const routing::store_change &Change);
  void note(item_key Key, const withdrawal &Withdrawal);

  std::map<item_key, withdrawal> Withdrawals;
  std::map<item_key, held_change> Held;
};

} // namespace skylarkdyke::gateway::detail

#endif
