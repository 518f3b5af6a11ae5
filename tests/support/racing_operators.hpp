#ifndef SKYLARKDYKE_TESTS_SUPPORT_RACING_OPERATORS_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_RACING_OPERATORS_HPP

#include "skylarkdyke/store/config_store.hpp"
#include "support/version_watch.hpp"

namespace test_support {

/// \brief One submission and what its operator was told.
struct submission {
  /// Number that mark() writes into the document.
  std::uint64_t Number = 0;
  std::uint64_t ExpectedVersion = 0;
  std::string Operator;
  skylarkdyke::store::submit_result Result;
  skylarkdyke::base::wall_time SentAt;
};

/// \brief Two operators who edit the same version and submit conflicting
/// documents at the same moment, again and again until stop().
class racing_operators {
public:
  /// \param Seed decides the pauses between the rounds
  racing_operators(const cluster &Cluster, std::uint64_t Seed, trace &Trace);
  ~racing_operators();
  racing_operators(const racing_operators &) = delete;
  racing_operators &operator=(const racing_operators &) = delete;

  std::vector<submission> stop();

private:
  void run(std::uint64_t Seed);
  void race(const skylarkdyke::config::document &Base);

  const cluster &Cluster;
  trace &Trace;
  std::atomic<bool> Stopping{false};
  std::vector<submission> Submissions;
  std::thread Thread;
};

/// \brief Violations of "exactly one is accepted": two accepted ones of a
/// version, a version in force without one, a refused one in force, an accepted
/// one that was lost.
/// \param FinalVersion version in the store after the last submission
std::vector<timed_line>
judgeSubmissions(const std::vector<submission> &Submissions,
                 const version_watch &Watch, std::uint64_t FinalVersion);

} // namespace test_support

#endif
