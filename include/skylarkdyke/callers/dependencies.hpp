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

/// \brief What the caller service needs from the rest of an entry. All
/// functions are thread-safe.
struct dependencies {
  /// The document in force, or null.
  std::function<std::shared_ptr<const config::document>()> Document;
  /// This entry; its incarnation changes when the old one was sealed.
  std::function<entries::member()> Self;
  /// All other known entries.
  std::function<std::vector<entries::member>()> Members;

  /// Takes all demands from this entry's shares, or none. See
  /// caps::share_ledger.
  std::function<bool(const std::vector<caps::demand> &)> TryTakeCaps;
  std::function<void(const caps::demand &, base::boot_time TakenAt)>
      GiveBackCap;

  /// Asks the witness of a key to record the intent; nothing if it did not
  /// answer by the deadline.
  std::function<std::optional<once::record_result>(
      const once::idempotency_key &, base::boot_time Deadline)>
      RecordIntent;
  /// Asks the witness of a key to seal the owner; nothing if it did not answer
  /// by the deadline.
  std::function<std::optional<once::seal_result>(const once::idempotency_key &,
                                                 base::boot_time Deadline)>
      SealOwner;
  /// Tells the entry that its current incarnation is sealed, so that it draws a
  /// new one.
  std::function<void(base::incarnation_id)> IncarnationSealed;

  /// Sends a crash report to the other entries.
  std::function<void(const poison::crash_report &)> ReportCrash;
};

} // namespace skylarkdyke::callers

#endif
