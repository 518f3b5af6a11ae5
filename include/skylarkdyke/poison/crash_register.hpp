#ifndef SKYLARKDYKE_POISON_CRASH_REGISTER_HPP
#define SKYLARKDYKE_POISON_CRASH_REGISTER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkdyke::poison {

/// How long a fingerprint stays blocked after its latest crash.
inline constexpr std::chrono::minutes BlockLength{10};

/// Crashes of one fingerprint that block it.
inline constexpr unsigned CrashesToBlock = 2;

/// Reports of one fingerprint at one target within this time are one crash: two
/// requests that ran there at once lose their connections together, and the
/// crash is detected within 1 s.
inline constexpr std::chrono::seconds SameCrashInterval{1};

/// \brief One crash of a target while it ran a request; sent to all entries.
struct crash_report {
  /// Unique per crash, so that a repeated report counts once.
  std::uint64_t ReportId = 0;
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  base::target_id Target;
  /// Method and path, for the operators' list.
  std::string Summary;
  base::wall_time At;
};

/// \brief A blocked request as operators see it.
struct blocked_request {
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  std::string Summary;
  unsigned Crashes = 0;
  base::wall_time BlockedUntil;
};

/// \brief Hash of a request (XXH3): equal for each repetition by a caller,
/// whatever its key.
std::uint64_t fingerprintOf(const base::service_name &Service,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body);

/// \brief Counts crashes by fingerprint and blocks requests that crash target
/// after target. Pure; not thread-safe; bounded.
class crash_register {
public:
  /// \param MaxFingerprints largest number of fingerprints held; beyond it the
  /// one whose latest crash is the oldest is dropped
  explicit crash_register(std::size_t MaxFingerprints);
  ~crash_register();

  /// \brief Counts a crash seen here or reported by a peer.
  /// \return false if the report or its crash was known already
  bool add(const crash_report &Report, base::wall_time Now);

  /// \brief A request with this fingerprint was completed: its count starts
  /// again from zero, and a block ends.
  void clear(std::uint64_t Fingerprint);

  /// \brief Ends a block, by an operator's decision.
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
