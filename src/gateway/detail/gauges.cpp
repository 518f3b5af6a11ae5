#include "gateway/detail/gauges.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

static void setStoreCalls(metrics::registry &Metrics, const char *Kind,
                          std::uint64_t Count) {
  Metrics
      .gauge("skylarkdyke_store_calls", "Calls of the store since the start",
             {{"kind", Kind}})
      .set(static_cast<double>(Count));
}

static void setSeconds(metrics::registry &Metrics, const char *Name,
                       const char *Help, std::chrono::nanoseconds Time) {
  Metrics.gauge(Name, Help).set(std::chrono::duration<double>(Time).count());
}

static void setMemoryActions(metrics::registry &Metrics, const char *Action,
                             std::uint64_t Count) {
  Metrics
      .gauge("skylarkdyke_caller_memory_actions",
             "What the limit of the memory for callers has caused since the "
             "start",
             {{"action", Action}})
      .set(static_cast<double>(Count));
}

void updateMemoryGauges(metrics::registry &Metrics,
                        const net::memory_account &Memory,
                        std::uint64_t ReplacedConnections) {
  Metrics
      .gauge("skylarkdyke_caller_memory_bytes",
             "Memory held for callers, over all connections")
      .set(static_cast<double>(Memory.heldBytes()));
  Metrics
      .gauge("skylarkdyke_caller_memory_limit_bytes",
             "Limit of the memory held for callers")
      .set(static_cast<double>(Memory.limit()));
  const net::memory_account::counts &Totals = Memory.totals();
  setMemoryActions(Metrics, "refused", Totals.RefusedCharges);
  setMemoryActions(Metrics, "evicted_request", Totals.EvictedRequests);
  setMemoryActions(Metrics, "evicted_response", Totals.EvictedResponses);
  setMemoryActions(Metrics, "replaced_connection", ReplacedConnections);
}

void updateGauges(metrics::registry &Metrics, const gauge_sources &Sources,
                  base::boot_time Now) {
  const auto SetGauge = [&Metrics](const char *Name, const char *Help,
                                   std::uint64_t Value) {
    Metrics.gauge(Name, Help).set(static_cast<double>(Value));
  };
  SetGauge("skylarkdyke_entries", "Live entries, this one included",
           Sources.EntryCount);
  SetGauge("skylarkdyke_targets", "Targets known",
           Sources.TargetRegistry.size());
  SetGauge("skylarkdyke_targets_ejected",
           "Targets without work for a while because of failed sends",
           Sources.TargetRegistry.ejectedCount(Now));
  SetGauge("skylarkdyke_targets_leaving",
           "Targets that have said in a response that they leave",
           Sources.TargetRegistry.leavingCount());
  SetGauge("skylarkdyke_targets_paused",
           "Targets without work for a while because they asked for it",
           Sources.TargetRegistry.pausedCount(Now));
  SetGauge("skylarkdyke_targets_cold",
           "Targets that tolerate only their cold rate",
           Sources.TargetRegistry.coldCount(Now));
  for (const auto Cause :
       {placement::move_cause::TargetGone, placement::move_cause::TargetJoined,
        placement::move_cause::RegionShares, placement::move_cause::Load})
    Metrics
        .gauge("skylarkdyke_object_moves",
               "Objects that changed their target since the start",
               {{"cause", placement::toString(Cause)}})
        .set(static_cast<double>(Sources.Placer.moves().count(Cause)));
  const steering_state &State = Sources.State;
  SetGauge("skylarkdyke_config_version", "Configuration in force",
           State.version());
  SetGauge("skylarkdyke_config_newest_version",
           "Newest configuration known to exist, in the store or elsewhere",
           State.newestVersion());
  setSeconds(Metrics, "skylarkdyke_config_age_seconds",
             "Time since the configuration in force came",
             State.configurationAge(Now));
  setSeconds(Metrics, "skylarkdyke_state_age_seconds",
             "Time since the store is known to have had nothing newer",
             State.age(Now).value_or(std::chrono::milliseconds(0)));
  SetGauge("skylarkdyke_state_revision", "Store revision that is known here",
           Sources.State.confirmedVersion().Revision);
  const store_call_counts &Calls = Sources.StoreCalls;
  setStoreCalls(Metrics, "list", Calls.Lists);
  setStoreCalls(Metrics, "watch", Calls.Watches);
  setStoreCalls(Metrics, "write", Calls.Writes);
  setStoreCalls(Metrics, "renewal", Calls.Renewals);
  setStoreCalls(Metrics, "failed", Calls.Failed);
  setStoreCalls(Metrics, "history_lost", Calls.HistoriesLost);
  SetGauge(
      "skylarkdyke_store_era",
      "Newest era in which the store has answered; it rises each time that "
      "the store comes back from a copy",
      std::max(Calls.Era, State.confirmedVersion().Era));
  SetGauge("skylarkdyke_store_items_unusable",
           "Times that an item of the store was read that cannot be used",
           Calls.UnusableItems);
}

} // namespace skylarkdyke::gateway::detail
