#ifndef SKYLARKDYKE_CALLERS_DETAIL_DISPATCH_QUEUE_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_DISPATCH_QUEUE_HPP

#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/steering/target_chooser.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief A request for a free slot.
struct slot_request {
  /// Order among waiting requests; a retry keeps its place.
  std::uint64_t Arrival = 0;
  /// Most slots that this entry may use at one target.
  unsigned MaxPerTarget = 0;
  /// Targets that the request has tried already.
  std::vector<base::target_id> Excluded;
  base::boot_time Deadline;
  /// Socket of the caller; its closing ends the wait. -1: none.
  int CallerSocket = -1;
  /// A retry was admitted before and is not refused for the queue's bound.
  bool IsRetry = false;
};

/// \brief Why no slot was given.
enum class slot_refusal { QueueFull, DeadlinePassed, CallerGone, NoTarget };

/// \brief Waiting requests of one service for the slots of its targets in one
/// region, served in order of arrival. Thread-safe. Each service has its own
/// queues and locks, so that a flood of one service holds up no other.
class dispatch_queue {
public:
  /// Waiting requests for each slot of the region. At a work time of 10 ms the
  /// last one waits 80 ms; more would only wait for their deadline.
  static constexpr std::size_t WaitingPerSlot = 8;
  /// Bound for any number of slots. Each waiting request occupies a connection
  /// and a thread of the 400 that an entry serves.
  static constexpr std::size_t MaxWaiting = 96;

  /// \brief Replaces the targets and their weights.
  void configure(std::vector<steering::weighted_target> Targets);

  /// \brief Takes a slot, waiting for one in order of arrival.
  base::result<config::target, slot_refusal>
  acquire(const slot_request &Request);

  /// \brief Returns a slot and hands it to the first that waits.
  void release(const base::target_id &Target, steering::attempt_result Result,
               std::chrono::nanoseconds Latency);

  /// \brief Learns from a probe.
  void report(const base::target_id &Target, bool Healthy,
              unsigned ReportedInFlight);

  std::size_t waiting() const;
  unsigned usableSlots() const;
  unsigned slotsInUse() const;
  /// \brief How long the next request would wait for a slot.
  std::chrono::nanoseconds expectedWait() const;

private:
  struct waiter;

  std::optional<config::target> tryTake(const slot_request &Request,
                                        bool UseExcluded);
  void serveWaiting();
  std::size_t bound() const;

  mutable std::mutex Mutex;
  steering::target_chooser Chooser;
  std::map<std::uint64_t, waiter *> Waiters;
  std::size_t TargetCount = 0;
  std::size_t SlotCount = 0;
  std::chrono::nanoseconds MeanLatency{0};
};

} // namespace skylarkdyke::callers::detail

#endif
