#ifndef SKYLARKDYKE_CALLERS_DETAIL_CRASH_GUARD_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_CRASH_GUARD_HPP

#include "callers/detail/request_context.hpp"
#include "skylarkdyke/base/bounded_ring.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"

#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief Detects crashes of targets and blocks requests that cause them.
/// Thread-safe; one thread of its own watches targets whose connection was
/// lost.
class crash_guard {
public:
  crash_guard(const dependencies &Dependencies, counters &Counters);
  ~crash_guard();
  crash_guard(const crash_guard &) = delete;
  crash_guard &operator=(const crash_guard &) = delete;

  /// \brief A connection closed without an answer. It is a crash if the target
  /// refuses connections now or within the next second. Looks once before it
  /// returns, so that a retry already finds a request blocked.
  void onConnectionLost(const request_context &Context,
                        const config::target &Target);

  /// \brief A request was completed by a target.
  void onSuccess(const request_context &Context);

  bool isBlocked(const request_context &Context) const;

  void add(const poison::crash_report &Report);
  std::vector<poison::blocked_request> blocked() const;
  bool release(std::uint64_t Fingerprint);

private:
  struct suspicion {
    poison::crash_report Report;
    base::endpoint Address;
    base::boot_time Until;
  };

  void watch();
  void confirm(const poison::crash_report &Report);

  const dependencies &Dependencies;
  counters &Counters;
  mutable std::mutex Mutex;
  poison::crash_register Register;
  std::mt19937_64 Random;
  base::bounded_ring<suspicion> Suspicions;
  std::thread Watching;
};

} // namespace skylarkdyke::callers::detail

#endif
