#ifndef SKYLARKDYKE_TARGETS_PROBER_HPP
#define SKYLARKDYKE_TARGETS_PROBER_HPP

#include "skylarkdyke/config/document.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::targets {

/// \brief Result of one probe of a target.
struct probe_result {
  base::target_id Target;
  base::service_name Service;
  /// True if GET /health returned status 200 within the timeout.
  bool Healthy = false;
  /// Number of requests in progress at the target, as returned by GET /load;
  /// empty if there was no valid response.
  std::optional<unsigned> InFlight;
};

/// \brief Timing of the probes.
struct probe_timing {
  std::chrono::milliseconds Interval{1000};
  /// Time within which a target must respond to both requests of a probe.
  std::chrono::milliseconds Timeout{500};
};

/// \brief Probes the health and load of all targets concurrently on one thread,
/// so that targets that do not respond delay no other probes.
class prober {
public:
  using result_callback = std::function<void(const probe_result &)>;

  /// \param Report called on the probing thread with each result
  explicit prober(result_callback Report, probe_timing Timing = {});
  ~prober();

  /// \brief Replaces the targets to probe, starting with the next round.
  /// Thread-safe.
  void configure(std::vector<config::target> Targets);

  void start();
  /// \brief Stops probing and joins the probing thread. Pending probes report
  /// no result. A stopped prober cannot be started again.
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::targets

#endif
