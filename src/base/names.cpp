#include "skylarkdyke/base/names.hpp"

#include <array>
#include <cstdio>
#include <random>

namespace skylarkdyke::base {

incarnation_id generateIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> Distribution(1);
  return incarnation_id{Distribution(Source)};
}

std::string toString(incarnation_id Incarnation) {
  std::array<char, 17> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%016llx",
                static_cast<unsigned long long>(Incarnation.Value));
  return {Digits.data(), 16};
}

} // namespace skylarkdyke::base
