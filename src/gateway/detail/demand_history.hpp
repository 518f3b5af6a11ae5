#ifndef SKYLARKDYKE_GATEWAY_DETAIL_DEMAND_HISTORY_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_DEMAND_HISTORY_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/placement/target_registry.hpp"

#include <chrono>
#include <string>
#include <unordered_map>

namespace skylarkdyke::gateway::detail {

/// Window over which entries measure the request rate of their callers.
inline constexpr std::chrono::seconds DemandWindow{4};

/// \brief Records since when the request rate of each service has been
/// measured.
class demand_history {
public:
  /// \brief Records a rate measurement.
  /// \param Rate requests per second of all callers; zero restarts the
  /// measurement
  void recordRate(const std::string &Service, double Rate, base::boot_time Now);

  /// \return whether the measurement covers a complete DemandWindow
  bool isMeasured(const std::string &Service, base::boot_time Now) const;

private:
  std::unordered_map<std::string, base::boot_time> MeasuredSince;
};

/// \brief Estimates the requests per second that the targets of a region can
/// serve if each request takes the latency objective.
double servableRate(const placement::target_registry &TargetRegistry,
                    const base::service_name &Service,
                    const base::region_name &Region,
                    std::chrono::milliseconds Objective, base::boot_time Now);

} // namespace skylarkdyke::gateway::detail

#endif
