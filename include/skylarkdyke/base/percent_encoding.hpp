#ifndef SKYLARKDYKE_BASE_PERCENT_ENCODING_HPP
#define SKYLARKDYKE_BASE_PERCENT_ENCODING_HPP

#include <string>
#include <string_view>

namespace skylarkdyke::base {

/// \brief Returns whether a character stands for itself in the path and in the
/// query of a URI, whoever decodes it: letters, digits and `-._~:@/`.
bool isPlainUriCharacter(char Character);

/// \brief Replaces all bytes that are not plain by their percent-encoding. The
/// result is one line of ASCII.
std::string encodePercent(std::string_view Text);

/// \brief Replaces percent-encoded bytes by these bytes. Invalid escapes are
/// kept as they are.
std::string decodePercent(std::string_view Text);

} // namespace skylarkdyke::base

#endif
