#ifndef SKYLARKDYKE_CALLERS_DETAIL_PROBLEM_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_PROBLEM_HPP

#include "skylarkdyke/callers/problem_code.hpp"
#include "skylarkdyke/http/message.hpp"
#include "skylarkdyke/once/ledger.hpp"

#include <string>

namespace skylarkdyke::callers::detail {

/// \brief Response to a caller, and the outcome of its request.
struct answer {
  once::outcome Outcome;
  http::response Response;
};

/// \brief Creates a problem details response (RFC 9457) with the
/// Request-Outcome header. A 503 for a request that was not run also gets a
/// Retry-After header.
answer problem(problem_code Code, once::outcome Outcome,
               const std::string &Detail);

/// \brief Returns the response of an answer with the Request-Outcome header.
http::response withOutcome(answer Answer);

} // namespace skylarkdyke::callers::detail

#endif
