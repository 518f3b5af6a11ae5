#include "gateway/detail/demand_history.hpp"

namespace skylarkdyke::gateway::detail {

void demand_history::recordRate(const std::string &Service, double Rate,
                                base::boot_time Now) {
  if (Rate > 0)
    MeasuredSince.emplace(Service, Now);
  else
    MeasuredSince.erase(Service);
}

bool demand_history::isMeasured(const std::string &Service,
                                base::boot_time Now) const {
  const auto Found = MeasuredSince.find(Service);
  return Found != MeasuredSince.end() && Now - Found->second >= DemandWindow;
}

double servableRate(const placement::target_registry &TargetRegistry,
                    const base::service_name &Service,
                    const base::region_name &Region,
                    std::chrono::milliseconds Objective, base::boot_time Now) {
  const std::chrono::duration<double> Seconds = Objective;
  if (Seconds.count() <= 0)
    return 0;
  double Slots = 0;
  for (const placement::target_state *State : TargetRegistry.targetsOf(Service))
    if (State->Region == Region && TargetRegistry.acceptsRequests(*State, Now))
      Slots += State->Target.Slots;
  return Slots / Seconds.count();
}

} // namespace skylarkdyke::gateway::detail
