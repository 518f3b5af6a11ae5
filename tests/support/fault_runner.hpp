#ifndef SKYLARKDYKE_TESTS_SUPPORT_FAULT_RUNNER_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_FAULT_RUNNER_HPP

#include "support/fault_schedule.hpp"
#include "support/version_watch.hpp"

namespace test_support {

/// \brief Carries out the faults of a schedule at a cluster.
class fault_runner {
public:
  fault_runner(cluster &Cluster, version_watch &Watch, trace &Trace);

  /// \brief Returns after the end of the last fault, with all entries started.
  void run(const std::vector<planned_fault> &Faults);

  /// \brief Stops of entries that did not end with exit code 0.
  const std::vector<timed_line> &violations() const { return Violations; }

private:
  void begin(const planned_fault &Fault);
  void end(const planned_fault &Fault);
  void change(const planned_fault &Fault, bool Begins);
  void setProxyFaults();
  void setTarget(const planned_fault &Fault, const nlohmann::json &Change);
  void endStops(std::chrono::milliseconds MaxWait);
  void startAgain(std::size_t Entry);
  void rememberSeats(const std::string &Entry);
  void confirmSeats();
  bool confirmSeat(unsigned Seat);

  cluster &Cluster;
  version_watch &Watch;
  trace &Trace;
  /// Incarnations of ended processes that held a seat and have not been
  /// confirmed as destroyed, by seat.
  std::map<unsigned, std::set<std::string>> DeadHolders;
  /// Entries that were asked to stop, with the time by which they must have.
  std::map<std::size_t, skylarkdyke::base::boot_time> Stops;
  bool StoreIsUp = true;
  /// Faults of the proxy that are in force.
  std::vector<planned_fault> Active;
  std::vector<timed_line> Violations;
};

} // namespace test_support

#endif
