#include "skylarkdyke/poison/crash_evidence.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <rapidcheck.h>
#include <vector>

// Last, because the CppUTest macro for "new" must not reach the headers above.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using poison::attempt_end;

static constexpr base::boot_time Start{1h};
static constexpr poison::block_rules Rules{3, 1, 0ns, 0};

static poison::request_identity identity(std::uint64_t Number) {
  return {Number * 2, Number * 2 + 1};
}

static poison::unanswered_attempt
attempt(std::uint64_t Request, std::uint64_t Incarnation, base::boot_time At,
        attempt_end End = attempt_end::ConnectionLost) {
  return {identity(Request),
          base::service_name("s"),
          base::target_id("t" + std::to_string(Incarnation)),
          Incarnation,
          "GET /x",
          End,
          At};
}

TEST_GROUP(poison_crash_evidence) {
  poison::crash_evidence Evidence;
  poison::crash_register Register{64, Rules};

  void refuse(std::uint64_t Incarnation, base::boot_time At) {
    Evidence.recordRefusal(Incarnation, At);
    Evidence.recordRefusal(Incarnation, At + 120ms);
  }
  std::size_t crashesAt(base::boot_time At) {
    return Evidence.takeCrashes(Register, At).size();
  }
};

// Guards against requests that are blamed for connections which living targets
// have reset, and against a single refusal of a full accept queue.
TEST(poison_crash_evidence, ALostConnectionAloneIsNoCrash) {
  CHECK(Evidence.addAttempt(attempt(1, 7, Start)));
  CHECK(!Evidence.addAttempt(attempt(2, 7, Start)));
  Evidence.recordRefusal(7, Start + 100ms);
  Evidence.recordRefusal(7, Start + 150ms);
  LONGS_EQUAL(0, crashesAt(Start + 5s));
  CHECK(Evidence.isUnresolved(7));
  LONGS_EQUAL(0, crashesAt(Start + 20s));
  CHECK(Evidence.empty());
}

// Guards against crashes that are found out too late, or once for each of
// several attempts.
TEST(poison_crash_evidence, RefusedConnectionsShowACrashOnce) {
  Evidence.addAttempt(attempt(1, 7, Start));
  Evidence.addAttempt(attempt(1, 7, Start + 10ms));
  refuse(7, Start + 100ms);
  CHECK(Evidence.nextDecisionAt().value() <= Start + 500ms);
  LONGS_EQUAL(0, crashesAt(Start + 300ms));
  LONGS_EQUAL(2, crashesAt(Start + 500ms));
  LONGS_EQUAL(0, crashesAt(Start + 600ms));
}

// Guards against a crash that is missed because the target falls silent in
// place of a reset, and only its record shows its end.
TEST(poison_crash_evidence, ASilentTargetWhoseRecordExpiresHasCrashed) {
  Evidence.addAttempt(attempt(1, 7, Start, attempt_end::TimedOut));
  Evidence.recordEnd(7, Start + 5s);
  LONGS_EQUAL(2, crashesAt(Start + 6s));
}

// Guards against requests that are blamed although their target has responded
// since, or another target has completed them.
TEST(poison_crash_evidence, AResponseEndsTheSuspicion) {
  Evidence.addAttempt(attempt(1, 7, Start));
  Evidence.recordResponse(7, Start + 20ms);
  CHECK(Evidence.isUnresolved(7));
  Evidence.recordResponse(7, Start + 80ms);
  CHECK(Evidence.empty());
  Evidence.addAttempt(attempt(1, 8, Start));
  Evidence.forget(identity(1));
  refuse(8, Start + 100ms);
  LONGS_EQUAL(0, crashesAt(Start + 5s));
}

// Guards against proper requests that are blamed for a loss of power.
TEST(poison_crash_evidence, TargetsThatEndTogetherProveNothing) {
  for (std::uint64_t Target = 1; Target <= 3; ++Target) {
    Evidence.addAttempt(attempt(Target, Target, Start + Target * 50ms));
    refuse(Target, Start + 200ms);
  }
  LONGS_EQUAL(0, crashesAt(Start + 2s));
  // The same while the targets are silent and their records expire.
  for (std::uint64_t Target = 11; Target <= 13; ++Target) {
    Evidence.addAttempt(
        attempt(Target, Target, Start + 10s, attempt_end::TimedOut));
    Evidence.recordEnd(Target, Start + 13s + Target * 100ms);
  }
  LONGS_EQUAL(0, crashesAt(Start + 16s));
}

// Guards against a request that is not blamed because its retry has ended a
// second target at once, here or at another entry.
TEST(poison_crash_evidence, ARequestThatRanOnAllTargetsThatEndedIsBlamed) {
  Evidence.addAttempt(attempt(1, 7, Start));
  Evidence.addAttempt(attempt(1, 8, Start + 20ms));
  Evidence.addAttempt(attempt(2, 9, Start + 40ms));
  for (const std::uint64_t Target : {7, 8, 9})
    refuse(Target, Start + 100ms);
  for (const std::uint64_t Fingerprint :
       {identity(1).OfCaller, identity(1).OfAnyCaller})
    Register.add({poison::crashIdOf(Fingerprint, 9), Fingerprint,
                  base::service_name("s"), base::target_id("t9"), "GET /x",
                  Start},
                 Start);
  LONGS_EQUAL(4, crashesAt(Start + 1s));
}

// Guards against requests whose caller left some time before their target ended
// for another reason.
TEST(poison_crash_evidence, CancelledAttemptsAreEvidenceForAShortTimeOnly) {
  for (const std::uint64_t Target : {7, 8})
    Evidence.addAttempt(attempt(Target, Target, Start, attempt_end::Cancelled));
  Evidence.recordEnd(7, Start + 1s);
  Evidence.recordEnd(8, Start + 4s);
  LONGS_EQUAL(2, crashesAt(Start + 6s));
}

// Guards against memory that grows with the number of targets or requests.
TEST(poison_crash_evidence, TheNumberOfSuspectsIsBounded) {
  constexpr std::size_t Max = poison::crash_evidence::MaxIncarnations;
  for (std::uint64_t Target = 0; Target < 2 * Max; ++Target)
    Evidence.addAttempt(attempt(Target, Target, Start));
  LONGS_EQUAL(Max, Evidence.size());
  Evidence.addAttempt(attempt(1, 5 * Max, Start + 20s));
  LONGS_EQUAL(1, Evidence.size());
}

namespace {

/// Targets that end for various reasons while requests run on them.
class schedule {
public:
  /// Ends targets at the same time, each while one of two proper requests runs
  /// there.
  void endTogether(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      lose(I % 2, ++LastIncarnation);
    settle();
  }
  /// Ends a target because of the bad request, while a proper one runs there.
  void sendBad(std::uint64_t Proper) {
    if (Register.isBlocked(identity(BadRequest).OfCaller, Now))
      return;
    ++BadSends;
    const std::uint64_t Incarnation = ++LastIncarnation;
    lose(BadRequest, Incarnation);
    lose(Proper % ProperRequests, Incarnation);
    settle();
  }
  /// Completes a proper request at a target that lives.
  void complete(std::uint64_t Proper) {
    const auto Request = identity(Proper % ProperRequests);
    Evidence.forget(Request);
    Register.clear(Request.OfCaller);
    Register.clear(Request.OfAnyCaller);
    LostSinceCompletion[Proper % ProperRequests] = 0;
  }
  void wait(std::chrono::milliseconds Time) { Now += Time; }

  bool isAnyProperBlocked() const {
    for (std::uint64_t Proper = 0; Proper < ProperRequests; ++Proper)
      if (Register.isBlocked(identity(Proper).OfCaller, Now) ||
          Register.isBlocked(identity(Proper).OfAnyCaller, Now))
        return true;
    return false;
  }
  /// Whether each proper request was completed since it lost a second target.
  bool isEachCompletedInTime() const {
    return std::all_of(LostSinceCompletion.begin(), LostSinceCompletion.end(),
                       [](const auto &Entry) { return Entry.second < 2; });
  }
  unsigned badSends() const { return BadSends; }

  static constexpr std::uint64_t ProperRequests = 4;

private:
  static constexpr std::uint64_t BadRequest = 99;

  void lose(std::uint64_t Request, std::uint64_t Incarnation) {
    Evidence.addAttempt(attempt(Request, Incarnation, Now));
    if (Request != BadRequest)
      ++LostSinceCompletion[Request];
    Pending.push_back(Incarnation);
  }
  void settle() {
    for (const std::uint64_t Incarnation : Pending) {
      Evidence.recordRefusal(Incarnation, Now + 100ms);
      Evidence.recordRefusal(Incarnation, Now + 220ms);
    }
    Pending.clear();
    Now += 600ms;
    for (const auto &Crash : Evidence.takeCrashes(Register, Now))
      Register.add(Crash, Now);
  }

  base::boot_time Now = Start;
  poison::crash_evidence Evidence;
  poison::crash_register Register{64, Rules};
  std::uint64_t LastIncarnation = 0;
  std::vector<std::uint64_t> Pending;
  std::map<std::uint64_t, unsigned> LostSinceCompletion;
  unsigned BadSends = 0;
};

} // namespace

// Guards against proper requests that are refused although targets complete
// them between crashes, and against a bad one that ends more than three targets
// with crashes that are far enough apart, whatever else happens.
TEST(poison_crash_evidence, OnlyTheBadRequestIsBlockedInAnySchedule) {
  CHECK_TRUE(
      rc::check([](const std::vector<std::array<std::uint8_t, 2>> &Steps) {
        schedule Schedule;
        for (const auto &[Action, Number] : Steps) {
          if (Action % 4 == 0)
            Schedule.endTogether(2 + Number % 6);
          else if (Action % 4 == 1)
            Schedule.sendBad(Number);
          else
            Schedule.complete(Number);
          RC_ASSERT(!Schedule.isAnyProperBlocked());
          RC_ASSERT(Schedule.badSends() <= 3);
          Schedule.wait(std::chrono::milliseconds(Number * 8));
          // Callers repeat what has failed until it is completed.
          for (std::uint64_t Proper = 0; Proper < schedule::ProperRequests;
               ++Proper)
            if (!Schedule.isEachCompletedInTime())
              Schedule.complete(Proper);
          RC_ASSERT(!Schedule.isAnyProperBlocked());
          RC_ASSERT(Schedule.badSends() <= 3);
        }
      }));
}
