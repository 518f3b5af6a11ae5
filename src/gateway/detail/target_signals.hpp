#ifndef SKYLARKDYKE_GATEWAY_DETAIL_TARGET_SIGNALS_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_TARGET_SIGNALS_HPP

#include "skylarkdyke/gateway/gateway.hpp"
#include "skylarkdyke/placement/placer.hpp"

#include <boost/beast/http/message.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace skylarkdyke::gateway::detail {

struct steering_context;

/// Longest pause that a target may ask for.
constexpr std::chrono::minutes MaxPause{10};

/// \brief What a target states about itself in the head of a response.
struct target_signals {
  /// The target leaves.
  bool Leaving = false;
  /// Time for which the target wants no requests of this entry.
  std::optional<std::chrono::milliseconds> Pause;
  /// Retry-After of a refusal that is not valid or longer than MaxPause.
  std::string UnusualRetryAfter;
};

/// \brief Reads the signals of a target from the head of its response. A
/// response that another target sent (421) has none.
target_signals
readTargetSignals(const boost::beast::http::response_header<> &Head,
                  const header_names &Headers);

/// \brief Records the signals in the head of a response that belongs to a
/// request, and logs those that are new.
/// \param Chosen the target to which the request was sent
void recordTargetSignals(steering_context &Context,
                         const placement::chosen_target &Chosen,
                         const routing::service &Service,
                         const boost::beast::http::response_header<> &Head);

} // namespace skylarkdyke::gateway::detail

#endif
