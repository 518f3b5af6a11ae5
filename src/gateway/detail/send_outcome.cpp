#include "gateway/detail/send_outcome.hpp"

#include "gateway/detail/target_signals.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <cstdlib>
#include <vector>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using placement::send_result;

/// A body whose stated length is at most this is collected, so that another
/// target can be tried if it ends early.
static constexpr std::uint64_t MaxCollectedBytes = 16384;

static constexpr std::array<bhttp::field, 9> HopByHopHeaders = {
    bhttp::field::connection,
    bhttp::field::keep_alive,
    bhttp::field::proxy_connection,
    bhttp::field::te,
    bhttp::field::trailer,
    bhttp::field::transfer_encoding,
    bhttp::field::upgrade,
    bhttp::field::proxy_authenticate,
    bhttp::field::proxy_authorization,
};

void removeHopByHopHeaders(bhttp::fields &Fields) {
  std::vector<std::string> ConnectionTokens;
  for (const auto &Token : bhttp::token_list(Fields[bhttp::field::connection]))
    ConnectionTokens.emplace_back(Token);
  for (const std::string &Name : ConnectionTokens)
    Fields.erase(Name);
  for (const bhttp::field Field : HopByHopHeaders)
    Fields.erase(Field);
}

bool belongsToRequest(const net::http_response_head &Response,
                      const header_names &Headers, const std::string &RequestId,
                      bool IsFirstOnConnection) {
  const auto Id = Response[Headers.RequestId];
  return Id.empty() ? IsFirstOnConnection : Id == RequestId;
}

bool isTargetError(const net::http_response_head &Response) {
  return Response.result_int() >= 500;
}

std::optional<std::uint64_t>
bodyLength(const net::http_response_head &Response) {
  const std::string Text(Response[bhttp::field::content_length]);
  if (Text.empty())
    return std::nullopt;
  return std::strtoull(Text.c_str(), nullptr, 10);
}

/// Returns why a response is not the one of the target to the request, or
/// nothing if it is.
static std::optional<send_outcome>
findRejection(const net::http_response_head &Response,
              const header_names &Headers) {
  const unsigned Status = Response.result_int();
  if (Status == 421)
    return not_executed{send_result::WrongTarget, "wrong_target"};
  if (Response.count(Headers.NotExecuted) != 0)
    return not_executed{readTargetSignals(Response, Headers).Pause
                            ? send_result::PauseRequested
                            : send_result::Refused,
                        "refused_" + std::to_string(Status)};
  const bool Success = Status >= 200 && Status < 300;
  if (Success && Response.count(Headers.Signature) == 0)
    return unknown_outcome{send_result::Broken, "unsigned_answer"};
  // Callers accept no content encoding, so an encoded body does not come from
  // the target.
  if (Response.count(bhttp::field::content_encoding) != 0)
    return unknown_outcome{send_result::Broken, "encoded_answer"};
  return std::nullopt;
}

bool mayBeStreamed(const net::http_response_head &Response,
                   const header_names &Headers, unsigned CallerVersion) {
  if (isTargetError(Response) || findRejection(Response, Headers))
    return false;
  const auto Length = bodyLength(Response);
  return Length ? *Length > MaxCollectedBytes : CallerVersion >= 11;
}

static send_outcome classifyResponse(net::http_response Response,
                                     const header_names &Headers) {
  if (auto Rejection = findRejection(Response, Headers))
    return std::move(*Rejection);
  return response_received{std::move(Response)};
}

send_outcome classifyResult(net::call_result Result,
                            const header_names &Headers) {
  if (Result)
    return classifyResponse(std::move(Result.value()), Headers);
  const net::channel_error &Error = Result.error();
  const std::string Reason = net::toString(Error.Fault);
  if (Error.Fault == net::channel_fault::Cancelled)
    return unknown_outcome{send_result::Cancelled, Reason};
  if (Error.Fault == net::channel_fault::Withdrawn)
    return not_executed{send_result::Withdrawn, Reason};
  if (Error.NothingSent)
    return not_executed{Error.Fault == net::channel_fault::DeadlinePassed
                            ? send_result::TimedOut
                            : send_result::Unreachable,
                        Reason};
  return unknown_outcome{Error.Fault == net::channel_fault::DeadlinePassed
                             ? send_result::TimedOut
                             : send_result::Broken,
                         Reason};
}

void setTimeLeft(net::http_request &Request, const header_names &Headers,
                 std::chrono::milliseconds TimeLeft) {
  Request.set(Headers.Deadline,
              std::to_string(std::max(TimeLeft.count(), std::int64_t{0})));
}

/// Returns whether a request without a body states its length.
static bool statesEmptyBody(bhttp::verb Method) {
  return Method == bhttp::verb::options || Method == bhttp::verb::put ||
         Method == bhttp::verb::post;
}

net::http_request toTargetRequest(const net::http_request &Request,
                                  const header_names &Headers,
                                  const base::target_id &Target,
                                  std::chrono::milliseconds TimeLeft) {
  net::http_request TargetRequest(Request.base());
  TargetRequest.version(11);
  removeHopByHopHeaders(TargetRequest);
  TargetRequest.erase(bhttp::field::expect);
  TargetRequest.set(Headers.ExpectedTarget, Target.str());
  setTimeLeft(TargetRequest, Headers, TimeLeft);
  const std::size_t Length = Request.body().size();
  if (Length > 0 || statesEmptyBody(Request.method()))
    TargetRequest.content_length(Length);
  else
    TargetRequest.erase(bhttp::field::content_length);
  return TargetRequest;
}

} // namespace skylarkdyke::gateway::detail
