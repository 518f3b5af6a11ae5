#ifndef SKYLARKDYKE_POISON_CRASH_EVIDENCE_HPP
#define SKYLARKDYKE_POISON_CRASH_EVIDENCE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/poison/crash_register.hpp"
#include "skylarkdyke/poison/fingerprint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::poison {

/// \brief How an attempt ended that got no complete response.
enum class attempt_end {
  /// The target closed or reset the connection.
  ConnectionLost,
  /// No response arrived in time.
  TimedOut,
  /// This entry ended the attempt, for example because its caller left.
  Cancelled,
};

/// \brief An attempt without a complete response: the target may have crashed
/// while it ran the request.
struct unanswered_attempt {
  request_identity Request;
  base::service_name Service;
  base::target_id Target;
  /// Identifies one start of the target.
  std::uint64_t Incarnation = 0;
  /// Method and path, shown to operators.
  std::string Summary;
  attempt_end End = attempt_end::ConnectionLost;
  base::boot_time EndedAt{};
};

/// \return id of the crash of one incarnation of a target under a request. It
/// is the same at all entries, so that an incarnation counts once.
std::uint64_t crashIdOf(std::uint64_t Fingerprint, std::uint64_t Incarnation);

/// \brief Decides which targets have crashed because of a request.
///
/// A lost connection or a missing response alone proves nothing: targets reset
/// connections, lose responses and are cut off. A crash is an incarnation that
/// ended while the request ran there, shown by refused connections or by its
/// record in the store. It proves nothing of the request if other targets, on
/// which the request did not run, ended at about the same time: they have a
/// common cause, such as a loss of power.
///
/// Memory is bounded. Reads no clock: the time is an argument. Not thread-safe.
class crash_evidence {
public:
  /// Maximum number of incarnations with unanswered attempts, and of attempts
  /// for each. Further ones are not recorded.
  static constexpr std::size_t MaxIncarnations = 1024;
  static constexpr std::size_t MaxAttempts = 64;
  /// Time after an attempt within which the end of its target may be shown.
  /// Without another sign, records in the store expire within it.
  static constexpr std::chrono::seconds SuspicionTime{15};
  /// The same time for attempts that this entry ended itself: a target that is
  /// lost later did not end while they ran.
  static constexpr std::chrono::seconds CancelledSuspicionTime{2};

  /// \brief Records an attempt.
  /// \return true if it is the first one of its incarnation that ended so, and
  /// the incarnation may live
  bool addAttempt(const unanswered_attempt &Attempt);

  /// \brief Records a response of an incarnation: it has not ended.
  void recordResponse(std::uint64_t Incarnation, base::boot_time At);

  /// \brief Forgets the attempts of a request that a target has completed.
  void forget(const request_identity &Request);

  /// \brief Records that the address of an incarnation refused a connection.
  /// Two refusals that are some time apart show its end.
  void recordRefusal(std::uint64_t Incarnation, base::boot_time At);

  /// \brief Records that the store or another target at its address shows the
  /// unplanned end of an incarnation.
  void recordEnd(std::uint64_t Incarnation, base::boot_time At);

  /// \return whether the incarnation has unanswered attempts and may live
  bool isUnresolved(std::uint64_t Incarnation) const;

  /// \brief Returns the crashes that are certain, one for each fingerprint and
  /// incarnation, and forgets what has expired.
  /// \param Known holds crashes that other entries have reported
  std::vector<target_crash> takeCrashes(const crash_register &Known,
                                        base::boot_time Now);

  /// \return time at which takeCrashes() may have something to return; nothing
  /// if it waits for another sign
  std::optional<base::boot_time> nextDecisionAt() const;

  /// \brief Forgets attempts and ends whose time has passed.
  void forgetExpired(base::boot_time Now);

  bool empty() const { return Suspects.empty(); }
  /// \return number of incarnations with unanswered attempts
  std::size_t size() const { return Suspects.size(); }

private:
  /// What has shown the end of an incarnation.
  enum class end_sign { Refusal, Record };
  struct suspect {
    std::vector<unanswered_attempt> Attempts;
    /// End of the first attempt since the incarnation last responded.
    base::boot_time LostAt = base::boot_time::max();
    base::boot_time FirstRefusalAt{};
    std::optional<base::boot_time> EndedAt;
    end_sign Sign = end_sign::Refusal;
    /// Its crashes were returned or rejected.
    bool Decided = false;
    base::boot_time ForgetAt{};
  };

  suspect *findOrAdd(std::uint64_t Incarnation, base::boot_time Now);
  static void end(suspect &Suspect, end_sign Sign, base::boot_time At);
  static base::boot_time decisionTime(const suspect &Suspect);
  static bool mayHaveCommonCause(const suspect &Left, const suspect &Right);
  bool hasCommonCause(const suspect &Suspect, std::uint64_t Fingerprint,
                      const crash_register &Known) const;
  void decide(std::uint64_t Incarnation, const suspect &Suspect,
              const crash_register &Known,
              std::vector<target_crash> &Crashes) const;
  /// By incarnation.
  std::unordered_map<std::uint64_t, suspect> Suspects;
};

} // namespace skylarkdyke::poison

#endif
