#ifndef SKYLARKDYKE_ROUTING_TARGET_HPP
#define SKYLARKDYKE_ROUTING_TARGET_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace skylarkdyke::routing {

/// \brief A target as registered in service discovery.
struct target {
  base::target_id Id;
  base::service_name Service;
  base::endpoint Address;
  base::domain_name Domain;
  /// Number of requests that the target processes concurrently.
  unsigned Slots = 1;
  /// The target is shutting down and must get no new requests.
  bool Draining = false;
  /// Remaining time for which the target stays cold, as of the writing of the
  /// record; 0 if it is not cold.
  std::chrono::milliseconds RemainingColdTime{0};
  /// Start time of the target in ms since the Unix epoch. Another start time
  /// under the same id is a new incarnation.
  std::int64_t StartedAtMs = 0;
};

/// \brief A new version of the operators' configuration. The document is kept
/// as undecoded text so that it can be forwarded unchanged.
struct configuration_published {
  std::string Document;
};
/// \brief A target was registered, or its record changed.
struct target_published {
  target Target;
};
/// \brief The record of a target was removed.
struct target_removed {
  base::target_id Id;
};
/// \brief The evacuation of a failure domain started.
struct evacuation_started {
  base::domain_name Domain;
};
/// \brief The evacuation of a failure domain ended.
struct evacuation_ended {
  base::domain_name Domain;
};
/// \brief An entry announced its address.
struct entry_announced {
  std::string Name;
  base::endpoint MeshAddress;
};
/// \brief An entry has stored that a request which crashes targets is blocked.
struct request_blocked {
  /// See poison::request_identity.
  std::uint64_t Fingerprint = 0;
  base::service_name Service;
  /// Method and path, shown to operators.
  std::string Summary;
  unsigned Crashes = 0;
};
/// \brief The block of a request was removed from the store, or has expired
/// there.
struct block_removed {
  std::uint64_t Fingerprint = 0;
};

/// \brief A change of the records in the store.
using store_change =
    std::variant<configuration_published, target_published, target_removed,
                 evacuation_started, evacuation_ended, entry_announced,
                 request_blocked, block_removed>;

} // namespace skylarkdyke::routing

#endif
