#ifndef SKYLARKDYKE_TESTS_SUPPORT_RECORDING_TARGET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_RECORDING_TARGET_HPP

#include "skylarkdyke/base/clock.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace test_support {

/// \brief A request of a caller that has arrived at a target.
struct recorded_arrival {
  skylarkdyke::base::wall_time At;
  std::string RequestId;
};

/// \brief Target of the service orders that answers at once and records when
/// requests arrive. It has a thread of its own, so that load on a stand-in for
/// the platform does not delay the record. All calls are thread-safe.
class recording_target {
public:
  /// \param ColdUntil until when the target tolerates only its cold rate
  recording_target(std::string Id, skylarkdyke::base::wall_time ColdUntil);
  ~recording_target();
  recording_target(const recording_target &) = delete;
  recording_target &operator=(const recording_target &) = delete;

  const std::string &id() const;

  /// \brief Record of the ready target for the store, with the cold time that
  /// is left.
  std::string registration() const;

  /// \brief Requests that have arrived while the target was cold, but for
  /// health checks and those that were meant for another target.
  std::vector<recorded_arrival> coldArrivals() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace test_support

#endif
