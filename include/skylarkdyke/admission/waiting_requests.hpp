#ifndef SKYLARKDYKE_ADMISSION_WAITING_REQUESTS_HPP
#define SKYLARKDYKE_ADMISSION_WAITING_REQUESTS_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>

namespace skylarkdyke::admission {

/// \brief Place of a request among those that wait for the same target: by
/// priority, then by the time by which they should be answered.
struct waiting_place {
  /// 0 is the highest priority.
  unsigned Priority = 0;
  /// Latest completion time that meets the latency objective.
  base::boot_time ObjectiveDeadline;
  /// Distinguishes requests that are alike otherwise; set by
  /// waiting_requests::add().
  std::uint64_t Sequence = 0;

  friend bool operator<(const waiting_place &Left, const waiting_place &Right) {
    return std::tie(Left.Priority, Left.ObjectiveDeadline, Left.Sequence) <
           std::tie(Right.Priority, Right.ObjectiveDeadline, Right.Sequence);
  }
};

/// \brief The requests that wait at this entry for a free slot of a target.
///
/// Work of low priority that has joined the queue of a target cannot be
/// overtaken there. It therefore waits at the entry, where work of higher
/// priority passes it, while it can still be withdrawn and sent elsewhere.
///
/// Reads no clock. Not thread-safe.
class waiting_requests {
public:
  using wake_callback = std::function<void()>;

  /// \brief Adds a request.
  /// \param OnWake called once if the request may try again; it is no longer
  /// waiting then
  /// \return its place, by which it is removed
  waiting_place add(const base::target_id &Target, waiting_place Place,
                    wake_callback OnWake);

  /// \brief Removes a request; nothing happens if it is not waiting.
  void remove(const base::target_id &Target, const waiting_place &Place);

  /// \return number of requests that wait for a target ahead of a place
  std::size_t countAhead(const base::target_id &Target,
                         const waiting_place &Place) const;

  /// \return whether requests wait for a target
  bool hasWaiting(const base::target_id &Target) const {
    return ByTarget.count(Target) != 0;
  }

  /// \brief Wakes the first request that waits for a target, if there is one.
  void wakeFirst(const base::target_id &Target);

  /// \return number of waiting requests
  std::size_t size() const { return Size; }

private:
  /// Targets without waiting requests are not listed.
  std::unordered_map<base::target_id, std::map<waiting_place, wake_callback>>
      ByTarget;
  std::uint64_t NextSequence = 0;
  std::size_t Size = 0;
};

} // namespace skylarkdyke::admission

#endif
