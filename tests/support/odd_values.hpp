#ifndef SKYLARKDYKE_TESTS_SUPPORT_ODD_VALUES_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_ODD_VALUES_HPP

#include <cstddef>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>

namespace test_support {

/// \brief JSON text of arrays or objects that are nested this deep.
std::string nestedArrays(std::size_t Depth);
std::string nestedObjects(std::size_t Depth);

/// \brief CBOR of arrays that are nested this deep.
std::string nestedCborArrays(std::size_t Depth);

/// \brief Generates values of all types and number sizes, nested up to a depth.
rc::Gen<nlohmann::json> anyValue(int Depth = 3);

/// \brief Generates copies of a document in which one value at any depth is
/// replaced by another one, or removed.
rc::Gen<nlohmann::json> spoiledCopyOf(const nlohmann::json &Document);

} // namespace test_support

#endif
