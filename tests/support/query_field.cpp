#include "support/query_field.hpp"

#include <algorithm>
#include <cctype>

namespace test_support {

static bool isEscape(const std::string &Text, std::size_t At) {
  return Text[At] == '%' && At + 2 < Text.size() &&
         std::isxdigit(static_cast<unsigned char>(Text[At + 1])) != 0 &&
         std::isxdigit(static_cast<unsigned char>(Text[At + 2])) != 0;
}

static std::string decodeForm(const std::string &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (isEscape(Text, At)) {
      Decoded +=
          static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At] == '+' ? ' ' : Text[At];
    }
  }
  return Decoded;
}

std::string queryField(const std::string &Target, const std::string &Name) {
  const std::string Query =
      Target.substr(0, Target.find('#')).substr(Target.find('?') + 1);
  for (std::size_t From = 0; From < Query.size();) {
    const std::size_t End = std::min(Query.find('&', From), Query.size());
    const std::string Field = Query.substr(From, End - From);
    if (Field.compare(0, Name.size() + 1, Name + "=") == 0)
      return decodeForm(Field.substr(Name.size() + 1));
    From = End + 1;
  }
  return {};
}

} // namespace test_support
