#ifndef SKYLARKDYKE_CALLERS_DETAIL_DISPATCH_QUEUE_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_DISPATCH_QUEUE_HPP

#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/steering/target_chooser.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief Request for a free slot of a target.
struct slot_request {
  /// Position in the order of waiting requests; a retry keeps its position.
  std::uint64_t ArrivalNumber = 0;
  /// Maximum number of slots that this entry may use at one target.
  unsigned MaxPerTarget = 0;
  /// Targets that earlier attempts of the request have used.
  std::vector<base::target_id> Excluded;
  base::boot_time Deadline;
  /// Socket of the caller, or -1. The wait ends when the caller closes it.
  int CallerSocket = -1;
  /// A retry was admitted before, so the queue accepts it even when full.
  bool IsRetry = false;
};

/// \brief Reason why a request got no slot.
enum class slot_refusal { QueueFull, DeadlinePassed, CallerGone, NoTarget };

/// \brief Queue of requests of one service for the slots of its targets in one
/// region, served in order of arrival. Thread-safe. Each service has its own
/// queues and locks, so that overload of one service does not delay others.
class dispatch_queue {
public:
  /// Maximum number of waiting requests for each slot of the region. At a work
  /// time of 10 ms the last one waits 80 ms; further ones would only wait until
  /// their deadline.
  static constexpr std::size_t MaxWaitingPerSlot = 8;
  /// Maximum number of waiting requests for any number of slots. Each waiting
  /// request occupies a connection and its thread, of which an entry serves
  /// 400.
  static constexpr std::size_t MaxWaiting = 96;

  /// \brief Replaces the targets and their weights.
  void configure(std::vector<steering::weighted_target> Targets);

  /// \brief Takes a slot. Blocks until one is granted in order of arrival.
  base::result<config::target, slot_refusal>
  acquire(const slot_request &Request);

  /// \brief Returns a slot and grants free slots to waiting requests.
  /// \param Result how the attempt that held the slot ended
  /// \param Latency time for which the slot was held
  void release(const base::target_id &Target, steering::attempt_result Result,
               std::chrono::nanoseconds Latency);

  /// \brief Applies the result of a health probe of a target.
  void reportProbe(const base::target_id &Target, bool Healthy,
                   unsigned ReportedInFlight);

  std::size_t waiting() const;
  unsigned usableSlots() const;
  unsigned slotsInUse() const;
  /// \brief Estimated time that the next request would wait for a slot.
  std::chrono::nanoseconds expectedWait() const;

private:
  struct waiter;

  std::optional<config::target> tryAcquire(const slot_request &Request,
                                           bool ApplyExclusions);
  void serveWaiting();
  std::size_t waitingLimit() const;

  mutable std::mutex Mutex;
  steering::target_chooser Chooser;
  std::map<std::uint64_t, waiter *> Waiters;
  /// Number of targets with a weight above zero.
  std::size_t ActiveTargetCount = 0;
  std::size_t SlotCount = 0;
  std::chrono::nanoseconds MeanLatency{0};
};

} // namespace skylarkdyke::callers::detail

#endif
