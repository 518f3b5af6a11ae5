#ifndef SKYLARKDYKE_ENTRY_DETAIL_METRICS_PAGE_HPP
#define SKYLARKDYKE_ENTRY_DETAIL_METRICS_PAGE_HPP

#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/caps/share_ledger.hpp"
#include "skylarkdyke/entries/mesh.hpp"
#include "skylarkdyke/metrics/registry.hpp"
#include "skylarkdyke/store/client.hpp"

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace skylarkdyke::entry::detail {

/// \brief Metrics of an entry in the Prometheus text format. Thread-safe.
class metrics_page {
public:
  /// \brief Counts one request of a caller.
  void observe(const base::service_name &Service,
               std::chrono::nanoseconds Latency, once::outcome Outcome);

  /// \brief Reads the gauges and counters of all parts and renders the page.
  std::string render(const callers::caller_service &Callers,
                     const store::client &Store, const entries::mesh &Mesh,
                     const std::vector<caps::cap_state> &Caps);

private:
  void setCounter(const std::string &Name, const std::string &Help,
                  const metrics::label_set &Labels, std::uint64_t Value);
  void readCallers(const callers::caller_service &Callers);
  void readStore(const store::client &Store);
  void readMesh(const entries::mesh &Mesh);
  void readCaps(const std::vector<caps::cap_state> &Caps);

  metrics::registry Registry;
  /// Serialises render(): a counter is mirrored by adding what it has risen by
  /// since the last reading.
  std::mutex Rendering;
};

} // namespace skylarkdyke::entry::detail

#endif
