#ifndef SKYLARKDYKE_TESTS_SUPPORT_JOINED_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_JOINED_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace test_support {

/// \brief The texts one behind the other.
inline std::string joined(std::initializer_list<std::string_view> Texts) {
  std::string All;
  for (const std::string_view Text : Texts)
    All += Text;
  return All;
}

} // namespace test_support

#endif
