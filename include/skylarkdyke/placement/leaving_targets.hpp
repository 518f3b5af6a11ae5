#ifndef SKYLARKDYKE_PLACEMENT_LEAVING_TARGETS_HPP
#define SKYLARKDYKE_PLACEMENT_LEAVING_TARGETS_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/routing/target.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace skylarkdyke::placement {

/// \brief One start of a target. A target that starts again under the same id
/// or at the same address is another incarnation.
struct target_incarnation {
  base::target_id Id;
  base::endpoint Address;
  std::int64_t StartedAtMs = 0;

  bool operator<(const target_incarnation &Other) const;
  bool operator!=(const target_incarnation &Other) const {
    return *this < Other || Other < *this;
  }
};

/// \return the incarnation that a record describes
target_incarnation incarnationOf(const routing::target &Target);

/// \brief Who reported that a target leaves.
enum class leaving_source { Response, Entry };

/// \brief A target has said in a response that it leaves.
struct leaving_notice {
  target_incarnation Target;
  leaving_source Source = leaving_source::Response;
  base::boot_time LearnedAt{};
  /// Time until which the target may get requests that no other target can
  /// take.
  base::boot_time UsableUntil{};
  /// Time at which the notice is dropped if no record names the incarnation.
  base::boot_time ForgetAt{};
};

/// \brief The targets that have said in a response that they leave.
///
/// A notice belongs to one incarnation. No record clears it: records may be
/// older than the response, or come from an entry that has not heard of it.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class leaving_targets {
public:
  /// Maximum number of notices. Beyond it, the one that expires first is
  /// dropped.
  static constexpr std::size_t MaxNotices = 4096;
  /// Time for which a notice is kept after it was learned, or after a record of
  /// the incarnation was last seen.
  static constexpr std::chrono::minutes Retention{10};

  /// \brief Records a notice. If the incarnation is known to leave, the earlier
  /// end of use holds.
  /// \return true if the incarnation was not known to leave
  bool record(const leaving_notice &Notice);

  /// \return the notice of an incarnation, or null
  const leaving_notice *find(const target_incarnation &Target) const;

  /// \brief Keeps a notice for longer because a record names its incarnation.
  void keep(const target_incarnation &Target, base::boot_time Now);

  /// \brief Drops the notices that no record has named for a while.
  void sweep(base::boot_time Now);

  /// \return at most a number of notices, those learned last first
  std::vector<leaving_notice> newest(std::size_t Limit) const;

  std::size_t size() const { return Notices.size(); }

private:
  void dropOldest();

  std::map<target_incarnation, leaving_notice> Notices;
};

} // namespace skylarkdyke::placement

#endif
