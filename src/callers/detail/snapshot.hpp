#ifndef SKYLARKDYKE_CALLERS_DETAIL_SNAPSHOT_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_SNAPSHOT_HPP

#include "callers/detail/dispatch_queue.hpp"
#include "skylarkdyke/callers/dependencies.hpp"
#include "skylarkdyke/steering/client_blocks.hpp"
#include "skylarkdyke/steering/lookup_order.hpp"
#include "skylarkdyke/steering/ramp.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief The queue for a service's targets in one region.
struct region_queue {
  base::region_name Region;
  std::shared_ptr<dispatch_queue> Queue;
  /// From this entry's region and back; zero for the own region.
  std::chrono::nanoseconds RoundTrip{0};
};

/// \brief Tables that follow from one document alone.
struct document_tables {
  explicit document_tables(std::shared_ptr<const config::document> Document);

  std::shared_ptr<const config::document> Document;
  steering::client_blocks Blocks;
  steering::ramp Ramp;
  std::map<base::domain_name, base::region_name> RegionOf;
};

/// \brief Everything that a request is decided by, as of one instant.
/// Immutable, but for the queues, which are shared with later snapshots.
struct snapshot {
  snapshot(std::shared_ptr<const document_tables> Tables, entries::member Self,
           std::vector<entries::member> Members);

  const config::document &document() const { return *Tables->Document; }

  /// \brief The member that selects a service's targets in the own region; null
  /// if there is none.
  const entries::member *dispatcherOf(const base::service_name &Service) const;

  /// \brief A member by its incarnation, this entry included; null if unknown.
  const entries::member *find(base::incarnation_id Incarnation) const;

  std::shared_ptr<const document_tables> Tables;
  entries::member Self;
  /// All known entries with this one.
  std::vector<entries::member> Members;
  steering::lookup_order Order;
  /// By service, the own region first.
  std::map<base::service_name, std::vector<region_queue>> Queues;
};

/// \brief Builds snapshots and keeps the queues across documents. Thread-safe.
class snapshot_source {
public:
  explicit snapshot_source(const dependencies &Dependencies);

  /// \brief Builds a new snapshot of the document in force and the members.
  /// \param IsLeaving this entry is to be left out of lookups and dispatching
  /// \return the document's tables if the document is a new one
  std::shared_ptr<const document_tables> refresh(bool IsLeaving);

  /// \brief The latest snapshot; null before there is a document.
  std::shared_ptr<const snapshot> current() const;

private:
  using queue_key = std::pair<base::service_name, base::region_name>;

  void configureQueues(const document_tables &Tables);
  void listQueues(snapshot &Snapshot) const;

  const dependencies &Dependencies;
  /// Serialises refresh().
  std::mutex Refreshing;
  std::shared_ptr<const document_tables> Tables;
  std::map<queue_key, std::shared_ptr<dispatch_queue>> Queues;

  mutable std::mutex Mutex;
  std::shared_ptr<const snapshot> Current;
};

} // namespace skylarkdyke::callers::detail

#endif
