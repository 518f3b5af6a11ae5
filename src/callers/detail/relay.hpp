#ifndef SKYLARKDYKE_CALLERS_DETAIL_RELAY_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_RELAY_HPP

#include "callers/detail/request_context.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"
#include "skylarkdyke/targets/connection_pool.hpp"

namespace skylarkdyke::callers::detail {

/// \brief Why a relayed request brought no answer of the other entry.
enum class relay_fault {
  /// The entry cannot be reached, or did not accept the request as relayed;
  /// nothing was run there by this attempt.
  NotTaken,
  /// A link cap leaves no share; nothing was sent.
  CapRefused,
  /// The connection was lost or the answer unusable after sending.
  Lost,
  DeadlinePassed,
  CallerGone,
};

/// \brief Sends requests of callers to other entries, once. Thread-safe.
class relay {
public:
  relay(const dependencies &Dependencies, counters &Counters);

  /// \brief Sends a request with Relayed-By and reads the whole answer.
  /// \return the answer of the other entry with its outcome
  base::result<answer, relay_fault> send(const request_context &Context,
                                         const entries::member &From,
                                         const entries::member &To);

  void closeIdle(base::boot_time Now) { Pool.closeIdle(Now); }

private:
  const dependencies &Dependencies;
  counters &Counters;
  targets::connection_pool Pool;
};

/// \brief Demands on the link caps of a request to another region and its
/// answer; none inside a region.
std::vector<caps::demand> linkDemands(const base::region_name &From,
                                      const base::region_name &To,
                                      std::size_t RequestBytes,
                                      std::size_t MaxAnswerBytes);

/// \brief Returns what an answer of a known size did not use.
void giveBackAnswerBytes(const dependencies &Dependencies,
                         const std::vector<caps::demand> &Taken,
                         const base::region_name &AnswerFrom,
                         std::size_t AnswerBytes, base::boot_time TakenAt);

} // namespace skylarkdyke::callers::detail

#endif
