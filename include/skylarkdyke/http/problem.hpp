#ifndef SKYLARKDYKE_HTTP_PROBLEM_HPP
#define SKYLARKDYKE_HTTP_PROBLEM_HPP

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace skylarkdyke::http {

/// \brief Status and title of one numbered problem.
template <typename Code> struct problem_text {
  Code Number;
  int Status;
  const char *Title;
};

/// \brief Finds the text of a code in a table that lists every code.
template <typename Table, typename Code>
const problem_text<Code> &findProblem(const Table &Texts, Code Number) {
  return *std::find_if(Texts.begin(), Texts.end(), [Number](const auto &Text) {
    return Text.Number == Number;
  });
}

/// \brief Problem details (RFC 9457) with the number in "code" and in "type".
template <typename Code>
nlohmann::json problemDetails(const problem_text<Code> &Text, int Number,
                              const std::string &Detail) {
  return {{"type", "urn:skylarkdyke:error:" + std::to_string(Number)},
          {"title", Text.Title},
          {"status", Text.Status},
          {"code", Number},
          {"detail", Detail}};
}

} // namespace skylarkdyke::http

#endif
