#ifndef SKYLARKDYKE_OPERATORS_PROBLEM_CODE_HPP
#define SKYLARKDYKE_OPERATORS_PROBLEM_CODE_HPP

namespace skylarkdyke::operators {

/// \brief Numbered errors of the administration port, the field "code" of
/// problem details. docs/errors.md explains each. Numbers are never reused.
enum class problem_code : int {
  NotAuthenticated = 600,
  TooManyAttempts = 601,
  NoOperators = 602,
  NoSuchResource = 603,
  MethodNotAllowed = 604,
  MediaTypeInvalid = 605,
  BodyInvalid = 606,
  BodyTooLarge = 607,
  NoConfiguration = 608,
  VersionRequired = 610,
  VersionInvalid = 611,
  VersionConflict = 612,
  DocumentRefused = 613,
  StoreUnavailable = 614,
  NotBlocked = 620,
  SeatChanged = 621,
  FormExpired = 622,
  NotPreviewed = 623,
};

/// \brief The number of a code.
constexpr int number(problem_code Code) { return static_cast<int>(Code); }

/// \brief Short summary of a code, the same for every occurrence.
const char *titleOf(problem_code Code);

/// \brief HTTP status of a code.
int statusOf(problem_code Code);

} // namespace skylarkdyke::operators

#endif
