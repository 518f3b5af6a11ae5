#ifndef SKYLARKDYKE_OPERATORS_DETAIL_STATUS_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_STATUS_HPP

#include "skylarkdyke/operators/dependencies.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::operators::detail {

/// Part of a cap from which on the page warns: the rest is what a failing
/// region or a burst needs.
inline constexpr double WarnAtCapPart = 0.9;

/// Time after the end of its ramp from which on a drain that still has requests
/// counts as stuck. Services answer within a deadline of a few seconds.
inline constexpr std::chrono::seconds StuckAfter{60};

/// \brief Use of one cap by all entries together.
struct headroom {
  /// "region mazowsze" or "link mazowsze to pomorze".
  std::string Name;
  double Cap = 0;
  double Used = 0;
  bool IsLink = false;

  /// Unused part of the cap in units per second, at least 0.
  double remaining() const;
  /// Used part of the cap, from 0.
  double usedPart() const;
};

/// \brief Progress of one drain.
struct drain_status {
  config::drain Drain;
  /// Present weight of the scope, from 0 (no new work) to 1.
  double Weight = 1;
  /// Part of the way from the start to the end of the ramp, from 0 to 1.
  double Progress = 0;
  /// Time since the start; negative before it.
  std::chrono::seconds Age{0};
  std::optional<base::wall_time> CompleteAt;
  /// Requests that still hold a slot of a target in the scope.
  unsigned Remaining = 0;
  bool IsStuck = false;

  /// A leave with nothing left to run.
  bool isEmpty() const;
};

/// \brief Something that needs an operator's attention.
struct alarm {
  /// Stable name, the heading in docs/operators/alarms.md.
  std::string Name;
  /// What was seen.
  std::string What;
  /// What it means for the traffic.
  std::string Meaning;
  /// What to do now.
  std::string Action;
};

/// \brief All that the status page shows, read at one instant.
struct status {
  base::wall_time At;
  /// Null before the first document.
  std::shared_ptr<const config::document> Document;
  std::vector<entries::member> Members;
  std::vector<caps::cap_state> CapStates;
  /// Empty while no entry has reported load.
  std::vector<headroom> Headroom;
  bool HasLoads = false;
  std::vector<drain_status> Drains;
  std::vector<poison::blocked_request> Blocked;
  std::optional<base::wall_time> StoreDownSince;
  std::vector<alarm> Alarms;
};

/// \brief Reads the status from the entry and derives the alarms.
status readStatus(const dependencies &Entry);

/// \brief Derives the alarms of a status, most urgent first.
std::vector<alarm> findAlarms(const status &Status);

/// \brief Encodes a status for the administration API.
nlohmann::json toJson(const status &Status);

/// \brief Name of a cap as in headroom::Name.
std::string nameOf(const caps::cap_id &Cap);

/// \brief Entries that have at least this version in force.
std::size_t countInForce(const std::vector<entries::member> &Members,
                         std::uint64_t Version);

/// \brief Parses 1 to 16 hexadecimal digits.
std::optional<std::uint64_t> parseHex(const std::string &Text);

} // namespace skylarkdyke::operators::detail

#endif
