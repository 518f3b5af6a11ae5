#ifndef SKYLARKDYKE_CALLERS_DETAIL_RELAY_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_RELAY_HPP

#include "callers/detail/request_context.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"
#include "skylarkdyke/targets/connection_pool.hpp"

namespace skylarkdyke::callers::detail {

/// \brief Reason why a relayed request got no answer from the other entry.
enum class relay_fault {
  /// The entry is unreachable or refused the relayed request; this attempt did
  /// not run the request.
  NotAccepted,
  /// The share of a link cap is exhausted; nothing was sent.
  CapRefused,
  /// After sending, the connection was lost or the answer was unusable; the
  /// request may have been run.
  AnswerLost,
  DeadlinePassed,
  CallerGone,
};

/// \brief Relays requests of callers to other entries, without retries.
/// Thread-safe.
class relay {
public:
  relay(const dependencies &Dependencies, counters &Counters);

  /// \brief Sends a request with the Relayed-By header and reads the complete
  /// answer. Blocks until shortly after the request's deadline at the latest.
  /// \param From this entry
  /// \param To entry that receives the request
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

/// \brief Demands on the link caps for a request to another region and for its
/// largest possible answer; none within a region.
std::vector<caps::demand> linkDemands(const base::region_name &From,
                                      const base::region_name &To,
                                      std::size_t RequestBytes,
                                      std::size_t MaxAnswerBytes);

/// \brief Refunds the units that were reserved for an answer but not used.
/// \param Taken demands that were taken for the request and its answer
/// \param AnswerFrom region that sent the answer
/// \param AnswerBytes size of the answer on the wire
/// \param TakenAt instant at which the demands were taken
void refundAnswerBytes(const dependencies &Dependencies,
                       const std::vector<caps::demand> &Taken,
                       const base::region_name &AnswerFrom,
                       std::size_t AnswerBytes, base::boot_time TakenAt);

} // namespace skylarkdyke::callers::detail

#endif
