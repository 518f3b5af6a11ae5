#ifndef SKYLARKDYKE_TESTS_SUPPORT_BACKGROUND_LOAD_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_BACKGROUND_LOAD_HPP

#include "support/cluster.hpp"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace test_support {

/// \brief One request and all that its caller was told about it.
struct told {
  std::string Key;
  std::string Path;
  bool IsOrder = false;
  /// Outcomes in the order of the tries with the same key.
  std::vector<std::string> Outcomes;
  /// Body of the last answer that was not completed.
  std::string Refusal;
  /// True if an answer with outcome "completed" belonged to another request.
  bool WrongAnswer = false;
  skylarkdyke::base::wall_time SentAt;
};

/// \brief Load for system tests.
struct load_shape {
  unsigned Threads = 8;
  /// Pause of each thread between its requests.
  std::chrono::milliseconds Pause{5};
  /// Entries to ask; empty: all.
  std::vector<std::size_t> Entries;
  std::vector<std::string> Services;
  /// Part of the requests that are orders (POST), from 0 to 1.
  double OrderShare = 0;
  /// Tries with the same key, each at another entry, while the outcome is
  /// "unknown" or none.
  unsigned Tries = 1;
  std::uint64_t Seed = 1;
};

/// \brief Sends requests to a cluster from threads of its own until stop().
class background_load {
public:
  background_load(const cluster &Cluster, load_shape Shape);
  ~background_load();
  background_load(const background_load &) = delete;
  background_load &operator=(const background_load &) = delete;

  /// \brief Ends the load and returns all that callers were told.
  std::vector<told> stop();

private:
  void run(unsigned Thread);
  told order(std::size_t Entry, const std::string &Service,
             const std::string &Path, std::mt19937_64 &Random) const;
  told read(std::size_t Entry, const std::string &Service,
            const std::string &Path) const;

  const cluster &Cluster;
  load_shape Shape;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<told> Told;
  std::vector<std::thread> Threads;
};

/// \brief Violations of at-most-once, honest outcomes and whole answers, judged
/// from the targets' journals and what callers were told. Empty if all hold.
std::vector<std::string> findViolations(const cluster &Cluster,
                                        const std::vector<told> &Told);

/// \brief Describes the first request whose last outcome was not "completed";
/// empty if there is none.
std::string firstNotCompleted(const std::vector<told> &Told);

/// \brief Largest number of runs that began within any window of the given
/// length.
std::size_t largestWindow(std::vector<skylarkdyke::base::wall_time> Starts,
                          std::chrono::milliseconds Window);

} // namespace test_support

#endif
