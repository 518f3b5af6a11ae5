#ifndef SKYLARKDYKE_OPERATORS_DETAIL_PROBLEM_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_PROBLEM_HPP

#include "skylarkdyke/http/message.hpp"
#include "skylarkdyke/operators/problem_code.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace skylarkdyke::operators::detail {

/// \brief A response with a JSON body that no cache keeps.
http::response jsonResponse(int Status, const nlohmann::json &Body);

/// \brief Problem details (RFC 9457) as JSON members.
/// \param Detail what happened in this case and what to do
nlohmann::json problemBody(problem_code Code, const std::string &Detail);

/// \brief A response with problem details.
/// \param Extra members besides those of every problem
http::response problem(problem_code Code, const std::string &Detail,
                       const nlohmann::json &Extra = nlohmann::json::object());

} // namespace skylarkdyke::operators::detail

#endif
