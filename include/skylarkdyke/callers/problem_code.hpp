#ifndef SKYLARKDYKE_CALLERS_PROBLEM_CODE_HPP
#define SKYLARKDYKE_CALLERS_PROBLEM_CODE_HPP

namespace skylarkdyke::callers {

/// \brief Error numbers of the caller port, sent in the field "code" of problem
/// details. docs/errors.md explains each of them. Numbers are never reused.
enum class problem_code : int {
  NoSuchResource = 5001,
  NotReady = 5002,
  ServiceMissing = 5003,
  ServiceUnknown = 5004,
  ClientAddressInvalid = 5005,
  DeadlineInvalid = 5006,
  KeyMissing = 5007,
  KeyInvalid = 5008,
  KeyRefused = 5009,
  KeyMismatch = 5010,
  KeyStillRunning = 5011,
  KeyFinished = 5012,
  OwnerSealed = 5013,
  OwnerUnknown = 5014,
  WitnessUnavailable = 5015,
  IncarnationSealed = 5016,
  RequestBlocked = 5017,
  QueueFull = 5018,
  DeadlinePassed = 5019,
  CapExhausted = 5020,
  ShiftLimited = 5021,
  NoTarget = 5022,
  TargetFailed = 5023,
  TargetShed = 5024,
  AnswerTooLarge = 5025,
  CallerGone = 5026,
  RelayFailed = 5027,
  Misdirected = 5028,
  MethodUnknown = 5029,
  InternalError = 5030,
};

constexpr int number(problem_code Code) { return static_cast<int>(Code); }

/// \brief Title of a code in problem details, the same for every occurrence.
const char *titleOf(problem_code Code);

/// \brief HTTP status of responses with a code.
int statusOf(problem_code Code);

} // namespace skylarkdyke::callers

#endif
