#include "gateway/detail/demand_meter.hpp"

#include "gateway/detail/demand_history.hpp"

namespace skylarkdyke::gateway::detail {

void demand_meter::count(const base::service_name &Service,
                         base::boot_time Now) {
  Counts.emplace(Service, admission::sliding_window_counter(DemandWindow))
      .first->second.add(Now);
}

std::map<std::string, double> demand_meter::rates(base::boot_time Now) {
  std::map<std::string, double> Rates;
  const std::chrono::duration<double> Seconds = DemandWindow;
  for (auto &[Service, Count] : Counts)
    Rates[Service.str()] =
        static_cast<double>(Count.count(Now)) / Seconds.count();
  return Rates;
}

} // namespace skylarkdyke::gateway::detail
