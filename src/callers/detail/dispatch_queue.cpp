#include "callers/detail/dispatch_queue.hpp"

#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/steering/region_choice.hpp"

#include <algorithm>
#include <condition_variable>

namespace skylarkdyke::callers::detail {

using std::chrono::milliseconds;

/// Interval at which the first waiting request checks for slots that become
/// free without a release, because an ejected or shedding target returns or a
/// weight rises.
static constexpr milliseconds HeadPollInterval{5};
/// Interval at which the other waiting requests check whether their caller is
/// still connected.
static constexpr milliseconds WaiterPollInterval{50};
/// Time for which a retry waits for a target that it has not tried yet, before
/// it accepts one that it has.
static constexpr milliseconds ExclusionDuration{20};
/// A new latency has the weight 1/8 in the moving average, as in TCP's smoothed
/// round-trip time.
static constexpr int LatencyDivisor = 8;

struct dispatch_queue::waiter {
  const slot_request *Request = nullptr;
  base::boot_time ExcludedUntil;
  std::condition_variable SlotGranted;
  std::optional<config::target> Target;
};

void dispatch_queue::configure(std::vector<steering::weighted_target> Targets) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ActiveTargetCount = 0;
  SlotCount = 0;
  for (const steering::weighted_target &Weighted : Targets) {
    ActiveTargetCount += Weighted.Weight > 0 ? 1 : 0;
    SlotCount += Weighted.Target.Slots;
  }
  Chooser.configure(std::move(Targets), base::boot_clock::now());
  serveWaiting();
}

std::optional<config::target>
dispatch_queue::tryAcquire(const slot_request &Request, bool ApplyExclusions) {
  static const std::vector<base::target_id> NoExclusions;
  return Chooser.acquire(Request.MaxPerTarget,
                         ApplyExclusions ? Request.Excluded : NoExclusions,
                         base::boot_clock::now());
}

/// Grants free slots to waiting requests in order of arrival. A request that
/// can use none of the free slots does not block the next one.
void dispatch_queue::serveWaiting() {
  const base::boot_time Now = base::boot_clock::now();
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    waiter &Waiter = *It->second;
    const slot_request &Request = *Waiter.Request;
    const bool ApplyExclusions =
        !Request.Excluded.empty() && Now < Waiter.ExcludedUntil;
    Waiter.Target = tryAcquire(Request, ApplyExclusions);
    if (Waiter.Target) {
      Waiter.SlotGranted.notify_one();
      It = Waiters.erase(It);
    } else if (ApplyExclusions || Request.MaxPerTarget == 1) {
      ++It;
    } else {
      return;
    }
  }
}

std::size_t dispatch_queue::waitingLimit() const {
  return std::clamp<std::size_t>(SlotCount * MaxWaitingPerSlot,
                                 MaxWaitingPerSlot, MaxWaiting);
}

base::result<config::target, slot_refusal>
dispatch_queue::acquire(const slot_request &Request) {
  std::unique_lock<std::mutex> Lock(Mutex);
  if (ActiveTargetCount == 0)
    return slot_refusal::NoTarget;
  // Waiting requests have priority, unless this is a retry that arrived before
  // them.
  if (Waiters.empty() || Request.ArrivalNumber < Waiters.begin()->first)
    if (auto Target = tryAcquire(Request, !Request.Excluded.empty()))
      return std::move(*Target);
  if (!Request.IsRetry && Waiters.size() >= waitingLimit())
    return slot_refusal::QueueFull;
  waiter Waiter;
  Waiter.Request = &Request;
  Waiter.ExcludedUntil = base::boot_clock::now() + ExclusionDuration;
  Waiters.emplace(Request.ArrivalNumber, &Waiter);
  while (!Waiter.Target) {
    const base::boot_time Now = base::boot_clock::now();
    const bool IsCallerGone = http::isClosedByPeer(Request.CallerSocket);
    if (IsCallerGone || Now >= Request.Deadline || ActiveTargetCount == 0) {
      Waiters.erase(Request.ArrivalNumber);
      if (ActiveTargetCount == 0)
        return slot_refusal::NoTarget;
      return IsCallerGone ? slot_refusal::CallerGone
                          : slot_refusal::DeadlinePassed;
    }
    const bool IsHead = Waiters.begin()->second == &Waiter;
    Waiter.SlotGranted.wait_for(
        Lock, std::min<std::chrono::nanoseconds>(IsHead ? HeadPollInterval
                                                        : WaiterPollInterval,
                                                 Request.Deadline - Now));
    if (!Waiter.Target && IsHead)
      serveWaiting();
  }
  return std::move(*Waiter.Target);
}

void dispatch_queue::release(const base::target_id &Target,
                             steering::attempt_result Result,
                             std::chrono::nanoseconds Latency) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Chooser.release(Target, Result, Latency, base::boot_clock::now());
  if (Result == steering::attempt_result::Completed)
    MeanLatency += (Latency - MeanLatency) / LatencyDivisor;
  serveWaiting();
}

void dispatch_queue::reportProbe(const base::target_id &Target, bool Healthy,
                                 unsigned ReportedInFlight) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Chooser.reportProbe(Target, Healthy, ReportedInFlight,
                      base::boot_clock::now());
  serveWaiting();
}

std::size_t dispatch_queue::waiting() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Waiters.size();
}

unsigned dispatch_queue::usableSlots() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Chooser.usableSlots(base::boot_clock::now());
}

unsigned dispatch_queue::slotsInUse() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Chooser.slotsInUse();
}

std::chrono::nanoseconds dispatch_queue::expectedWait() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const unsigned Usable = Chooser.usableSlots(base::boot_clock::now());
  if (Waiters.empty() && Chooser.slotsInUse() < Usable)
    return std::chrono::nanoseconds(0);
  return steering::expectedWait(Waiters.size(), Usable, MeanLatency);
}

} // namespace skylarkdyke::callers::detail
