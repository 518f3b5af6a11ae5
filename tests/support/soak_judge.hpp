#ifndef SKYLARKDYKE_TESTS_SUPPORT_SOAK_JUDGE_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SOAK_JUDGE_HPP

#include "support/background_load.hpp"
#include "support/trace.hpp"

namespace test_support {

/// \brief Violations of at-most-once, honest outcomes and whole answers, each
/// with the time of its request. Beyond findViolations(), reads that were told
/// not-run must not have run either.
std::vector<timed_line> judgeRequests(const std::vector<run> &Journal,
                                      const std::vector<told> &Told);

/// \brief Windows with more requests into a region than its cap, with the time
/// of the request that exceeds it.
std::vector<timed_line> judgeCaps(const cluster &Cluster,
                                  const std::vector<run> &Journal,
                                  std::chrono::milliseconds Window);

/// \brief Describes the first violation, the number of the others and the
/// trace, in which a star marks what happened shortly before the first one.
std::string explain(std::vector<timed_line> Violations,
                    const std::vector<timed_line> &Trace,
                    skylarkdyke::base::wall_time Start);

} // namespace test_support

#endif
