#include "net/detail/response_parser.hpp"

#include "net/detail/response_status.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

namespace skylarkdyke::net::detail {

namespace beast = boost::beast;
using boost::system::error_code;

/// Size of the first read of a response: most responses fit.
static constexpr std::size_t FirstReadBytes = 2048;
/// Minimum size of any other read.
static constexpr std::size_t MinReadBytes = 512;
/// Maximum size of a response header.
static constexpr std::uint32_t MaxHeaderBytes = 8192;
/// Maximum size of what must be read as a whole: a header, the line before a
/// chunk, or the trailers.
static constexpr std::size_t MaxBufferBytes = 16384;

/// Maps a Beast error to a fault.
/// \param ReceivedBytes whether part of the response was received
static channel_fault faultOf(const error_code &Failure, bool ReceivedBytes) {
  if (Failure == beast::http::error::header_limit ||
      Failure == beast::http::error::body_limit)
    return channel_fault::ExcessBytes;
  if (Failure == beast::http::error::partial_message)
    return channel_fault::Truncated;
  if (Failure.category() ==
      beast::http::make_error_code(beast::http::error::bad_version).category())
    return channel_fault::Malformed;
  return ReceivedBytes ? channel_fault::Truncated
                       : channel_fault::ClosedBeforeResponse;
}

response_parser::response_parser() : Buffer(MaxBufferBytes) {}

void response_parser::start(bool HasNoBody) {
  ChunkedHead.reset();
  Parser.emplace();
  Parser->header_limit(MaxHeaderBytes);
  // The caller checks the size, which is not limited for streamed bodies.
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (HasNoBody)
    Parser->skip(true);
  Buffer.reserve(FirstReadBytes);
  Scanner = {};
  ScannedBytes = 0;
}

boost::asio::mutable_buffer response_parser::prepare() {
  const std::size_t Room = Buffer.max_size() - Buffer.size();
  const std::size_t Unused = Buffer.capacity() - Buffer.size();
  return Buffer.prepare(std::min(Room, std::max(Unused, MinReadBytes)));
}

void response_parser::reserveForBody() {
  Buffer.reserve(std::min<std::uint64_t>(
      Parser->content_length_remaining().value_or(MaxBufferBytes),
      MaxBufferBytes));
}

/// Parses the head by itself, before any byte of the body.
std::optional<channel_fault> response_parser::parseHead() {
  const boost::asio::const_buffer Bytes = Buffer.cdata() + ScannedBytes;
  if (!Scanner.scan({static_cast<const char *>(Bytes.data()), Bytes.size()}))
    return channel_fault::Malformed;
  error_code Failure;
  Parser->eager(false);
  Buffer.consume(Parser->put(Buffer.data(), Failure));
  ScannedBytes = Buffer.size();
  if (Failure && Failure != beast::http::error::need_more)
    return faultOf(Failure, true);
  if (!Parser->is_header_done())
    return std::nullopt;
  if (!isResponseStatus(head().result_int()))
    return channel_fault::Malformed;
  if (Parser->chunked())
    ChunkedHead = head();
  return std::nullopt;
}

std::optional<channel_fault> response_parser::parse() {
  if (!Parser->is_header_done())
    if (const auto Fault = parseHead())
      return Fault;
  if (!Parser->is_header_done() || Parser->is_done() || !hasBytes())
    return std::nullopt;
  error_code Failure;
  Parser->eager(true);
  Buffer.consume(Parser->put(Buffer.data(), Failure));
  if (Failure && Failure != beast::http::error::need_more)
    return faultOf(Failure, true);
  return std::nullopt;
}

std::optional<channel_fault>
response_parser::parseEnd(const error_code &Failure, bool EndedInOrder) {
  error_code Result = Failure;
  if (Failure == boost::asio::error::eof && Parser->got_some() && EndedInOrder)
    Parser->put_eof(Result);
  if (Result)
    return faultOf(Result, Parser->got_some());
  return std::nullopt;
}

std::optional<std::uint64_t> response_parser::contentLength() const {
  const auto Length = Parser->content_length();
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

std::string response_parser::takeBody() {
  return std::exchange(Parser->get().body(), {});
}

std::size_t response_parser::heldBytes() const {
  return Buffer.capacity() + (Parser ? Parser->get().body().capacity() : 0);
}

http_response response_parser::release() {
  auto Message = Parser->release();
  http_response_head &Head = ChunkedHead ? *ChunkedHead : Message.base();
  return http_response(std::move(Head), std::move(Message.body()));
}

void response_parser::shrink() {
  if (Buffer.capacity() <= FirstReadBytes)
    return;
  Buffer.clear();
  Buffer.shrink_to_fit();
}

void response_parser::clear() {
  Parser.reset();
  ChunkedHead.reset();
  Buffer.clear();
  Buffer.shrink_to_fit();
}

} // namespace skylarkdyke::net::detail
