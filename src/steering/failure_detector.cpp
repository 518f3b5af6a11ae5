#include "skylarkdyke/steering/failure_detector.hpp"

#include <algorithm>

namespace skylarkdyke::steering {

using std::chrono::nanoseconds;

fixed_timeout::fixed_timeout(nanoseconds Timeout) : Timeout(Timeout) {}

void fixed_timeout::heartbeat(std::uint64_t Sequence, base::boot_time Now) {
  if (Sequence <= LatestSequence)
    return;
  LatestSequence = Sequence;
  Deadline = Now + Timeout;
}

bool fixed_timeout::suspects(base::boot_time Now) const {
  return Now > Deadline;
}

heartbeat_counting::heartbeat_counting(nanoseconds Window, std::size_t Minimum)
    : Window(Window), Arrivals(std::max<std::size_t>(1, Minimum)) {}

void heartbeat_counting::heartbeat(std::uint64_t Sequence,
                                   base::boot_time Now) {
  if (Sequence <= LatestSequence)
    return;
  LatestSequence = Sequence;
  Arrivals.push_back(Now);
}

bool heartbeat_counting::suspects(base::boot_time Now) const {
  return !Arrivals.full() || Now > Arrivals.front() + Window;
}

adaptive_timeout::adaptive_timeout(nanoseconds Interval, nanoseconds Margin,
                                   std::size_t WindowSize)
    : Interval(Interval), Margin(Margin),
      Delays(std::max<std::size_t>(1, WindowSize)) {}

nanoseconds adaptive_timeout::sendOffset(std::uint64_t Sequence) const {
  return Interval * static_cast<nanoseconds::rep>(Sequence - FirstSequence);
}

void adaptive_timeout::heartbeat(std::uint64_t Sequence, base::boot_time Now) {
  if (Sequence <= LatestSequence)
    return;
  const auto Count = static_cast<nanoseconds::rep>(Delays.size());
  // A sender that was paused continues its sequence behind its schedule. Delays
  // from before the pause would make all later heartbeats look late until they
  // have left the window, so the estimate is reset.
  const bool Rescheduled =
      Count > 0 &&
      Now - FirstArrival - sendOffset(Sequence) > DelaySum / Count + Margin / 2;
  if (Count == 0 || Rescheduled) {
    FirstSequence = Sequence;
    FirstArrival = Now;
    Delays.clear();
    DelaySum = nanoseconds(0);
  }
  LatestSequence = Sequence;
  const nanoseconds Delay = Now - FirstArrival - sendOffset(Sequence);
  if (Delays.full())
    DelaySum -= Delays.front();
  Delays.push_back(Delay);
  DelaySum += Delay;
  const nanoseconds MeanDelay =
      DelaySum / static_cast<nanoseconds::rep>(Delays.size());
  Deadline = FirstArrival + MeanDelay + sendOffset(Sequence + 1) + Margin;
}

bool adaptive_timeout::suspects(base::boot_time Now) const {
  return Now > Deadline;
}

void heartbeat(failure_detector &Detector, std::uint64_t Sequence,
               base::boot_time Now) {
  std::visit([&](auto &Concrete) { Concrete.heartbeat(Sequence, Now); },
             Detector);
}

bool suspects(const failure_detector &Detector, base::boot_time Now) {
  return std::visit(
      [&](const auto &Concrete) { return Concrete.suspects(Now); }, Detector);
}

} // namespace skylarkdyke::steering
