#ifndef SKYLARKDYKE_GATEWAY_CHANGE_SOURCE_HPP
#define SKYLARKDYKE_GATEWAY_CHANGE_SOURCE_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/store_version.hpp"
#include "skylarkdyke/routing/target.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkdyke::gateway {

/// \brief Receives the content of the store and its changes.
class change_sink {
public:
  virtual ~change_sink() = default;

  /// \brief Replaces the state by a complete listing of the store.
  /// \param Items all items in the store
  /// \param NewestRevision revision of the newest item listed
  /// \param AsOf version of the store that the listing shows
  virtual void replaceAll(const std::vector<routing::store_change> &Items,
                          std::uint64_t NewestRevision,
                          const base::store_version &AsOf) = 0;

  /// \brief Applies one change. Changes arrive in the order of their
  /// versions.
  /// \param Version store version with which the change came into force
  virtual void apply(const routing::store_change &Change,
                     const base::store_version &Version) = 0;

  /// \brief Applies an item of a listing that is still being read, if it can
  /// be used without the rest.
  virtual void applyEarly(const routing::store_change &Change) = 0;

  /// \brief Confirms that all changes up to a version have been delivered.
  virtual void confirmVersion(const base::store_version &AsOf) = 0;

  /// \brief Reports that a call to the store failed.
  /// \param Reason for the log
  virtual void reportFailure(const std::string &Reason) = 0;
};

/// \brief Number of calls to the store since the start, by kind, and what the
/// responses held.
struct store_call_counts {
  std::uint64_t Lists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failed = 0;
  /// How often an item was read that could not be used.
  std::uint64_t UnusableItems = 0;
  /// How often the store no longer had the history after a revision.
  std::uint64_t HistoriesLost = 0;
  /// Newest era in which the store has answered, see store_version.
  std::uint64_t Era = 0;
};

/// \brief Watches the store for changes and registers this entry there.
class change_source {
public:
  virtual ~change_source() = default;

  /// \brief Prepares the source; it calls the store once it is told to watch.
  /// \param Sink receives the content of the store and its changes
  /// \param OwnName name under which this entry registers itself
  /// \param OwnMesh mesh address of this entry
  virtual void start(change_sink &Sink, const std::string &OwnName,
                     const base::endpoint &OwnMesh) = 0;

  /// \brief Starts or stops to watch the store. The first start registers the
  /// entry, so that others find it.
  virtual void setWatching(bool Watching) = 0;

  /// \brief Skips all changes up to a version that the sink already has, for
  /// example from another entry.
  virtual void skipTo(const base::store_version &Version) = 0;

  /// \brief Sets the time for which changes are batched before the next watch
  /// call.
  virtual void setBatchDelay(std::chrono::milliseconds Delay) = 0;

  /// \brief Stores that a request is blocked, until it expires there. Repeats
  /// failed calls.
  virtual void storeBlock(const routing::request_blocked &Block) = 0;

  /// \brief Removes a block from the store. Repeats failed calls.
  virtual void removeBlock(std::uint64_t Fingerprint) = 0;

  virtual store_call_counts callCounts() const = 0;

  /// \brief Cancels all calls.
  virtual void stop() = 0;
};

} // namespace skylarkdyke::gateway

#endif
