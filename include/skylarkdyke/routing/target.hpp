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

/// \brief A running target as service discovery names it.
struct target {
  base::target_id Id;
  base::service_name Service;
  base::endpoint Address;
  base::domain_name Domain;
  /// Requests that it runs at once.
  unsigned Slots = 1;
  /// It is about to leave and must get no new work.
  bool Draining = false;
  /// How long it stayed cold when the record was written; zero: warm.
  std::chrono::milliseconds ColdFor{0};
  /// Wall-clock time of its start in ms since the epoch. A later one under the
  /// same id is a new incarnation.
  std::int64_t StartedAtMs = 0;
};

/// \brief A new version of the operators' configuration, as text still to be
/// decoded. Kept as text so that it can be passed on unchanged.
struct configuration_published {
  std::string Document;
};
struct target_published {
  target Target;
};
struct target_removed {
  base::target_id Id;
};
struct evacuation_started {
  base::domain_name Domain;
};
struct evacuation_ended {
  base::domain_name Domain;
};
/// \brief An entry announced where it can be reached.
struct entry_announced {
  std::string Name;
  base::endpoint MeshAddress;
};

/// \brief One change of what the store holds.
using store_change =
    std::variant<configuration_published, target_published, target_removed,
                 evacuation_started, evacuation_ended, entry_announced>;

} // namespace skylarkdyke::routing

#endif
