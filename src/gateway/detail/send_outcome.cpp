#include "gateway/detail/send_outcome.hpp"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using placement::send_result;

static constexpr std::array<bhttp::field, 9> HopByHop = {
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

void removeHopByHop(bhttp::fields &Fields) {
  std::vector<std::string> Named;
  for (const auto &Token : bhttp::token_list(Fields[bhttp::field::connection]))
    Named.emplace_back(Token);
  for (const std::string &Name : Named)
    Fields.erase(Name);
  for (const bhttp::field Field : HopByHop)
    Fields.erase(Field);
}

bool isTargetFailure(const net::http_response &Response) {
  return Response.result_int() >= 500;
}

static send_outcome outcomeOfResponse(net::http_response Response,
                                      const header_names &Headers) {
  const unsigned Status = Response.result_int();
  if (Status == 421)
    return surely_not_run{send_result::WrongTarget, "wrong_target"};
  if (Response.count(Headers.NotRun) != 0)
    return surely_not_run{send_result::Refused,
                          "refused_" + std::to_string(Status)};
  const bool Success = Status >= 200 && Status < 300;
  if (Success && Response.count(Headers.Signature) == 0)
    return unknown_outcome{send_result::Broken, "unsigned_answer"};
  // Callers take bodies without any encoding, so this body is not the target's.
  if (Response.count(bhttp::field::content_encoding) != 0)
    return unknown_outcome{send_result::Broken, "encoded_answer"};
  return answered{std::move(Response)};
}

send_outcome outcomeOf(net::call_result Result, const header_names &Headers) {
  if (Result)
    return outcomeOfResponse(std::move(Result.value()), Headers);
  const net::channel_error &Error = Result.error();
  const std::string Reason = net::toString(Error.Fault);
  if (Error.Fault == net::channel_fault::Cancelled)
    return unknown_outcome{send_result::Cancelled, Reason};
  if (Error.NothingSent)
    return surely_not_run{Error.Fault == net::channel_fault::DeadlinePassed
                              ? send_result::TimedOut
                              : send_result::Unreachable,
                          Reason};
  return unknown_outcome{Error.Fault == net::channel_fault::DeadlinePassed
                             ? send_result::TimedOut
                             : send_result::Broken,
                         Reason};
}

net::http_request toTargetRequest(const net::http_request &Request,
                                  const header_names &Headers,
                                  const base::target_id &Target,
                                  std::chrono::milliseconds TimeLeft) {
  net::http_request Sent = Request;
  Sent.version(11);
  removeHopByHop(Sent);
  Sent.erase(bhttp::field::expect);
  Sent.set(Headers.ExpectedTarget, Target.str());
  Sent.set(Headers.Deadline, std::to_string(TimeLeft.count()));
  Sent.prepare_payload();
  return Sent;
}

} // namespace skylarkdyke::gateway::detail
