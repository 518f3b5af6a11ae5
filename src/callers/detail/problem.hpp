#ifndef SKYLARKDYKE_CALLERS_DETAIL_PROBLEM_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_PROBLEM_HPP

#include "skylarkdyke/callers/problem_code.hpp"
#include "skylarkdyke/http/message.hpp"
#include "skylarkdyke/once/ledger.hpp"

#include <string>

namespace skylarkdyke::callers::detail {

/// \brief An answer to a caller with what it says about the request.
struct answer {
  once::outcome Outcome;
  http::response Response;
};

/// \brief Makes problem details (RFC 9457) with the Request-Outcome header.
/// Refusals that a caller may send again soon get a Retry-After header.
answer problem(problem_code Code, once::outcome Outcome,
               const std::string &Detail);

/// \brief Puts an outcome into the Request-Outcome header.
http::response withOutcome(answer Answer);

} // namespace skylarkdyke::callers::detail

#endif
