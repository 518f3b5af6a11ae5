#include "skylarkdyke/poison/fingerprint.hpp"

#include <array>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace skylarkdyke::poison {

std::uint64_t fingerprintOf(std::initializer_list<std::string_view> Fields) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> State(
      XXH3_createState(), XXH3_freeState);
  XXH3_64bits_reset(State.get());
  for (const std::string_view Field : Fields) {
    const std::uint64_t Size = Field.size();
    XXH3_64bits_update(State.get(), &Size, sizeof Size);
    XXH3_64bits_update(State.get(), Field.data(), Field.size());
  }
  return XXH3_64bits_digest(State.get());
}

std::uint64_t fingerprintOf(const base::service_name &Service,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body) {
  return fingerprintOf({Service.str(), Method, Path, Body});
}

std::string toString(std::uint64_t Fingerprint) {
  std::array<char, 17> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%016llx",
                static_cast<unsigned long long>(Fingerprint));
  return Digits.data();
}

} // namespace skylarkdyke::poison
