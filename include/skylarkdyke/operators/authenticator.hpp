#ifndef SKYLARKDYKE_OPERATORS_AUTHENTICATOR_HPP
#define SKYLARKDYKE_OPERATORS_AUTHENTICATOR_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/settings/settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace skylarkdyke::operators {

/// Failed attempts of one source that cost it no wait, so that a person may
/// mistype a token.
inline constexpr unsigned FreeAttempts = 3;
/// Wait after the first failed attempt beyond the free ones; it doubles with
/// each further one.
inline constexpr std::chrono::seconds FirstWait{1};
/// Longest wait. At this rate a source makes at most 1,440 attempts a day.
inline constexpr std::chrono::seconds LongestWait{60};
/// Sources with failed attempts that are remembered; beyond it the one whose
/// wait ended first is forgotten.
inline constexpr std::size_t MaxSources = 1024;

/// \brief The name and the token belong together.
struct authenticated {
  base::operator_name Operator;
};

/// \brief The name or the token is wrong, or absent.
struct denied {};

/// \brief The source has failed too often; the token was not looked at.
struct slowed {
  std::chrono::seconds RetryAfter{0};
};

using authentication = std::variant<authenticated, denied, slowed>;

/// \brief Checks names and tokens of operators and slows down sources that
/// guess. Thread-safe; time comes in as an argument.
class authenticator {
public:
  explicit authenticator(std::vector<settings::operator_settings> Operators);
  ~authenticator();

  /// \brief Checks one attempt. The time it takes does not depend on which name
  /// or how much of a token is right.
  /// \param Name user of HTTP Basic authentication; with an empty name and
  /// token the attempt is denied without counting as a failure, because
  /// browsers ask once without credentials
  /// \param Source IP address of the connection
  authentication check(const std::string &Name, const std::string &Token,
                       const std::string &Source, base::boot_time Now);

  /// \brief Tells whether any operator is known.
  bool hasOperators() const noexcept;

  /// \brief Failed attempts since the start.
  std::uint64_t failures() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::operators

#endif
