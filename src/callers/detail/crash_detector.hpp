#ifndef SKYLARKDYKE_CALLERS_DETAIL_CRASH_DETECTOR_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_CRASH_DETECTOR_HPP

#include "callers/detail/request_context.hpp"
#include "skylarkdyke/base/bounded_queue.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"

#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief Detects target crashes and blocks requests that cause them.
/// Thread-safe. A background thread checks targets whose connection was lost.
class crash_detector {
public:
  crash_detector(const dependencies &Dependencies, counters &Counters);
  ~crash_detector();
  crash_detector(const crash_detector &) = delete;
  crash_detector &operator=(const crash_detector &) = delete;

  /// \brief Handles a connection that closed without an answer. The target has
  /// crashed if it refuses connections now or within the next second. The first
  /// check is made before the function returns, so that a retry already finds
  /// the request blocked.
  void onConnectionLost(const request_context &Context,
                        const config::target &Target);

  /// \brief Resets the crash count of a request that a target has completed.
  void onSuccess(const request_context &Context);

  bool isBlocked(const request_context &Context) const;

  /// \brief Counts a crash that was detected here or reported by another entry.
  void add(const poison::crash_report &Report);
  std::vector<poison::blocked_request> blocked() const;
  /// \brief Unblocks a request.
  /// \return false if the fingerprint is not blocked
  bool release(std::uint64_t Fingerprint);

private:
  /// A lost connection to a target that is not known to have crashed yet.
  struct suspected_crash {
    poison::crash_report Report;
    base::endpoint Address;
    base::boot_time WatchUntil;
  };

  void watch();
  void confirm(const poison::crash_report &Report);

  const dependencies &Dependencies;
  counters &Counters;
  mutable std::mutex Mutex;
  poison::crash_register CrashRegister;
  std::mt19937_64 Random;
  base::bounded_queue<suspected_crash> Suspects;
  std::thread WatchThread;
};

} // namespace skylarkdyke::callers::detail

#endif
