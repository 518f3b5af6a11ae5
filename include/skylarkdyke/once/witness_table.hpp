#ifndef SKYLARKDYKE_ONCE_WITNESS_TABLE_HPP
#define SKYLARKDYKE_ONCE_WITNESS_TABLE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace skylarkdyke::once {

/// \brief Answer to a record request. Only Recorded lets the owner dispatch.
enum class record_result {
  Recorded,
  Sealed,
  Full,
  /// The key does not name this witness and that owner, or has expired.
  Refused,
};

/// \brief Answer to a seal request.
enum class seal_result {
  /// The owner never recorded this key here and never will: the request was not
  /// run.
  NeverRecorded,
  /// The owner recorded the key: it may have run the request.
  Recorded,
  /// This witness may have dropped the record, so nothing can be said.
  NotKnown,
};

/// \brief Intents that other incarnations recorded here before they dispatched.
/// Pure; not thread-safe.
class witness_table {
public:
  /// \param Self incarnation that keys must name as their witness. A restarted
  /// witness has another one, so it does not answer for records that it lost.
  /// \param MaxRecords largest number of intents, and of sealed owners, held
  witness_table(base::incarnation_id Self, std::size_t MaxRecords);
  ~witness_table();

  /// \brief Records an intent of an owner, unless the owner is sealed. A
  /// repeated record has no further effect.
  /// \param Key text of the key, with its prefix
  /// \param Expiry expiry of the key; the record is kept until it and
  /// ExpiryMargin have passed
  record_result record(base::incarnation_id Owner, const std::string &Key,
                       base::wall_time Expiry, base::wall_time Now);

  /// \brief Seals an owner and tells about one key. The seal is kept until
  /// MaxKeyLifetime and ExpiryMargin after the last call for the owner, so
  /// every key that the owner issued before then has expired. Without room for
  /// another seal, the answer is NotKnown.
  seal_result seal(base::incarnation_id Owner, const std::string &Key,
                   base::wall_time Expiry, base::wall_time Now);

  /// \brief Drops what has expired. Linear in the number of records when there
  /// is one to drop.
  void expire(base::wall_time Now);
  std::size_t size() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::once

#endif
