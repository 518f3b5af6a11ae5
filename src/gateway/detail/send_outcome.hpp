#ifndef SKYLARKDYKE_GATEWAY_DETAIL_SEND_OUTCOME_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_SEND_OUTCOME_HPP

#include "skylarkdyke/gateway/gateway.hpp"
#include "skylarkdyke/net/http_channel.hpp"
#include "skylarkdyke/placement/target_book.hpp"

#include <string>
#include <variant>

namespace skylarkdyke::gateway::detail {

/// \brief The target's whole answer; it is final unless it is a failure that
/// may be tried elsewhere.
struct answered {
  net::http_response Response;
};
/// \brief The target has not run the request and never will.
struct surely_not_run {
  placement::send_result Result;
  std::string Reason;
};
/// \brief The target may have run the request; there is no usable answer.
struct unknown_outcome {
  placement::send_result Result;
  std::string Reason;
};

/// \brief What one send of a request came to.
using send_outcome = std::variant<answered, surely_not_run, unknown_outcome>;

/// \brief Reads the outcome of a call.
send_outcome outcomeOf(net::call_result Result, const header_names &Headers);

/// \brief Whether an answer is a failure of the target itself.
bool isTargetFailure(const net::http_response &Response);

/// \brief The request as it goes to a target.
/// \param Target the only target that may run it
/// \param TimeLeft how long the target may work
net::http_request toTargetRequest(const net::http_request &Request,
                                  const header_names &Headers,
                                  const base::target_id &Target,
                                  std::chrono::milliseconds TimeLeft);

/// \brief Removes the headers that concern only one connection.
void removeHopByHop(boost::beast::http::fields &Fields);

} // namespace skylarkdyke::gateway::detail

#endif
