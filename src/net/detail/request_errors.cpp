#include "net/detail/request_errors.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace skylarkdyke::net::detail {

namespace bhttp = boost::beast::http;

/// Without a default, so that the compiler names an error that is missing.
static std::optional<unsigned> statusOfParserError(bhttp::error Failure) {
  switch (Failure) {
  case bhttp::error::end_of_stream:
  case bhttp::error::partial_message:
    return std::nullopt;
  case bhttp::error::header_limit:
    return 431;
  case bhttp::error::body_limit:
    return 413;
  case bhttp::error::bad_line_ending:
  case bhttp::error::bad_method:
  case bhttp::error::bad_target:
  case bhttp::error::bad_version:
  case bhttp::error::bad_field:
  case bhttp::error::bad_value:
  case bhttp::error::bad_content_length:
  case bhttp::error::bad_transfer_encoding:
  case bhttp::error::bad_chunk:
  case bhttp::error::bad_chunk_extension:
  case bhttp::error::bad_obs_fold:
    return 400;
  // These say nothing on the request: they tell of this process's memory, of
  // its use of the parser, or occur with responses only.
  case bhttp::error::need_more:
  case bhttp::error::unexpected_body:
  case bhttp::error::need_buffer:
  case bhttp::error::end_of_chunk:
  case bhttp::error::buffer_overflow:
  case bhttp::error::bad_alloc:
  case bhttp::error::bad_status:
  case bhttp::error::bad_reason:
  case bhttp::error::stale_parser:
  case bhttp::error::short_read:
    return 503;
  }
  return 503;
}

std::optional<unsigned> statusOf(const boost::system::error_code &Failure) {
  if (Failure.category() != make_error_code(bhttp::error{}).category())
    return std::nullopt;
  return statusOfParserError(static_cast<bhttp::error>(Failure.value()));
}

const char *findAmbiguity(const bhttp::request_header<> &Header) {
  if (Header.count(bhttp::field::host) > 1)
    return "more than one Host header";
  // The parser takes a body in any other encoding for the next request.
  const std::size_t Encodings = Header.count(bhttp::field::transfer_encoding);
  if (Encodings > 1 ||
      (Encodings == 1 &&
       !boost::beast::iequals(Header[bhttp::field::transfer_encoding],
                              "chunked")))
    return "unknown Transfer-Encoding";
  return nullptr;
}

} // namespace skylarkdyke::net::detail
