#ifndef SKYLARKDYKE_TESTS_SUPPORT_PACED_CALLERS_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_PACED_CALLERS_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "support/steady_callers.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace test_support {

/// \brief One request of a paced caller and its result.
struct paced_request {
  /// Index of the entry that was asked.
  std::size_t Entry = 0;
  skylarkdyke::base::boot_time SentAt;
  skylarkdyke::base::boot_time EndedAt;
  caller_result Result;
};

/// \brief One caller for each of several entries. Each sends safe requests at a
/// mean interval, whatever becomes of them, on a kept connection. The id of a
/// request begins with the index of its entry and a hyphen.
class paced_callers {
public:
  /// \param Limit deadline that the requests state
  paced_callers(std::vector<skylarkdyke::base::endpoint> Fronts,
                std::chrono::milliseconds MeanInterval,
                std::chrono::milliseconds Limit, std::uint64_t Seed);
  ~paced_callers();
  paced_callers(const paced_callers &) = delete;
  paced_callers &operator=(const paced_callers &) = delete;

  /// \brief Sends nothing more until a time. All callers return at that time.
  void pauseUntil(skylarkdyke::base::boot_time Time);

  /// \brief Requests that were sent at or after a time and have ended.
  std::vector<paced_request>
  requestsSince(skylarkdyke::base::boot_time From) const;

private:
  void run(std::size_t Entry, std::chrono::milliseconds MeanInterval,
           std::uint64_t Seed);
  void awaitEndOfPause() const;
  std::string requestBytes(std::size_t Entry, unsigned Number) const;

  std::vector<skylarkdyke::base::endpoint> Fronts;
  std::string LimitMs;
  std::atomic<bool> Stopped{false};
  mutable std::mutex Mutex;
  std::vector<paced_request> Requests;
  skylarkdyke::base::boot_time PausedUntil;
  std::vector<std::thread> Threads;
};

} // namespace test_support

#endif
