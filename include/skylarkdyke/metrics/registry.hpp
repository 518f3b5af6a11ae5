#ifndef SKYLARKDYKE_METRICS_REGISTRY_HPP
#define SKYLARKDYKE_METRICS_REGISTRY_HPP

#include "skylarkdyke/metrics/instruments.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace skylarkdyke::metrics {

/// \brief Label names with their values. The order does not matter.
using label_set = std::vector<std::pair<std::string, std::string>>;

/// \brief All metrics of a process. Thread-safe.
///
/// The first use of a name with a label set creates the metric, later ones
/// return it. References stay valid as long as the registry. Label values must
/// come from a bounded set, such as the services of the document, because
/// metrics are never removed.
///
/// Errors: std::invalid_argument if a metric or label name is not valid in the
/// Prometheus format, or if the name already belongs to another kind of metric.
class registry {
public:
  registry();
  ~registry();
  registry(const registry &) = delete;
  registry &operator=(const registry &) = delete;

  /// \brief A number that only rises; its name ends in "_total" by convention.
  /// \param Help one line for readers; that of the first call counts
  class counter &counter(const std::string &Name, const std::string &Help,
                         const label_set &Labels = {});

  /// \brief A number that rises and falls.
  class gauge &gauge(const std::string &Name, const std::string &Help,
                     const label_set &Labels = {});

  /// \brief A latency histogram; its name ends in "_seconds" by convention.
  latency_histogram &latency(const std::string &Name, const std::string &Help,
                             const label_set &Labels = {});

  /// \brief Renders all metrics in the Prometheus text format, version 0.0.4,
  /// sorted by name and labels.
  std::string render() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::metrics

#endif
