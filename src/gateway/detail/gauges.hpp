#ifndef SKYLARKDYKE_GATEWAY_DETAIL_GAUGES_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_GAUGES_HPP

#include "gateway/detail/steering_state.hpp"
#include "skylarkdyke/gateway/change_source.hpp"
#include "skylarkdyke/metrics/registry.hpp"
#include "skylarkdyke/net/memory_account.hpp"
#include "skylarkdyke/placement/placer.hpp"

namespace skylarkdyke::gateway::detail {

/// \brief Sources of the gauge values of an entry.
struct gauge_sources {
  const placement::target_registry &TargetRegistry;
  const placement::placer &Placer;
  const steering_state &State;
  store_call_counts StoreCalls;
  /// Number of live entries, this one included.
  unsigned EntryCount;
};

/// \brief Sets all gauges to the current state.
void updateGauges(metrics::registry &Metrics, const gauge_sources &Sources,
                  base::boot_time Now);

/// \brief Sets the gauges of the memory and the connections of callers.
/// \param ReplacedConnections number of connections closed for new ones
void updateMemoryGauges(metrics::registry &Metrics,
                        const net::memory_account &Memory,
                        std::uint64_t ReplacedConnections);

} // namespace skylarkdyke::gateway::detail

#endif
