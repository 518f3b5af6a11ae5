#include "skylarkdyke/http/message.hpp"

#include <algorithm>

namespace skylarkdyke::http {

static char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool header_less::operator()(std::string_view Left,
                             std::string_view Right) const {
  return std::lexicographical_compare(
      Left.begin(), Left.end(), Right.begin(), Right.end(),
      [](char A, char B) { return toLower(A) < toLower(B); });
}

std::optional<std::string> findHeader(const header_map &Headers,
                                      std::string_view Name) {
  const auto Found = Headers.find(Name);
  if (Found == Headers.end())
    return std::nullopt;
  return Found->second;
}

} // namespace skylarkdyke::http
