#ifndef SKYLARKDYKE_TARGETS_PROBER_HPP
#define SKYLARKDYKE_TARGETS_PROBER_HPP

#include "skylarkdyke/config/document.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::targets {

/// \brief What one probe found.
struct probe_result {
  base::target_id Target;
  base::service_name Service;
  /// GET /health answered 200 by the deadline.
  bool Healthy = false;
  /// From GET /load; absent if it did not answer or could not be read.
  std::optional<unsigned> InFlight;
};

/// \brief Times of the probes.
struct probe_times {
  std::chrono::milliseconds Interval{1000};
  /// A target must have answered both requests within this time.
  std::chrono::milliseconds Limit{500};
};

/// \brief Probes the health and load of all targets from one thread, all
/// targets at once, so that targets that do not answer delay no other probe.
class prober {
public:
  using reporter = std::function<void(const probe_result &)>;

  /// \param Report called from the probing thread with each result
  explicit prober(reporter Report, probe_times Times = {});
  ~prober();

  /// \brief Replaces the targets to probe, from the next round on.
  void configure(std::vector<config::target> Targets);

  void start();
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::targets

#endif
