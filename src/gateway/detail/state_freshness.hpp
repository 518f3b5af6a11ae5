#ifndef SKYLARKDYKE_GATEWAY_DETAIL_STATE_FRESHNESS_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_STATE_FRESHNESS_HPP

#include "skylarkdyke/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkdyke::gateway::detail {

/// Age that the state of an entry reaches on a calm day: the store holds a
/// watch for 2 s, a relay reports each second, and one report may be lost.
inline constexpr std::chrono::milliseconds CalmStateAge{4000};

/// Longest time that a message between entries takes, late event loops
/// included.
inline constexpr std::chrono::milliseconds MaxMessageTime{500};

/// \brief How recent the steering state of an entry is known to be.
///
/// An entry that may be behind must not tell a caller that its request is not
/// allowed: a newer configuration may allow it.
///
/// An age that another entry reports is too small by the time that the message
/// took. An age that is passed on therefore grows by the longest such time:
/// otherwise entries that tell each other their ages would make each other's
/// state look more recent with each message.
class state_freshness {
public:
  /// \param Age time within which a change must be in force
  void setMaxAge(std::chrono::milliseconds Age) {
    MaxAge = std::max(Age, CalmStateAge);
  }

  /// \brief Records that the store has told this entry that it had nothing
  /// newer at a time.
  void confirm(base::boot_time At) {
    ConfirmedAt = std::max(ConfirmedAt.value_or(At), At);
    PassedOnAt = std::max(PassedOnAt.value_or(At), At);
  }

  /// \brief Records that another entry has reported that the store had nothing
  /// newer.
  /// \param At time of the report's arrival less the age in it
  void confirmByReport(base::boot_time At) {
    ConfirmedAt = std::max(ConfirmedAt.value_or(At), At);
    const base::boot_time Latest = At - MaxMessageTime;
    PassedOnAt = std::max(PassedOnAt.value_or(Latest), Latest);
  }

  /// \brief Records that a configuration version exists.
  void noteVersion(std::uint64_t Version) {
    NewestVersion = std::max(NewestVersion, Version);
  }

  /// \return the newest configuration version that is known to exist
  std::uint64_t newestVersion() const { return NewestVersion; }

  /// \return time since the state was confirmed; nothing if it never was
  std::optional<std::chrono::milliseconds> age(base::boot_time Now) const {
    return timeSince(ConfirmedAt, Now);
  }

  /// \return the age that this entry may report to others; nothing if the state
  /// never was confirmed
  std::optional<std::chrono::milliseconds>
  reportedAge(base::boot_time Now) const {
    return timeSince(PassedOnAt, Now);
  }

  /// \param Version configuration version in force
  /// \return whether a newer version exists, or may exist
  bool isOutdated(std::uint64_t Version, base::boot_time Now) const {
    const auto Age = age(Now);
    return NewestVersion > Version || !Age || *Age > MaxAge;
  }

private:
  static std::optional<std::chrono::milliseconds>
  timeSince(std::optional<base::boot_time> Time, base::boot_time Now) {
    if (!Time)
      return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(Now, *Time) - *Time);
  }

  std::chrono::milliseconds MaxAge = CalmStateAge;
  std::optional<base::boot_time> ConfirmedAt;
  /// The same time as far as other entries may rely on it.
  std::optional<base::boot_time> PassedOnAt;
  std::uint64_t NewestVersion = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
