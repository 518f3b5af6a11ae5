#ifndef SKYLARKDYKE_POISON_CRASH_REGISTER_HPP
#define SKYLARKDYKE_POISON_CRASH_REGISTER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/poison/fingerprint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkdyke::poison {

/// Time for which a fingerprint stays blocked after its latest crash.
inline constexpr std::chrono::minutes BlockDuration{10};

/// Number of crashes after which a fingerprint is blocked.
inline constexpr unsigned CrashesToBlock = 2;

/// Reports of one fingerprint at one target within this time count as one
/// crash: two requests that ran there at the same time lose their connections
/// together, and the crash is detected within 1 s.
inline constexpr std::chrono::seconds SameCrashInterval{1};

/// \brief Report of a target that crashed while it ran a request. It is sent to
/// all entries.
struct crash_report {
  /// Unique per crash, so that a duplicate report counts once.
  std::uint64_t ReportId = 0;
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  base::target_id Target;
  /// Method and path, shown to operators.
  std::string Summary;
  base::wall_time At;
};

/// \brief Blocked request as shown to operators.
struct blocked_request {
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  std::string Summary;
  unsigned Crashes = 0;
  base::wall_time BlockedUntil;
};

/// \brief Counts crashes by request fingerprint and blocks requests that
/// repeatedly crash targets.
///
/// Memory is bounded. Does no I/O and reads no clock: the time is an argument.
/// Not thread-safe.
class crash_register {
public:
  /// \param MaxFingerprints maximum number of fingerprints stored; beyond it,
  /// the one whose latest crash is the oldest is dropped
  explicit crash_register(std::size_t MaxFingerprints);
  ~crash_register();

  /// \brief Counts a crash that was detected by this entry or reported by a
  /// peer.
  /// \return false if the report or its crash has already been counted
  bool add(const crash_report &Report, base::wall_time Now);

  /// \brief Resets the crash count and ends a block, after a request with this
  /// fingerprint was completed.
  void clear(std::uint64_t Fingerprint);

  /// \brief Ends a block on behalf of an operator.
  /// \return false if the fingerprint is not blocked
  bool release(std::uint64_t Fingerprint);

  bool isBlocked(std::uint64_t Fingerprint, base::wall_time Now) const;
  std::vector<blocked_request> blocked(base::wall_time Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::poison

#endif
