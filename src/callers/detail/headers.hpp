#ifndef SKYLARKDYKE_CALLERS_DETAIL_HEADERS_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_HEADERS_HPP

#include "skylarkdyke/http/message.hpp"

#include <cstddef>

namespace skylarkdyke::callers::detail {

/// \brief Removes the fields that are meant for one connection only (RFC 9110,
/// section 7.6.1), those that Connection names, and Content-Length, which each
/// hop sets anew.
void removeHopByHop(http::header_map &Headers);

/// \brief Upper bound of the bytes of a request on the wire.
std::size_t wireBytes(const http::request &Request);

/// \brief Upper bound of the bytes of a response on the wire.
std::size_t wireBytes(const http::response &Response);

/// Largest response header that the client reads (the default of Boost.Beast).
inline constexpr std::size_t MaxAnswerHeaderBytes = 8192;

} // namespace skylarkdyke::callers::detail

#endif
