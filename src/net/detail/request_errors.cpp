#include "net/detail/request_errors.hpp"

#include <boost/beast/http/error.hpp>

namespace skylarkdyke::net::detail {

namespace bhttp = boost::beast::http;

static unsigned statusOfParserError(bhttp::error Failure) {
  switch (Failure) {
  case bhttp::error::header_limit:
    return 431;
  case bhttp::error::body_limit:
    return 413;
  default:
    return 400;
  }
}

std::optional<unsigned> statusOf(const boost::system::error_code &Failure) {
  if (Failure.category() != make_error_code(bhttp::error{}).category() ||
      Failure == bhttp::error::end_of_stream ||
      Failure == bhttp::error::partial_message)
    return std::nullopt;
  return statusOfParserError(static_cast<bhttp::error>(Failure.value()));
}

} // namespace skylarkdyke::net::detail
