#ifndef SKYLARKDYKE_ONCE_WITNESS_TABLE_HPP
#define SKYLARKDYKE_ONCE_WITNESS_TABLE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace skylarkdyke::once {

/// \brief Result of a request to record an intent. The owner may dispatch the
/// request only after Recorded.
enum class record_result {
  Recorded,
  /// The owner is sealed.
  Sealed,
  /// The maximum number of records is reached.
  Full,
  /// The key does not name this witness and that owner, or has expired.
  Refused,
};

/// \brief Result of a request to seal an owner, for one key.
enum class seal_result {
  /// The owner has not recorded the key and can no longer do so: the request
  /// was not run and never will be.
  NeverRecorded,
  /// The owner has recorded the key and may have run the request.
  Recorded,
  /// The witness may have dropped the record or cannot answer for the key.
  NotKnown,
};

/// \brief Intents that other entry incarnations record at this entry, their
/// witness, before they dispatch a request.
///
/// When an owner cannot be reached, another entry seals it at the witness. The
/// owner can then record no further intents, so a key without a record is known
/// not to have been run. Does no I/O and reads no clock. Not thread-safe.
class witness_table {
public:
  /// \param Self incarnation that keys must name as their witness. It changes
  /// when the witness restarts, so that the witness does not answer for lost
  /// records.
  /// \param MaxRecords maximum number of intents, and of sealed owners, stored
  witness_table(base::incarnation_id Self, std::size_t MaxRecords);
  ~witness_table();

  /// \brief Records an intent of an owner, unless the owner is sealed.
  /// Idempotent.
  /// \param Key text of the key including its prefix
  /// \param Expiry expiry of the key; the record is kept until ExpiryMargin
  /// after it
  record_result record(base::incarnation_id Owner, const std::string &Key,
                       base::wall_time Expiry, base::wall_time Now);

  /// \brief Seals an owner and returns the state of one of its keys. The seal
  /// is kept until MaxKeyLifetime plus ExpiryMargin after the last call for the
  /// owner, when every key that the owner issued before that call has expired.
  /// Returns NotKnown if the maximum number of sealed owners is reached.
  seal_result seal(base::incarnation_id Owner, const std::string &Key,
                   base::wall_time Expiry, base::wall_time Now);

  /// \brief Drops expired records and seals.
  /// Complexity: O(n) for n records and seals if one is due to be dropped, else
  /// O(1).
  void expire(base::wall_time Now);
  /// \brief Number of intents stored.
  std::size_t size() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::once

#endif
