#include "operators/detail/problem.hpp"

#include "skylarkdyke/http/problem.hpp"

#include <array>

namespace skylarkdyke::operators {

using nlohmann::json;

using code_text = http::problem_text<problem_code>;

static constexpr std::array Texts = {
    code_text{problem_code::NotAuthenticated, 401, "Name or token is wrong"},
    code_text{problem_code::TooManyAttempts, 429, "Too many failed attempts"},
    code_text{problem_code::NoOperators, 403, "No operator is configured"},
    code_text{problem_code::NoSuchResource, 404, "No such resource"},
    code_text{problem_code::MethodNotAllowed, 405, "Method not allowed"},
    code_text{problem_code::MediaTypeInvalid, 415, "Unsupported media type"},
    code_text{problem_code::BodyInvalid, 400, "The request body is invalid"},
    code_text{problem_code::BodyTooLarge, 413, "The request body is too large"},
    code_text{problem_code::NoConfiguration, 404,
              "No configuration is in force"},
    code_text{problem_code::VersionRequired, 428, "If-Match is required"},
    code_text{problem_code::VersionInvalid, 400, "If-Match is invalid"},
    code_text{problem_code::VersionConflict, 412, "Another change came first"},
    code_text{problem_code::DocumentRefused, 422,
              "The configuration is not valid"},
    code_text{problem_code::StoreUnavailable, 503,
              "Changes cannot be stored now"},
    code_text{problem_code::NotBlocked, 404, "The request is not blocked"},
    code_text{problem_code::SeatChanged, 409, "The seat has another holder"},
    code_text{problem_code::FormExpired, 403, "The form has expired"},
    code_text{problem_code::NotPreviewed, 409, "The change was not previewed"},
};

static const code_text &textOf(problem_code Code) {
  return http::findProblem(Texts, Code);
}

const char *titleOf(problem_code Code) { return textOf(Code).Title; }

int statusOf(problem_code Code) { return textOf(Code).Status; }

namespace detail {

http::response jsonResponse(int Status, const json &Body) {
  http::response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "application/json";
  Response.Headers["Cache-Control"] = "no-store";
  Response.Body = Body.dump(1, ' ', false, json::error_handler_t::replace);
  Response.Body += '\n';
  return Response;
}

json problemBody(problem_code Code, const std::string &Detail) {
  return http::problemDetails(textOf(Code), number(Code), Detail);
}

http::response problem(problem_code Code, const std::string &Detail,
                       const json &Extra) {
  json Body = problemBody(Code, Detail);
  Body.update(Extra);
  http::response Response = jsonResponse(statusOf(Code), Body);
  Response.Headers["Content-Type"] = "application/problem+json";
  return Response;
}

} // namespace detail

} // namespace skylarkdyke::operators
