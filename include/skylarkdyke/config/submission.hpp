#ifndef SKYLARKDYKE_CONFIG_SUBMISSION_HPP
#define SKYLARKDYKE_CONFIG_SUBMISSION_HPP

#include "skylarkdyke/config/document.hpp"

#include <cstddef>
#include <string>

namespace skylarkdyke::config {

/// \brief Number of submission ids that a document records.
inline constexpr std::size_t MaxRecentSubmissions = 16;

/// \brief Identity of a submission: its id, its operator and its time.
struct submission {
  /// Unique for each submission.
  std::string Id;
  base::operator_name Operator;
  base::wall_time SubmittedAt;
};

/// \brief Creates the successor of a document: the contents of a change with
/// the next version and the updated list of recent submissions.
/// \param Current the document in force; a default document (version 0) before
/// the first one
/// \param Change contents of the successor; its version, submission fields and
/// recent submissions are ignored
/// \param Submission identity of this submission
document nextDocument(const document &Current, document Change,
                      const submission &Submission);

/// \brief Returns whether a document contains a submission, as its own or among
/// its recent submissions.
bool hasSubmission(const document &Document, const std::string &Id);

} // namespace skylarkdyke::config

#endif
