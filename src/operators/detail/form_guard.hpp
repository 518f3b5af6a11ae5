#ifndef SKYLARKDYKE_OPERATORS_DETAIL_FORM_GUARD_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_FORM_GUARD_HPP

#include "operators/detail/change.hpp"
#include "operators/detail/form.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/config/document.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkdyke::operators::detail {

/// \brief A change as the preview showed it.
struct previewed_change {
  config::document Document;
  /// Version that the change was made on.
  std::uint64_t Version = 0;
  /// Drain whose start is chosen at the submission, so that the time that the
  /// operator takes to read the preview does not put the start into the past.
  std::optional<drain_request> StartsOnSubmit;
};

/// \brief Authenticates forms with a random key of this process. Immutable;
/// safe for concurrent use.
class form_guard {
public:
  /// \throws std::runtime_error if the operating system has no random bytes
  form_guard();

  /// \brief Token against cross-site requests, for all forms of an operator.
  std::string token(const base::operator_name &Operator) const;

  /// \brief Tells whether a form carries the operator's token.
  bool hasToken(const parameters &Values,
                const base::operator_name &Operator) const;

  /// \brief Hidden fields with the operator's token.
  html tokenField(const base::operator_name &Operator) const;

  /// \brief Hidden fields that carry a previewed change.
  html changeFields(const previewed_change &Change,
                    const base::operator_name &Operator) const;

  /// \brief Reads the fields of changeFields().
  /// \return nothing if any of them differs from what was previewed
  std::optional<previewed_change>
  readChange(const parameters &Values,
             const base::operator_name &Operator) const;

private:
  std::string seal(const std::string &Document, const std::string &Version,
                   const std::string &Start,
                   const base::operator_name &Operator) const;

  std::string Key;
};

/// \brief Value of a form field, or an empty text.
std::string valueOf(const parameters &Values, const std::string &Name);

/// \brief Parses a version number.
std::optional<std::uint64_t> parseVersion(const std::string &Text);

/// \brief Formats a scope as "domain:maz-a".
std::string formatScope(config::drain_scope Scope, const std::string &Name);

/// \brief Parses a scope such as "domain:maz-a".
std::optional<drain_request> parseScope(const std::string &Text);

} // namespace skylarkdyke::operators::detail

#endif
