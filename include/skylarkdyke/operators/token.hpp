#ifndef SKYLARKDYKE_OPERATORS_TOKEN_HPP
#define SKYLARKDYKE_OPERATORS_TOKEN_HPP

#include <string>
#include <string_view>

namespace skylarkdyke::operators {

/// \brief SHA-256 of a token as 64 lower-case hexadecimal digits, as the
/// settings hold it.
std::string hashToken(std::string_view Token);

} // namespace skylarkdyke::operators

#endif
