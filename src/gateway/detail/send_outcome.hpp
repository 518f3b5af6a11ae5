#ifndef SKYLARKDYKE_GATEWAY_DETAIL_SEND_OUTCOME_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_SEND_OUTCOME_HPP

#include "skylarkdyke/gateway/gateway.hpp"
#include "skylarkdyke/net/http_channel.hpp"
#include "skylarkdyke/placement/target_registry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace skylarkdyke::gateway::detail {

/// \brief A complete response of the target. It is final unless it is an
/// error that may be retried on another target.
struct response_received {
  net::http_response Response;
};
/// \brief The target did not execute the request and will not do so.
struct not_executed {
  placement::send_result Result;
  std::string Reason;
};
/// \brief The target may have executed the request, but there is no usable
/// response.
struct unknown_outcome {
  placement::send_result Result;
  std::string Reason;
};

/// \brief Outcome of one attempt to send a request.
using send_outcome =
    std::variant<response_received, not_executed, unknown_outcome>;

/// \brief Classifies the result of a call to a target.
send_outcome classifyResult(net::call_result Result,
                            const header_names &Headers);

/// \brief Returns whether a response belongs to a request.
///
/// A target repeats the id of the request. A response without an id is accepted
/// only as the first one on its connection: on a connection that was used
/// before, it may be a late copy of an earlier response.
bool belongsToRequest(const net::http_response_head &Response,
                      const header_names &Headers, const std::string &RequestId,
                      bool IsFirstOnConnection);

/// \brief Returns whether a response reports an error of the target, that is
/// a status of 500 or above.
bool isTargetError(const net::http_response_head &Response);

/// \brief Returns whether a response can be sent on before it is complete: it
/// is final whatever its body is, and worth it for its size.
/// \param CallerVersion HTTP version of the caller, 11 for HTTP/1.1
bool mayBeStreamed(const net::http_response_head &Response,
                   const header_names &Headers, unsigned CallerVersion);

/// \brief Returns the stated length of the body.
std::optional<std::uint64_t>
bodyLength(const net::http_response_head &Response);

/// \brief Creates the request that is sent to a target, without its body,
/// whose length it states.
/// \param Target the only target that may execute the request
/// \param TimeLeft time within which the target must respond
net::http_request toTargetRequest(const net::http_request &Request,
                                  const header_names &Headers,
                                  const base::target_id &Target,
                                  std::chrono::milliseconds TimeLeft);

/// \brief Sets the time within which a target must respond.
void setTimeLeft(net::http_request &Request, const header_names &Headers,
                 std::chrono::milliseconds TimeLeft);

/// \brief Removes the hop-by-hop headers, which concern only one connection.
void removeHopByHopHeaders(boost::beast::http::fields &Fields);

} // namespace skylarkdyke::gateway::detail

#endif
