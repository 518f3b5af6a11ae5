#ifndef SKYLARKDYKE_OPERATORS_DETAIL_CHANGE_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_CHANGE_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/operators/dependencies.hpp"

#include <chrono>
#include <optional>

namespace skylarkdyke::operators::detail {

/// Time from the submission of a drain to its start: an accepted document is in
/// force everywhere within 5 s, so no entry installs it after the start and
/// moves the missed part at once.
inline constexpr std::chrono::seconds StartDelay{5};

/// \brief A drain as an operator asks for it.
struct drain_request {
  config::drain_scope Scope = config::drain_scope::Target;
  std::string Name;
  config::drain_action Action = config::drain_action::Leave;
  /// Nothing: as soon as possible.
  std::optional<base::wall_time> Start;
};

/// \brief Puts a drain into a document, in place of the one that its scope has.
///
/// Without a requested start, a shift that has not begun starts after
/// StartDelay. One that turns round a shift half-way starts from the weight
/// that the other one has reached.
void putDrain(config::document &Document, const drain_request &Request,
              base::wall_time Now);

/// \brief Finds the drain of a scope.
const config::drain *findDrain(const config::document &Document,
                               config::drain_scope Scope,
                               const std::string &Name);

/// \brief Finds shifts that a new document would make at once, against the
/// shift cap: a drain that starts in the past, one that is dropped or turned
/// round half-way, or a shift cap that changes during a drain.
///
/// A jump of up to one second's worth of the shift cap is let pass. Single
/// targets are not checked, because they move at once by design.
base::findings checkShifts(const config::document &Old,
                           const config::document &New, base::wall_time Now);

/// \brief All findings of a change: its meaning, whether it may follow the
/// document in force, and its shifts.
/// \param Current null before the first document
base::findings checkChange(const config::document *Current,
                           const config::document &Change,
                           const base::operator_name &Operator,
                           base::wall_time Now);

/// \brief Checks a change and submits it.
///
/// A version lower than the one in force here goes to the store, which knows
/// the fields that changed since. A higher one is `unavailable`, because the
/// shifts cannot be checked against a document that this entry does not have
/// yet.
store::submit_result submitChange(const dependencies &Entry,
                                  const config::document &Change,
                                  std::uint64_t ExpectedVersion,
                                  const base::operator_name &Operator);

/// \brief Contents for the first document: a default document with the
/// submission fields filled in.
config::document emptyDocument();

} // namespace skylarkdyke::operators::detail

#endif
