#ifndef SKYLARKDYKE_CALLERS_DETAIL_HEADERS_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_HEADERS_HPP

#include "skylarkdyke/http/message.hpp"

#include <cstddef>

namespace skylarkdyke::callers::detail {

/// \brief Removes the hop-by-hop fields (RFC 9110, section 7.6.1), the fields
/// that Connection lists, and Content-Length, which each hop sets itself.
void removeHopByHop(http::header_map &Headers);

/// \brief Upper bound of the size of a request on the wire, in bytes.
std::size_t wireBytes(const http::request &Request);

/// \brief Upper bound of the size of a response on the wire, in bytes.
std::size_t wireBytes(const http::response &Response);

} // namespace skylarkdyke::callers::detail

#endif
