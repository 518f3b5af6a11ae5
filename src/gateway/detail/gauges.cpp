#include "gateway/detail/gauges.hpp"

namespace skylarkdyke::gateway::detail {

static void setStoreCalls(metrics::registry &Metrics, const char *Kind,
                          std::uint64_t Count) {
  Metrics
      .gauge("skylarkdyke_store_calls", "Store calls since the start",
             {{"kind", Kind}})
      .set(static_cast<double>(Count));
}

void updateGauges(metrics::registry &Metrics, const gauge_sources &Sources,
                  base::boot_time Now) {
  const auto SetGauge = [&Metrics](const char *Name, const char *Help,
                                   std::uint64_t Value) {
    Metrics.gauge(Name, Help).set(static_cast<double>(Value));
  };
  SetGauge("skylarkdyke_entries", "Live entries, this one included",
           Sources.EntryCount);
  SetGauge("skylarkdyke_targets", "Known targets", Sources.Book.size());
  SetGauge("skylarkdyke_targets_ejected",
           "Targets excluded temporarily because of failed requests",
           Sources.Book.ejectedCount(Now));
  SetGauge("skylarkdyke_targets_cold",
           "Targets limited to their cold-start request rate",
           Sources.Book.coldCount(Now));
  const auto Routes = Sources.State.routes();
  SetGauge("skylarkdyke_config_version", "Version of the active configuration",
           Routes ? Routes->version() : 0);
  SetGauge("skylarkdyke_state_revision",
           "Store revision up to which all changes are applied",
           Sources.State.confirmedRevision());
  const store_call_counts &Calls = Sources.StoreCalls;
  setStoreCalls(Metrics, "list", Calls.Lists);
  setStoreCalls(Metrics, "watch", Calls.Watches);
  setStoreCalls(Metrics, "write", Calls.Writes);
  setStoreCalls(Metrics, "renewal", Calls.Renewals);
  setStoreCalls(Metrics, "failed", Calls.Failed);
}

} // namespace skylarkdyke::gateway::detail
