#ifndef SKYLARKDYKE_GATEWAY_DETAIL_LOOP_LATENESS_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_LOOP_LATENESS_HPP

#include <algorithm>
#include <chrono>

namespace skylarkdyke::gateway::detail {

/// \brief Measures how late the timers of the event loop run, and so whether
/// the entry is overloaded or its machine has become slow.
///
/// Each request waits for the loop at several steps, so that even a short
/// lateness makes requests late.
class loop_lateness {
public:
  /// \brief Records by how much a timer was late.
  void record(std::chrono::nanoseconds Late) {
    const std::chrono::duration<double> Sample = Late;
    Average += SampleWeight * (Sample - Average);
  }

  /// \brief Returns the part of the entry's capacity that callers should use.
  double usableFraction() const {
    return std::clamp(Tolerated / std::max(Average, Tolerated), MinFraction,
                      1.0);
  }

private:
  /// Weight of the newest sample in the moving average.
  static constexpr double SampleWeight = 0.3;
  /// A machine with a part of a core may have to wait for its next time slice.
  static constexpr std::chrono::duration<double> Tolerated{0.04};
  /// Callers still use the entry for a part of its capacity, so that it is
  /// noticed when it is no longer late.
  static constexpr double MinFraction = 0.05;

  std::chrono::duration<double> Average{0};
};

} // namespace skylarkdyke::gateway::detail

#endif
