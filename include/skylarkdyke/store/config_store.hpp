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

/// \brief The submission was accepted under this version, which is in force or
/// has been superseded by later versions.
struct accepted {
  std::uint64_t Version = 0;
};

/// \brief The submitted document is invalid; the store was not changed.
struct refused_document {
  base::findings Findings;
};

/// \brief Another submission was accepted first; this one had no effect.
struct conflict {
  /// Fields that differ between the expected version and the version in force.
  /// If the expected version is not cached, fields that differ between the
  /// submitted document and the one in force.
  std::vector<config::field_change> Changes;
  /// True if the expected version is cached, so that Changes starts from it.
  bool IsBaseKnown = false;
  /// Operator who submitted the version in force; empty if it could not be
  /// read.
  base::operator_name SubmittedBy;
  /// Version in force; 0 if it could not be read.
  std::uint64_t Version = 0;
};

/// \brief The outcome of the submission is unknown: it may be in force, or take
/// effect later.
struct unknown_submission {
  std::string SubmissionId;
  std::string Reason;
};

using submit_result = std::variant<accepted, refused_document, conflict,
                                   unknown_submission, unavailable>;

/// \brief No document has been submitted yet.
struct no_document {};

/// \brief The value in the store is not a valid document.
struct invalid_document {
  base::findings Findings;
};

using load_result =
    std::variant<config::document, no_document, invalid_document, unavailable>;

/// \brief Reads and submits the configuration document. Thread-safe.
class config_store {
public:
  /// \param Store client for the store; outlives this object
  explicit config_store(client &Store);
  ~config_store();

  /// \brief Reads and validates the document in the store.
  load_result load(base::boot_time Deadline);

  /// \brief Submits a successor of the document in force.
  ///
  /// If the response to the write is lost, the same compare-and-swap is
  /// repeated, which has no effect if the first one took effect, and the
  /// document is read again until it shows the outcome or the deadline passes.
  /// \param Change contents of the successor; its version, submission and
  /// history are set by this function
  /// \param ExpectedVersion version that the operator edited; 0 for the first
  /// document
  submit_result submit(const config::document &Change,
                       std::uint64_t ExpectedVersion,
                       const base::operator_name &Operator,
                       base::boot_time Deadline);

  /// \brief Caches a version that was in force, so that a later conflict can
  /// list the fields that have changed since. The 16 highest versions are kept.
  void cacheVersion(const std::shared_ptr<const config::document> &Document);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
