#include "skylarkdyke/poison/crash_evidence.hpp"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace skylarkdyke::poison {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// A response may have been on its way when its target ended: only one that
/// arrives later than this after a lost attempt shows that the target lives.
static constexpr milliseconds ResponseDelay{50};
/// Shortest time between two refusals that show the end of a target. A single
/// one may come from a full accept queue.
static constexpr milliseconds RefusalInterval{100};
/// Targets whose connections are lost within this time may have a common cause.
static constexpr milliseconds CommonLossInterval{300};
/// Records that expire within this time may have a common cause: the targets
/// renew them at different times, every 1.5 s.
static constexpr milliseconds CommonExpiryInterval{2000};
/// Time for which a decision waits for signs of other ends.
static constexpr milliseconds RefusalSettleTime{250};
static constexpr milliseconds RecordSettleTime{1000};
/// Time for which the end of a target is kept to compare others with it.
static constexpr milliseconds EndRetention{5000};

std::uint64_t crashIdOf(std::uint64_t Fingerprint, std::uint64_t Incarnation) {
  const std::array<std::uint64_t, 2> Fields{Fingerprint, Incarnation};
  return XXH3_64bits(Fields.data(), sizeof Fields);
}

static base::boot_time expiryOf(const unanswered_attempt &Attempt) {
  return Attempt.EndedAt + (Attempt.End == attempt_end::Cancelled
                                ? crash_evidence::CancelledSuspicionTime
                                : crash_evidence::SuspicionTime);
}

crash_evidence::suspect *crash_evidence::findOrAdd(std::uint64_t Incarnation,
                                                   base::boot_time Now) {
  const auto Found = Suspects.find(Incarnation);
  if (Found != Suspects.end())
    return &Found->second;
  if (Suspects.size() >= MaxIncarnations)
    forgetExpired(Now);
  return Suspects.size() < MaxIncarnations ? &Suspects[Incarnation] : nullptr;
}

bool crash_evidence::addAttempt(const unanswered_attempt &Attempt) {
  suspect *Suspect = findOrAdd(Attempt.Incarnation, Attempt.EndedAt);
  if (Suspect == nullptr || Suspect->Attempts.size() >= MaxAttempts)
    return false;
  const bool IsFirst =
      !Suspect->EndedAt &&
      std::none_of(Suspect->Attempts.begin(), Suspect->Attempts.end(),
                   [&](const auto &Known) { return Known.End == Attempt.End; });
  Suspect->Attempts.push_back(Attempt);
  Suspect->LostAt = std::min(Suspect->LostAt, Attempt.EndedAt);
  Suspect->ForgetAt = std::max(Suspect->ForgetAt, expiryOf(Attempt));
  return IsFirst;
}

void crash_evidence::recordResponse(std::uint64_t Incarnation,
                                    base::boot_time At) {
  const auto Found = Suspects.find(Incarnation);
  if (Found == Suspects.end())
    return;
  const auto &Attempts = Found->second.Attempts;
  const bool IsLater =
      std::all_of(Attempts.begin(), Attempts.end(), [At](const auto &Attempt) {
        return At > Attempt.EndedAt + ResponseDelay;
      });
  if (IsLater)
    Suspects.erase(Found);
}

void crash_evidence::forget(const request_identity &Request) {
  for (auto &[Incarnation, Suspect] : Suspects) {
    auto &Attempts = Suspect.Attempts;
    Attempts.erase(std::remove_if(Attempts.begin(), Attempts.end(),
                                  [&](const auto &Attempt) {
                                    return Attempt.Request.OfAnyCaller ==
                                           Request.OfAnyCaller;
                                  }),
                   Attempts.end());
  }
}

void crash_evidence::recordRefusal(std::uint64_t Incarnation,
                                   base::boot_time At) {
  const auto Found = Suspects.find(Incarnation);
  if (Found == Suspects.end())
    return;
  suspect &Suspect = Found->second;
  if (Suspect.FirstRefusalAt == base::boot_time{})
    Suspect.FirstRefusalAt = At;
  else if (At - Suspect.FirstRefusalAt >= RefusalInterval)
    end(Suspect, end_sign::Refusal, At);
}

void crash_evidence::recordEnd(std::uint64_t Incarnation, base::boot_time At) {
  if (suspect *Suspect = findOrAdd(Incarnation, At))
    end(*Suspect, end_sign::Record, At);
}

void crash_evidence::end(suspect &Suspect, end_sign Sign, base::boot_time At) {
  if (Suspect.EndedAt)
    return;
  // What has expired by now did not run when the target ended.
  auto &Attempts = Suspect.Attempts;
  Attempts.erase(
      std::remove_if(Attempts.begin(), Attempts.end(),
                     [At](const auto &Each) { return expiryOf(Each) <= At; }),
      Attempts.end());
  Suspect.EndedAt = At;
  Suspect.Sign = Sign;
  Suspect.ForgetAt = At + EndRetention;
}

bool crash_evidence::isUnresolved(std::uint64_t Incarnation) const {
  const auto Found = Suspects.find(Incarnation);
  return Found != Suspects.end() && !Found->second.EndedAt;
}

base::boot_time crash_evidence::decisionTime(const suspect &Suspect) {
  return *Suspect.EndedAt + (Suspect.Sign == end_sign::Refusal
                                 ? RefusalSettleTime
                                 : RecordSettleTime);
}

static nanoseconds distance(base::boot_time Left, base::boot_time Right) {
  return Left < Right ? Right - Left : Left - Right;
}

bool crash_evidence::mayHaveCommonCause(const suspect &Left,
                                        const suspect &Right) {
  if (Left.Sign == end_sign::Record && Right.Sign == end_sign::Record)
    return distance(*Left.EndedAt, *Right.EndedAt) <= CommonExpiryInterval;
  const bool BothLost = Left.LostAt != base::boot_time::max() &&
                        Right.LostAt != base::boot_time::max();
  return BothLost && distance(Left.LostAt, Right.LostAt) <= CommonLossInterval;
}

bool crash_evidence::hasCommonCause(const suspect &Suspect,
                                    std::uint64_t Fingerprint,
                                    const crash_register &Known) const {
  return std::any_of(Suspects.begin(), Suspects.end(), [&](const auto &Entry) {
    const suspect &Other = Entry.second;
    if (&Other == &Suspect || !Other.EndedAt ||
        !mayHaveCommonCause(Suspect, Other))
      return false;
    const bool RanThere =
        std::any_of(Other.Attempts.begin(), Other.Attempts.end(),
                    [Fingerprint](const auto &Attempt) {
                      return Attempt.Request.OfCaller == Fingerprint ||
                             Attempt.Request.OfAnyCaller == Fingerprint;
                    });
    return !RanThere && !Known.hasCounted(crashIdOf(Fingerprint, Entry.first));
  });
}

void crash_evidence::decide(std::uint64_t Incarnation, const suspect &Suspect,
                            const crash_register &Known,
                            std::vector<target_crash> &Crashes) const {
  for (const unanswered_attempt &Attempt : Suspect.Attempts)
    for (const std::uint64_t Fingerprint :
         {Attempt.Request.OfCaller, Attempt.Request.OfAnyCaller}) {
      const std::uint64_t Id = crashIdOf(Fingerprint, Incarnation);
      const bool IsKnown =
          Known.hasCounted(Id) ||
          std::any_of(Crashes.begin(), Crashes.end(),
                      [Id](const auto &Crash) { return Crash.Id == Id; });
      if (!IsKnown && !hasCommonCause(Suspect, Fingerprint, Known))
        Crashes.push_back({Id, Fingerprint, Attempt.Service, Attempt.Target,
                           Attempt.Summary, Attempt.EndedAt});
    }
}

std::vector<target_crash>
crash_evidence::takeCrashes(const crash_register &Known, base::boot_time Now) {
  std::vector<target_crash> Crashes;
  for (auto &[Incarnation, Suspect] : Suspects) {
    if (Suspect.Decided || !Suspect.EndedAt || Now < decisionTime(Suspect))
      continue;
    Suspect.Decided = true;
    decide(Incarnation, Suspect, Known, Crashes);
  }
  forgetExpired(Now);
  return Crashes;
}

std::optional<base::boot_time> crash_evidence::nextDecisionAt() const {
  std::optional<base::boot_time> Next;
  for (const auto &[Incarnation, Suspect] : Suspects)
    if (Suspect.EndedAt && !Suspect.Decided)
      Next = std::min(Next.value_or(base::boot_time::max()),
                      decisionTime(Suspect));
  return Next;
}

void crash_evidence::forgetExpired(base::boot_time Now) {
  for (auto It = Suspects.begin(); It != Suspects.end();)
    It = It->second.ForgetAt <= Now ? Suspects.erase(It) : std::next(It);
}

} // namespace skylarkdyke::poison
