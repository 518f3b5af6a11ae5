#include "entry/detail/metrics_page.hpp"

#include "skylarkdyke/callers/counters.hpp"

namespace skylarkdyke::entry::detail {

void metrics_page::observe(const base::service_name &Service,
                           std::chrono::nanoseconds Latency,
                           once::outcome Outcome) {
  Registry
      .latency(
          "skylarkdyke_request_duration_seconds",
          "Time from the arrival of a request to its answer.",
          {{"service", Service.str()}, {"outcome", once::toString(Outcome)}})
      .observe(Latency);
}

/// Mirrors a counter that another part keeps; such counters only rise.
void metrics_page::setCounter(const std::string &Name, const std::string &Help,
                              const metrics::label_set &Labels,
                              std::uint64_t Value) {
  metrics::counter &Counter = Registry.counter(Name, Help, Labels);
  const std::uint64_t Known = Counter.value();
  if (Value > Known)
    Counter.add(Value - Known);
}

void metrics_page::readCallers(const callers::caller_service &Callers) {
  const auto Last = static_cast<std::size_t>(callers::counter::Count);
  for (std::size_t Index = 0; Index < Last; ++Index) {
    const auto Kind = static_cast<callers::counter>(Index);
    setCounter("skylarkdyke_caller_events_total",
               "Events while lookups and requests were handled.",
               {{"event", callers::toString(Kind)}},
               Callers.counts().get(Kind));
  }
  for (const callers::service_load &Load : Callers.loads()) {
    const metrics::label_set Labels = {{"service", Load.Service.str()},
                                       {"region", Load.Region.str()}};
    Registry
        .gauge("skylarkdyke_slots_in_use", "Slots of targets in use.", Labels)
        .set(Load.SlotsInUse);
    Registry
        .gauge("skylarkdyke_slots_usable", "Slots of targets not ejected.",
               Labels)
        .set(Load.UsableSlots);
    Registry
        .gauge("skylarkdyke_requests_waiting", "Requests waiting for a slot.",
               Labels)
        .set(static_cast<double>(Load.Waiting));
  }
}

void metrics_page::readStore(const store::client &Store) {
  const store::call_counts Counts = Store.counts();
  const auto Set = [this](const char *Call, std::uint64_t Value) {
    setCounter("skylarkdyke_store_calls_total", "Calls to the store.",
               {{"call", Call}}, Value);
  };
  Set("read", Counts.Reads);
  Set("write", Counts.Writes);
  Set("watch", Counts.Watches);
}

void metrics_page::readMesh(const entries::mesh &Mesh) {
  const entries::mesh_counters Counters = Mesh.counters();
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  for (const entries::type_counters &Type : Counters.Types) {
    BytesIn += Type.BytesIn;
    BytesOut += Type.BytesOut;
  }
  const auto Bytes = [this](const char *Direction, std::uint64_t Value) {
    setCounter("skylarkdyke_peer_bytes_total",
               "Bytes of messages between entries.", {{"direction", Direction}},
               Value);
  };
  Bytes("in", BytesIn);
  Bytes("out", BytesOut);
  const auto Dropped = [this](const char *Reason, std::uint64_t Value) {
    setCounter("skylarkdyke_peer_dropped_total",
               "Messages and connections between entries that were dropped.",
               {{"reason", Reason}}, Value);
  };
  Dropped("malformed", Counters.Malformed);
  Dropped("oversized", Counters.Oversized);
  Dropped("unknown_type", Counters.UnknownType);
  Dropped("refused", Counters.Refused);
  Dropped("over_limit", Counters.OverLimit);
  Dropped("late", Counters.LateReplies);
  Dropped("not_sent", Counters.Dropped);
  Dropped("too_slow", Counters.TooSlow);
}

static std::string nameOf(const caps::cap_id &Cap) {
  if (const auto *Region = std::get_if<caps::region_cap>(&Cap))
    return "region " + Region->Region.str();
  const auto &Link = std::get<caps::link_cap>(Cap);
  return "link " + Link.From.str() + " " + Link.To.str();
}

void metrics_page::readCaps(const std::vector<caps::cap_state> &Caps) {
  for (const caps::cap_state &State : Caps) {
    const metrics::label_set Labels = {{"cap", nameOf(State.Cap)}};
    const auto Set = [&](const char *Name, const char *Help,
                         std::uint64_t Value) {
      Registry.gauge(Name, Help, Labels).set(static_cast<double>(Value));
    };
    Set("skylarkdyke_cap_whole", "The cap of the configuration, per second.",
        State.CapLimit);
    Set("skylarkdyke_cap_share", "Share that this entry holds, per second.",
        State.Share);
    Set("skylarkdyke_cap_used", "Units taken within the last second.",
        State.Used);
    Set("skylarkdyke_cap_refused", "Units refused within the last second.",
        State.Refused);
  }
}

std::string metrics_page::render(const callers::caller_service &Callers,
                                 const store::client &Store,
                                 const entries::mesh &Mesh,
                                 const std::vector<caps::cap_state> &Caps) {
  const std::lock_guard<std::mutex> Lock(Rendering);
  readCallers(Callers);
  readStore(Store);
  readMesh(Mesh);
  readCaps(Caps);
  return Registry.render();
}

} // namespace skylarkdyke::entry::detail
