#ifndef SKYLARKDYKE_STORE_CONFIG_STORE_HPP
#define SKYLARKDYKE_STORE_CONFIG_STORE_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/config/difference.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/store/client.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace skylarkdyke::store {

/// \brief The submission is in force under this version, or was and has been
/// followed by later ones.
struct accepted {
  std::uint64_t Version = 0;
};

/// \brief The document was not valid; nothing was changed.
struct refused_document {
  base::findings Findings;
};

/// \brief Another submission came first; nothing was changed.
struct conflict {
  /// Fields that differ from the expected version in the one in force. If the
  /// expected version is not known here any more, the fields in which the
  /// submitted document differs from the one in force.
  std::vector<config::field_change> Changes;
  bool IsBaseKnown = false;
  /// Who submitted the version in force; empty if it could not be read.
  base::operator_name By;
  /// Version in force; 0 if it could not be read.
  std::uint64_t Version = 0;
};

/// \brief The submission may or may not be in force now or later.
struct unknown_submission {
  std::string SubmissionId;
  std::string Reason;
};

using submit_result = std::variant<accepted, refused_document, conflict,
                                   unknown_submission, unavailable>;

/// \brief No document has been submitted yet.
struct no_document {};

/// \brief The store holds something else than a valid document.
struct invalid_document {
  base::findings Findings;
};

using load_result =
    std::variant<config::document, no_document, invalid_document, unavailable>;

/// \brief Reads and submits the configuration document. Thread-safe.
class config_store {
public:
  /// \param Store outlives this object
  explicit config_store(client &Store);
  ~config_store();

  /// \brief Reads the document in the store.
  load_result load(base::boot_time Deadline);

  /// \brief Submits a successor of the document in force.
  ///
  /// After a lost answer the same write is repeated, which has no effect if the
  /// first one had, and the document is read again until the deadline.
  /// \param Change contents; version, submission and history are set here
  /// \param ExpectedVersion version that the operator edited; 0 for the first
  /// document
  submit_result submit(const config::document &Change,
                       std::uint64_t ExpectedVersion,
                       const base::operator_name &Operator,
                       base::boot_time Deadline);

  /// \brief Remembers a version that was in force, so that a later conflict can
  /// name the fields that changed since. The last 16 are kept.
  void remember(const std::shared_ptr<const config::document> &Document);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
