#ifndef SKYLARKDYKE_BASE_FINDING_HPP
#define SKYLARKDYKE_BASE_FINDING_HPP

#include <string>
#include <vector>

namespace skylarkdyke::base {

/// \brief An error found while validating input, with its location.
struct finding {
  /// JSON pointer into a document, or "file:line: key" for a settings file.
  std::string Location;
  std::string Reason;
};

/// \brief All errors found in one input; validation does not stop at the first.
using findings = std::vector<finding>;

/// \brief Formats findings as lines of the form "location: reason".
std::string toString(const findings &Findings);

} // namespace skylarkdyke::base

#endif
