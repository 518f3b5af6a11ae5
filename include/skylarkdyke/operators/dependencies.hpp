#ifndef SKYLARKDYKE_OPERATORS_DEPENDENCIES_HPP
#define SKYLARKDYKE_OPERATORS_DEPENDENCIES_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/caps/share_ledger.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/config/preview.hpp"
#include "skylarkdyke/entries/member.hpp"
#include "skylarkdyke/poison/crash_register.hpp"
#include "skylarkdyke/store/client.hpp"
#include "skylarkdyke/store/config_store.hpp"
#include "skylarkdyke/store/seat_record.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkdyke::operators {

/// \brief One seat as the store holds it.
struct seat_status {
  unsigned Seat = 0;
  /// not_found: the seat was never claimed.
  std::variant<store::seat_record, store::not_found, store::unavailable> Record;
};

/// \brief What the administration needs from its entry. Every function must be
/// set and is called from many threads at once.
struct dependencies {
  /// \name Configuration
  /// @{

  /// The document in force, or null before the first one.
  std::function<std::shared_ptr<const config::document>()> Document;
  /// Submits a successor of the expected version; 0 for the first document.
  std::function<store::submit_result(const config::document &Change,
                                     std::uint64_t ExpectedVersion,
                                     const base::operator_name &Operator)>
      Submit;
  /// When the store stopped answering; nothing while it answers.
  std::function<std::optional<base::wall_time>()> StoreDownSince;
  /// @}

  /// \name Entries and load
  /// @{

  /// This entry first, then all others it knows.
  std::function<std::vector<entries::member>()> Members;
  /// Load that all known entries observe, by service and origin region.
  std::function<std::vector<config::service_load>()> Loads;
  /// This entry's share and use of every cap.
  std::function<std::vector<caps::cap_state>()> CapStates;
  /// Requests that hold a slot of each target, from all known entries. A target
  /// without requests may be left out.
  std::function<std::map<base::target_id, unsigned>()> SlotsInUse;
  /// Metrics in the Prometheus text format.
  std::function<std::string()> Metrics;
  /// @}

  /// \name Requests that crash targets
  /// @{
  std::function<std::vector<poison::blocked_request>()> Blocked;
  /// Ends a block at this entry; false if there is none.
  std::function<bool(std::uint64_t Fingerprint)> Release;
  /// @}

  /// \name Seats
  /// @{
  std::function<std::vector<seat_status>()> Seats;
  /// Frees the seat of an instance that was destroyed, as
  /// store::confirmDestroyed().
  std::function<store::write_result(unsigned Seat, base::incarnation_id Holder,
                                    const base::operator_name &Operator)>
      ConfirmDestroyed;
  /// @}

  /// \name Clocks
  /// @{
  std::function<base::wall_time()> WallNow;
  std::function<base::boot_time()> BootNow;
  /// @}
};

} // namespace skylarkdyke::operators

#endif
