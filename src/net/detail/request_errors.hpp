#ifndef SKYLARKDYKE_NET_DETAIL_REQUEST_ERRORS_HPP
#define SKYLARKDYKE_NET_DETAIL_REQUEST_ERRORS_HPP

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

namespace skylarkdyke::net::detail {

/// \brief Returns the status for a request that could not be read.
/// \return 400 for a message that is no HTTP, 413 and 431 for one beyond a
/// limit, 503 for a failure of this process; nothing if the connection ended
/// or failed, so that nobody reads a response
std::optional<unsigned> statusOf(const boost::system::error_code &Failure);

/// \brief Checks what the parser lets pass although another program may see
/// other requests in the same bytes.
/// \return why the request must be refused; null if it need not
const char *findAmbiguity(const boost::beast::http::request_header<> &Header);

} // namespace skylarkdyke::net::detail

#endif
