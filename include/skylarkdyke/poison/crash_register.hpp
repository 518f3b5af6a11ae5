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

/// Reports of one fingerprint at one target within this time count as one
/// crash: two requests that ran there at the same time lose their connections
/// together, and the crash is detected within 1 s.
inline constexpr std::chrono::seconds SameCrashInterval{1};

/// \brief A target that crashed while it ran a request.
struct target_crash {
  /// Unique per crash, so that a duplicate report counts once.
  std::uint64_t Id = 0;
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  base::target_id Target;
  /// Method and path, shown to operators.
  std::string Summary;
  base::boot_time At;
};

/// \brief Report of a crash that entries of `run` send to each other.
struct crash_report {
  std::uint64_t ReportId = 0;
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  base::target_id Target;
  std::string Summary;
  base::wall_time At;
};

/// \brief Blocked request as shown to operators.
struct blocked_request {
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  std::string Summary;
  unsigned Crashes = 0;
  base::boot_time BlockedUntil;
};

/// \brief When an entry blocks a request.
struct block_rules {
  /// Number of crashes after which a request is blocked, the first time and
  /// again after a block has ended.
  unsigned CrashesToBlock = 2;
  unsigned CrashesToBlockAgain = 2;
  /// The entries end a block at different times within this interval, so that
  /// the request does not reach a target from each of them at once.
  std::chrono::nanoseconds ReopenInterval{0};
  /// Differs between entries.
  std::uint64_t EntrySeed = 0;
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
  explicit crash_register(std::size_t MaxFingerprints, block_rules Rules = {});
  ~crash_register();

  /// \brief Counts a crash that was detected by this entry or reported by
  /// another one.
  /// \return false if the report or its crash has already been counted
  bool add(const target_crash &Crash, base::boot_time Now);

  /// \brief Blocks a request that is blocked elsewhere. The later end holds; no
  /// block ends later than BlockDuration from now.
  /// \return false if this entry blocks the request already
  bool block(const blocked_request &Request, base::boot_time Now);

  /// \brief Resets the crash count and ends a block, after a request with this
  /// fingerprint was completed.
  /// \return false if nothing was known of the fingerprint
  bool clear(std::uint64_t Fingerprint);

  /// \brief Ends a block on behalf of an operator.
  /// \return false if the fingerprint is not blocked
  bool release(std::uint64_t Fingerprint);

  bool isBlocked(std::uint64_t Fingerprint, base::boot_time Now) const;
  std::vector<blocked_request> blocked(base::boot_time Now) const;

  /// \return the block of a fingerprint; null if it is not blocked
  const blocked_request *findBlock(std::uint64_t Fingerprint,
                                   base::boot_time Now) const;
  /// \return number of crashes counted since the latest success or block
  unsigned crashesOf(std::uint64_t Fingerprint) const;
  /// \return whether a crash was counted, also if the count was reset since
  bool hasCounted(std::uint64_t CrashId) const;
  /// \return the counted crashes of one fingerprint, or the latest ones of all
  std::vector<target_crash> crashesFor(std::uint64_t Fingerprint) const;
  std::vector<target_crash> latestCrashes(std::size_t Limit) const;
  bool empty() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::poison

#endif
