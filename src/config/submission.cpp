#include "skylarkdyke/config/submission.hpp"

#include <algorithm>

namespace skylarkdyke::config {

document nextDocument(const document &Current, document Change,
                      const submission &Submission) {
  Change.Version = Current.Version + 1;
  Change.SubmissionId = Submission.Id;
  Change.SubmittedBy = Submission.Operator;
  Change.SubmittedAt = Submission.SubmittedAt;
  Change.RecentSubmissions = Current.RecentSubmissions;
  Change.RecentSubmissions.push_back(Submission.Id);
  if (Change.RecentSubmissions.size() > MaxRecentSubmissions)
    Change.RecentSubmissions.erase(
        Change.RecentSubmissions.begin(),
        Change.RecentSubmissions.end() -
            static_cast<std::ptrdiff_t>(MaxRecentSubmissions));
  return Change;
}

bool hasSubmission(const document &Document, const std::string &Id) {
  return Document.SubmissionId == Id ||
         std::find(Document.RecentSubmissions.begin(),
                   Document.RecentSubmissions.end(),
                   Id) != Document.RecentSubmissions.end();
}

} // namespace skylarkdyke::config
