#ifndef SKYLARKDYKE_BASE_FINDING_HPP
#define SKYLARKDYKE_BASE_FINDING_HPP

#include <string>
#include <vector>

namespace skylarkdyke::base {

/// \brief One fault found while checking input, with the place where it stands.
struct finding {
  /// A JSON pointer, or "file:line: key" for a settings file.
  std::string Place;
  std::string Reason;
};

/// \brief All faults of one input; a check collects them and reports them
/// together.
using findings = std::vector<finding>;

/// \brief Formats findings, one "place: reason" a line.
std::string toString(const findings &Findings);

} // namespace skylarkdyke::base

#endif
