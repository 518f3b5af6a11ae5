#ifndef SKYLARKDYKE_CONFIG_SUBMISSION_HPP
#define SKYLARKDYKE_CONFIG_SUBMISSION_HPP

#include "skylarkdyke/config/document.hpp"

#include <cstddef>
#include <string>

namespace skylarkdyke::config {

/// Number of submission ids that a document remembers.
inline constexpr std::size_t MaxRecentSubmissions = 16;

/// \brief Who submits a document, under which id and when.
struct submission {
  /// Unique for each submission.
  std::string Id;
  base::operator_name Operator;
  base::wall_time At;
};

/// \brief Makes the successor of a document: the contents of the change with
/// the next version and the history of submissions.
/// \param Current the document in force; a default document (version 0) before
/// the first one
/// \param Change contents of the successor; its version, submission and history
/// are ignored
/// \param Submission identity of this submission
document nextDocument(const document &Current, document Change,
                      const submission &Submission);

/// \brief Tells whether a submission led to this document or to one of those
/// that it remembers.
bool hasSubmission(const document &Document, const std::string &Id);

} // namespace skylarkdyke::config

#endif
