#ifndef SKYLARKDYKE_GATEWAY_DETAIL_DEMAND_METER_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_DEMAND_METER_HPP

#include "skylarkdyke/admission/sliding_window_counter.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace skylarkdyke::gateway::detail {

/// \brief Measures the requests per second of the callers of this entry, by
/// service.
class demand_meter {
public:
  void count(const base::service_name &Service, base::boot_time Now);
  std::map<std::string, double> rates(base::boot_time Now);

private:
  std::unordered_map<base::service_name, admission::sliding_window_counter>
      Counts;
};

} // namespace skylarkdyke::gateway::detail

#endif
