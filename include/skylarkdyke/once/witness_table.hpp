#ifndef SKYLARKDYKE_ONCE_WITNESS_TABLE_HPP
#define SKYLARKDYKE_ONCE_WITNESS_TABLE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace skylarkdyke::once {

/// \brief Answer to a record request. Only Recorded lets the owner dispatch.
enum class record_result { Recorded, Sealed, Full };

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
  /// \param MaxRecords largest number of intents held
  explicit witness_table(std::size_t MaxRecords);
  ~witness_table();

  /// \brief Records an intent of an owner, unless the owner is sealed.
  /// \param Expiry expiry of the key; the record is kept until it and a margin
  /// have passed
  record_result record(base::incarnation_id Owner, const std::string &Key,
                       base::wall_time Expiry, base::wall_time Now);

  /// \brief Seals an owner for good and tells about one key.
  seal_result seal(base::incarnation_id Owner, const std::string &Key,
                   base::wall_time Expiry, base::wall_time Now);

  /// \brief Drops what has expired.
  void expire(base::wall_time Now);
  std::size_t size() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::once

#endif
