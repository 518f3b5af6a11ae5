#include "callers/detail/problem.hpp"

#include "skylarkdyke/http/problem.hpp"

#include <array>
#include <utility>

namespace skylarkdyke::callers {

using code_text = http::problem_text<problem_code>;

static constexpr std::array Texts = {
    code_text{problem_code::NoSuchResource, 404, "No such resource"},
    code_text{problem_code::NotReady, 503, "The entry is not ready"},
    code_text{problem_code::ServiceMissing, 400, "No service is named"},
    code_text{problem_code::ServiceUnknown, 404, "Unknown service"},
    code_text{problem_code::ClientAddressInvalid, 400,
              "Invalid client address"},
    code_text{problem_code::DeadlineInvalid, 400, "Invalid Request-Deadline"},
    code_text{problem_code::KeyMissing, 400, "Idempotency-Key is required"},
    code_text{problem_code::KeyInvalid, 400, "Invalid Idempotency-Key"},
    code_text{problem_code::KeyRefused, 409, "The key cannot be run"},
    code_text{problem_code::KeyMismatch, 422,
              "The key belongs to another request"},
    code_text{problem_code::KeyStillRunning, 504,
              "The request is still running"},
    code_text{problem_code::KeyFinished, 409,
              "The request has ended without an answer"},
    code_text{problem_code::OwnerSealed, 503,
              "The key's entry is lost and had not run the request"},
    code_text{problem_code::OwnerUnknown, 504,
              "The key's entry cannot be reached"},
    code_text{problem_code::WitnessUnavailable, 503,
              "The intent could not be recorded"},
    code_text{problem_code::IncarnationSealed, 503,
              "The entry has lost the right to run the key"},
    code_text{problem_code::RequestBlocked, 422,
              "The request crashes targets and is blocked"},
    code_text{problem_code::QueueFull, 503, "Too many requests are waiting"},
    code_text{problem_code::DeadlinePassed, 504, "The deadline has passed"},
    code_text{problem_code::CapExhausted, 503, "A traffic cap is reached"},
    code_text{problem_code::ShiftLimited, 503,
              "Traffic may not move to another region this fast"},
    code_text{problem_code::NoTarget, 503, "No target takes new work"},
    code_text{problem_code::TargetFailed, 502, "A target failed"},
    code_text{problem_code::TargetShed, 503, "Targets shed the request"},
    code_text{problem_code::AnswerTooLarge, 502,
              "The target's answer is too large"},
    code_text{problem_code::CallerGone, 408, "The caller has disconnected"},
    code_text{problem_code::RelayFailed, 502, "Another entry failed"},
    code_text{problem_code::Misdirected, 421,
              "The request was relayed to the wrong entry"},
    code_text{problem_code::MethodUnknown, 501, "Unknown method"},
    code_text{problem_code::InternalError, 500, "Internal error"},
};

static const code_text &textOf(problem_code Code) {
  return http::findProblem(Texts, Code);
}

const char *titleOf(problem_code Code) { return textOf(Code).Title; }

int statusOf(problem_code Code) { return textOf(Code).Status; }

namespace detail {

/// Shortest delay that Retry-After can express. The window of the caps and the
/// time until a shedding target is used again are of this order.
static constexpr const char *RetryAfterSeconds = "1";

answer problem(problem_code Code, once::outcome Outcome,
               const std::string &Detail) {
  http::response Response;
  Response.Status = statusOf(Code);
  Response.Headers["Content-Type"] = "application/problem+json";
  Response.Headers["Request-Outcome"] = once::toString(Outcome);
  if (Response.Status == 503 && Outcome == once::outcome::NotRun)
    Response.Headers["Retry-After"] = RetryAfterSeconds;
  Response.Body =
      http::problemDetails(textOf(Code), number(Code), Detail)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return {Outcome, std::move(Response)};
}

http::response withOutcome(answer Answer) {
  Answer.Response.Headers["Request-Outcome"] = once::toString(Answer.Outcome);
  return std::move(Answer.Response);
}

} // namespace detail

} // namespace skylarkdyke::callers
