#ifndef SKYLARKDYKE_METRICS_REGISTRY_HPP
#define SKYLARKDYKE_METRICS_REGISTRY_HPP

#include "skylarkdyke/metrics/instruments.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace skylarkdyke::metrics {

/// \brief Pairs of label name and value, in any order.
using label_set = std::vector<std::pair<std::string, std::string>>;

/// \brief All metrics of a process. Thread-safe.
///
/// The first call with a name and label set creates the metric; later calls
/// return the same one. References remain valid during the lifetime of the
/// registry. Label values must come from a bounded set, such as the services of
/// the document, because metrics are never removed.
///
/// \throws std::invalid_argument if a metric or label name is not valid in the
/// Prometheus format, or if a metric of another type has the same name
class registry {
public:
  registry();
  ~registry();
  registry(const registry &) = delete;
  registry &operator=(const registry &) = delete;

  /// \brief Returns a counter; its name ends in "_total" by convention.
  /// \param Help description of the metric in one line; that of the first call
  /// is used
  class counter &counter(const std::string &Name, const std::string &Help,
                         const label_set &Labels = {});

  /// \brief Returns a gauge.
  class gauge &gauge(const std::string &Name, const std::string &Help,
                     const label_set &Labels = {});

  /// \brief Returns a latency histogram; its name ends in "_seconds" by
  /// convention.
  latency_histogram &latency(const std::string &Name, const std::string &Help,
                             const label_set &Labels = {});

  /// \brief Renders all metrics in the Prometheus text exposition format,
  /// version 0.0.4, sorted by name and labels.
  std::string render() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::metrics

#endif
