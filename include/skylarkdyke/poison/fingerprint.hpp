#ifndef SKYLARKDYKE_POISON_FINGERPRINT_HPP
#define SKYLARKDYKE_POISON_FINGERPRINT_HPP

#include "skylarkdyke/base/names.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace skylarkdyke::poison {

/// \brief Hash of a list of fields (XXH3). Lists whose concatenated fields are
/// equal differ if the fields do.
std::uint64_t fingerprintOf(std::initializer_list<std::string_view> Fields);

/// \brief Hash of a request to a service. It is the same for all repetitions of
/// a request, independent of their idempotency keys.
std::uint64_t fingerprintOf(const base::service_name &Service,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body);

/// \brief Fingerprints that all repetitions of a request have in common.
struct request_identity {
  /// Of this request of one caller.
  std::uint64_t OfCaller = 0;
  /// Of this request, whoever sends it.
  std::uint64_t OfAnyCaller = 0;
};

/// \brief Formats a fingerprint as 16 hexadecimal digits.
std::string toString(std::uint64_t Fingerprint);

} // namespace skylarkdyke::poison

#endif
