#ifndef SKYLARKDYKE_GATEWAY_DETAIL_COLD_WATCH_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_COLD_WATCH_HPP

#include "gateway/detail/channel_pool.hpp"
#include "gateway/detail/steering_state.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/metrics/registry.hpp"
#include "skylarkdyke/telemetry/decision_log.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief Reads from the response to a health check how long a target stays
/// cold.
/// \return the time; nothing if the response is of another target or tells none
std::optional<std::chrono::milliseconds>
readColdTime(const net::http_response &Response, const header_names &Headers,
             const base::target_id &Target);

/// \brief Returns whether a health check was handled by the target, so that the
/// lack of a cold time means that it is not cold. A full target rejects the
/// check, as any other request.
bool tellsColdTime(const net::http_response &Response,
                   const header_names &Headers, const base::target_id &Target);

/// \brief Finds out which targets have become cold while the store is silent.
///
/// A target may become cold at any time, for example when an evacuation ends.
/// The store tells so; while it does not answer, only the targets do, in their
/// responses to health checks. One entry checks a target and tells the others,
/// because a cold target tolerates few requests, checks included.
///
/// A check waits for a slot of the target, so that a full target, which gets
/// the most requests, answers last. A target that is late counts as one that
/// may be cold until it has answered a check.
class cold_watch {
public:
  /// An entry that may check targets.
  struct checker {
    base::endpoint MeshAddress;
    base::region_name Region;
  };

  /// \param Own this entry
  cold_watch(const header_names &Headers, steering_state &State,
             placement::target_registry &TargetRegistry, channel_pool &Pool,
             metrics::registry &Metrics, telemetry::decision_log &Log,
             checker Own);

  /// \brief Checks the targets that this entry has to check if the store has
  /// been silent for a while.
  /// \param Others live entries besides this one
  void tick(const std::vector<checker> &Others, base::boot_time Now);

private:
  bool isStoreSilent(base::boot_time Now) const;
  bool isOwnDuty(const placement::target_state &Target,
                 const std::vector<checker> &Others) const;
  bool needsCheck(const placement::target_state &Target,
                  base::boot_time Now) const;
  void reportLateChecks(base::boot_time Now);
  void reportMayBeCold(const placement::target_incarnation &Target,
                       std::chrono::milliseconds Time, base::boot_time Now);
  void check(const placement::target_state &Target,
             const routing::service &Service, base::boot_time Now);
  void onResult(const placement::target_incarnation &Target,
                const net::call_result &Result);

  const header_names &Headers;
  steering_state &State;
  placement::target_registry &TargetRegistry;
  channel_pool &Pool;
  metrics::registry &Metrics;
  telemetry::decision_log &Log;
  checker Own;
  struct pending_check {
    placement::target_incarnation Target;
    /// Time from which the response is late.
    base::boot_time LateAt;
  };
  /// Checks that have no response yet.
  std::map<base::target_id, pending_check> Pending;
  std::uint64_t CheckCount = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
