#ifndef SKYLARKDYKE_TESTS_SUPPORT_PLACER_FLEET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_PLACER_FLEET_HPP

#include "skylarkdyke/placement/placer.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace test_support {

using namespace skylarkdyke;

/// What the entries of a fleet know of each other.
enum class fleet_knowledge {
  /// All entries know all others, and have equal demand.
  Complete,
  /// All entries have just started, and use no part of a limit yet.
  JustStarted,
  /// Every tenth entry alone has had requests for the service.
  DemandAtSome,
};

/// \brief Placers of many entries that send to the same targets, without a
/// network: a send arrives and is answered at once.
class placer_fleet {
public:
  /// \param LocalEntries entries in the region "north", where the targets are
  /// \param OtherEntries entries in the region "south"
  placer_fleet(std::size_t LocalEntries, std::size_t OtherEntries,
               unsigned Seed,
               fleet_knowledge Knowledge = fleet_knowledge::Complete);

  /// Adds a target of the region "north" to all entries.
  /// \param ColdTime for how long it is cold; 0 if it is warm
  void addTarget(const std::string &Id, std::chrono::milliseconds ColdTime);
  void removeTarget(const std::string &Id);
  /// Lets the clocks of the entries differ, in three groups.
  void setClockSkew(std::chrono::milliseconds MaxSkew);
  /// Lets a target turn cold now. Each third of the entries learns of it at
  /// another time, the last one after MaxDelay.
  void turnCold(const std::string &Id, std::chrono::milliseconds ColdTime,
                std::chrono::milliseconds MaxDelay);

  /// Lets all entries send requests.
  /// \param RequestsPerSecond mean rate of each entry
  void run(std::chrono::milliseconds Duration, double RequestsPerSecond);

  /// Most requests that a target got in one second while it was cold.
  int mostInASecondWhileCold(const std::string &Id) const;
  /// Most requests that a target got in one second.
  int mostInASecond(const std::string &Id) const;
  int sentTo(const std::string &Id) const;

  /// Rate that a cold target tolerates, in requests per second.
  static constexpr double ColdRate = 3.1;

  base::boot_time Now{std::chrono::hours(1)};
  /// Retry delays of the requests that were refused.
  std::vector<std::chrono::nanoseconds> Refusals;

private:
  struct entry {
    placement::target_registry Registry;
    placement::placer Placer;
    entry(const base::region_name &Region);
  };
  struct waiting_request {
    std::size_t Entry;
    placement::placement_query Query;
    int Waits;
  };
  struct target {
    base::boot_time ColdFrom{};
    base::boot_time ColdUntil{};
    std::vector<base::boot_time> Sends;
  };

  void setParts(std::size_t Index, std::size_t LocalEntries,
                std::size_t OtherEntries, fleet_knowledge Knowledge);
  placement::placement_query makeQuery();
  void place(const waiting_request &Request);

  std::deque<entry> Entries;
  std::map<std::string, target> Targets;
  std::multimap<base::boot_time, waiting_request> Waiting;
  std::multimap<base::boot_time, std::pair<std::size_t, std::string>> News;
  routing::route Route;
  routing::service Service;
  std::mt19937 Random;
};

} // namespace test_support

#endif
