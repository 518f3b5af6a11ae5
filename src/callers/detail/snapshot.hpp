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

/// \brief Queue for the targets of a service in one region.
struct region_queue {
  base::region_name Region;
  std::shared_ptr<dispatch_queue> Queue;
  /// Round-trip time from this entry's region; zero for the own region.
  std::chrono::nanoseconds RoundTrip{0};
};

/// \brief Lookup tables that are derived from one configuration document.
struct document_tables {
  explicit document_tables(std::shared_ptr<const config::document> Document);

  std::shared_ptr<const config::document> Document;
  steering::client_blocks Blocks;
  steering::ramp Ramp;
  std::map<base::domain_name, base::region_name> RegionByDomain;
};

/// \brief State at one instant from which requests are routed: document,
/// members and queues. Immutable, except for the queues, which later snapshots
/// share.
struct snapshot {
  snapshot(std::shared_ptr<const document_tables> Tables, entries::member Self,
           std::vector<entries::member> Members);

  const config::document &document() const { return *Tables->Document; }

  /// \brief The member that dispatches a service's requests in the own region,
  /// which may be this entry; null if there is none.
  const entries::member *dispatcherOf(const base::service_name &Service) const;

  /// \brief Finds a member, which may be this entry; null if unknown.
  const entries::member *find(base::incarnation_id Incarnation) const;

  std::shared_ptr<const document_tables> Tables;
  entries::member Self;
  /// All known entries, including this one.
  std::vector<entries::member> Members;
  steering::lookup_order Order;
  /// Queues by service; the own region's queue comes first.
  std::map<base::service_name, std::vector<region_queue>> Queues;
};

/// \brief Builds snapshots and preserves the queues when the configuration
/// document changes. Thread-safe.
class snapshot_source {
public:
  explicit snapshot_source(const dependencies &Dependencies);

  /// \brief Builds a new snapshot of the document in force and the members.
  /// \param IsLeaving whether this entry is excluded from lookup answers and
  /// dispatching
  /// \return the document's tables if the document has changed, else null
  std::shared_ptr<const document_tables> refresh(bool IsLeaving);

  /// \brief The latest snapshot; null before the first document.
  std::shared_ptr<const snapshot> current() const;

private:
  using queue_key = std::pair<base::service_name, base::region_name>;

  void configureQueues(const document_tables &Tables);
  void fillQueues(snapshot &Snapshot) const;

  const dependencies &Dependencies;
  /// Serialises refresh().
  std::mutex RefreshMutex;
  std::shared_ptr<const document_tables> Tables;
  std::map<queue_key, std::shared_ptr<dispatch_queue>> Queues;

  mutable std::mutex Mutex;
  std::shared_ptr<const snapshot> Current;
};

} // namespace skylarkdyke::callers::detail

#endif
