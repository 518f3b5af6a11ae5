#include "skylarkdyke/admission/admission_controller.hpp"

namespace skylarkdyke::admission {

using std::chrono::nanoseconds;

/// Weight of the newest request in the moving average of OnTimeShare.
static constexpr double OnTimeShareWeight = 0.02;
/// OnTimeShare from which late requests may join only short queues. A request
/// is late if it would miss its objective even without a wait.
static constexpr double OnTimeThreshold = 0.5;
/// Fraction of the objective by which the expected completion may exceed it:
/// the estimate is pessimistic, because it counts the full processing time of
/// each request ahead although the running ones are partly done.
static constexpr double ObjectiveTolerance = 0.33;
/// Longest wait in a queue that counts as short for a late request, as a
/// fraction of the objective.
static constexpr double MaxLateWait = 0.1;

static nanoseconds fractionOf(nanoseconds Duration, double Fraction) {
  return std::chrono::duration_cast<nanoseconds>(Duration * Fraction);
}

bool admission_controller::admits(const base::service_name &Service,
                                  const queue_estimate &Estimate,
                                  base::boot_time Now) {
  if (Estimate.Objective <= nanoseconds(0))
    return true;
  const bool CanMeetObjective =
      Now + Estimate.ProcessingTime <= Estimate.ObjectiveDeadline;
  double &ServiceOnTimeShare = OnTimeShare[Service];
  ServiceOnTimeShare +=
      OnTimeShareWeight * ((CanMeetObjective ? 1 : 0) - ServiceOnTimeShare);
  if (CanMeetObjective)
    return Now + Estimate.Wait + Estimate.ProcessingTime <=
           Estimate.ObjectiveDeadline +
               fractionOf(Estimate.Objective, ObjectiveTolerance);
  return ServiceOnTimeShare < OnTimeThreshold ||
         Estimate.Wait <= fractionOf(Estimate.Objective, MaxLateWait);
}

} // namespace skylarkdyke::admission
