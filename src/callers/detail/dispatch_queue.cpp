#include "callers/detail/dispatch_queue.hpp"

#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/steering/region_choice.hpp"

#include <algorithm>
#include <condition_variable>

namespace skylarkdyke::callers::detail {

using std::chrono::milliseconds;

/// The first waiting request looks this often for slots that become free
/// without a release: an ejected or shedding target returns, a weight rises.
static constexpr milliseconds FirstWaitSlice{5};
/// Interval at which the others look whether their caller is still there.
static constexpr milliseconds OtherWaitSlice{50};
/// A retry waits this long for a target that it has not tried yet.
static constexpr milliseconds ExclusionTime{20};
/// Weight of a new latency in the mean, as in TCP's smoothed round trip.
static constexpr int LatencyDivisor = 8;

struct dispatch_queue::waiter {
  const slot_request *Request = nullptr;
  base::boot_time ExcludedUntil;
  std::condition_variable Served;
  std::optional<config::target> Target;
};

void dispatch_queue::configure(std::vector<steering::weighted_target> Targets) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  TargetCount = 0;
  SlotCount = 0;
  for (const steering::weighted_target &One : Targets) {
    TargetCount += One.Weight > 0 ? 1 : 0;
    SlotCount += One.Target.Slots;
  }
  Chooser.configure(std::move(Targets), base::boot_clock::now());
  serveWaiting();
}

std::optional<config::target>
dispatch_queue::tryTake(const slot_request &Request, bool UseExcluded) {
  static const std::vector<base::target_id> None;
  return Chooser.acquire(Request.MaxPerTarget,
                         UseExcluded ? Request.Excluded : None,
                         base::boot_clock::now());
}

/// Gives free slots to waiting requests in order of arrival. A request that no
/// slot suits does not hold up the next one.
void dispatch_queue::serveWaiting() {
  const base::boot_time Now = base::boot_clock::now();
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    waiter &First = *It->second;
    const slot_request &Request = *First.Request;
    const bool UseExcluded =
        !Request.Excluded.empty() && Now < First.ExcludedUntil;
    First.Target = tryTake(Request, UseExcluded);
    if (First.Target) {
      First.Served.notify_one();
      It = Waiters.erase(It);
    } else if (UseExcluded || Request.MaxPerTarget == 1) {
      ++It;
    } else {
      return;
    }
  }
}

std::size_t dispatch_queue::bound() const {
  return std::clamp<std::size_t>(SlotCount * WaitingPerSlot, WaitingPerSlot,
                                 MaxWaiting);
}

base::result<config::target, slot_refusal>
dispatch_queue::acquire(const slot_request &Request) {
  std::unique_lock<std::mutex> Lock(Mutex);
  if (TargetCount == 0)
    return slot_refusal::NoTarget;
  // Requests that wait go first, unless this is a retry that arrived before
  // them.
  if (Waiters.empty() || Request.Arrival < Waiters.begin()->first)
    if (auto Target = tryTake(Request, !Request.Excluded.empty()))
      return std::move(*Target);
  if (!Request.IsRetry && Waiters.size() >= bound())
    return slot_refusal::QueueFull;
  waiter Self;
  Self.Request = &Request;
  Self.ExcludedUntil = base::boot_clock::now() + ExclusionTime;
  Waiters.emplace(Request.Arrival, &Self);
  while (!Self.Target) {
    const base::boot_time Now = base::boot_clock::now();
    const bool Gone = http::isClosedByPeer(Request.CallerSocket);
    if (Gone || Now >= Request.Deadline || TargetCount == 0) {
      Waiters.erase(Request.Arrival);
      if (TargetCount == 0)
        return slot_refusal::NoTarget;
      return Gone ? slot_refusal::CallerGone : slot_refusal::DeadlinePassed;
    }
    const bool IsFirst = Waiters.begin()->second == &Self;
    Self.Served.wait_for(Lock, std::min<std::chrono::nanoseconds>(
                                   IsFirst ? FirstWaitSlice : OtherWaitSlice,
                                   Request.Deadline - Now));
    if (!Self.Target && IsFirst)
      serveWaiting();
  }
  return std::move(*Self.Target);
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

void dispatch_queue::report(const base::target_id &Target, bool Healthy,
                            unsigned ReportedInFlight) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Chooser.report(Target, Healthy, ReportedInFlight, base::boot_clock::now());
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
