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

/// \brief How recent the steering state of an entry is known to be.
///
/// An entry that may be behind must not tell a caller that its request is not
/// allowed: a newer configuration may allow it.
class state_freshness {
public:
  /// \param Age time within which a change must be in force
  void setMaxAge(std::chrono::milliseconds Age) {
    MaxAge = std::max(Age, CalmStateAge);
  }

  /// \brief Records that the store had nothing newer at a time.
  void confirm(base::boot_time At) {
    ConfirmedAt = std::max(ConfirmedAt.value_or(At), At);
  }

  /// \brief Records that a configuration version exists.
  void noteVersion(std::uint64_t Version) {
    NewestVersion = std::max(NewestVersion, Version);
  }

  /// \return the newest configuration version that is known to exist
  std::uint64_t newestVersion() const { return NewestVersion; }

  /// \return time since the state was confirmed; nothing if it never was
  std::optional<std::chrono::milliseconds> age(base::boot_time Now) const {
    if (!ConfirmedAt)
      return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(Now, *ConfirmedAt) - *ConfirmedAt);
  }

  /// \param Version configuration version in force
  /// \return whether a newer version exists, or may exist
  bool isOutdated(std::uint64_t Version, base::boot_time Now) const {
    const auto Age = age(Now);
    return NewestVersion > Version || !Age || *Age > MaxAge;
  }

private:
  std::chrono::milliseconds MaxAge = CalmStateAge;
  std::optional<base::boot_time> ConfirmedAt;
  std::uint64_t NewestVersion = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
