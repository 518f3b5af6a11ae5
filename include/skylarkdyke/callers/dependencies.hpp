#ifndef SKYLARKDYKE_CALLERS_DEPENDENCIES_HPP
#define SKYLARKDYKE_CALLERS_DEPENDENCIES_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/caps/cap.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/entries/member.hpp"
#include "skylarkdyke/once/key.hpp"
#include "skylarkdyke/once/witness_table.hpp"
#include "skylarkdyke/poison/crash_register.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::callers {

/// \brief Functions that the caller service calls in other parts of the entry.
/// All of them must be thread-safe.
struct dependencies {
  /// The configuration document in force, or null before the first one.
  std::function<std::shared_ptr<const config::document>()> Document;
  /// This entry. It gets a new incarnation after the old one is sealed.
  std::function<entries::member()> Self;
  /// All other known entries.
  std::function<std::vector<entries::member>()> Members;

  /// Takes all demands from this entry's cap shares, or none of them. Returns
  /// false if a share does not suffice. See caps::share_ledger.
  std::function<bool(const std::vector<caps::demand> &)> TryTakeCaps;
  /// Refunds units that were taken at an instant but not used.
  std::function<void(const caps::demand &, base::boot_time TakenAt)> RefundCap;

  /// Requests the witness of a key to record the intent. Blocks; returns
  /// nothing if the witness does not reply by the deadline.
  std::function<std::optional<once::record_result>(
      const once::idempotency_key &, base::boot_time Deadline)>
      RecordIntent;
  /// Requests the witness of a key to seal the owner. Blocks; returns nothing
  /// if the witness does not reply by the deadline.
  std::function<std::optional<once::seal_result>(const once::idempotency_key &,
                                                 base::boot_time Deadline)>
      SealOwner;
  /// Notifies the entry that its current incarnation is sealed, so that it
  /// generates a new one.
  std::function<void(base::incarnation_id)> IncarnationSealed;

  /// Sends a report of a target crash to all other entries.
  std::function<void(const poison::crash_report &)> ReportCrash;
};

} // namespace skylarkdyke::callers

#endif
