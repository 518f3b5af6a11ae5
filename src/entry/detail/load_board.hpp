#ifndef SKYLARKDYKE_ENTRY_DETAIL_LOAD_BOARD_HPP
#define SKYLARKDYKE_ENTRY_DETAIL_LOAD_BOARD_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/config/preview.hpp"
#include "skylarkdyke/entries/message.hpp"
#include "skylarkdyke/targets/prober.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace skylarkdyke::entry::detail {

/// \brief Load of all known entries by service, and requests at each target,
/// for heartbeats and for operators. Thread-safe.
class load_board {
public:
  /// \brief Counts a request that a caller sent to this entry.
  void countRequest(const base::service_name &Service);

  /// \brief Takes the loads of another entry from its heartbeat.
  void setPeer(const entries::member &Peer,
               const std::vector<entries::service_load> &Loads,
               base::boot_time Now);

  /// \brief Takes the number of requests that a target reports.
  void setTarget(const targets::probe_result &Result);

  /// \brief Makes the loads of this entry for its heartbeat.
  std::vector<entries::service_load>
  ownLoads(const std::vector<callers::service_load> &Loads,
           const base::region_name &Region, base::boot_time Now);

  /// \brief Loads of this and all other entries, by service and region.
  std::vector<config::service_load> all(const base::region_name &OwnRegion,
                                        base::boot_time Now) const;

  std::map<base::target_id, unsigned> slotsInUse() const;

private:
  struct peer_loads {
    base::region_name Region;
    std::vector<entries::service_load> Loads;
    base::boot_time ValidUntil;
  };

  void updateRates(base::boot_time Now);

  mutable std::mutex Mutex;
  std::map<base::service_name, std::uint64_t> Counts;
  std::map<base::service_name, std::uint32_t> Rates;
  base::boot_time RatesSince;
  std::vector<entries::service_load> Own;
  std::map<base::incarnation_id, peer_loads> Peers;
  std::map<base::target_id, unsigned> InFlight;
};

} // namespace skylarkdyke::entry::detail

#endif
