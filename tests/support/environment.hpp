#ifndef SKYLARKDYKE_TESTS_SUPPORT_ENVIRONMENT_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_ENVIRONMENT_HPP

#include <cstdint>
#include <cstdlib>

namespace test_support {

/// \brief Number in an environment variable, or the default if it is not set.
inline std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace test_support

#endif
