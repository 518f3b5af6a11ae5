#ifndef SKYLARKDYKE_NET_DETAIL_RESPONSE_PARSER_HPP
#define SKYLARKDYKE_NET_DETAIL_RESPONSE_PARSER_HPP

#include "net/detail/growing_body.hpp"
#include "net/detail/head_scanner.hpp"
#include "skylarkdyke/net/http_channel.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkdyke::net::detail {

/// \brief Parses the responses that arrive on a connection, one after the
/// other, and holds the bytes that were read for them.
class response_parser {
public:
  response_parser();

  /// \brief Starts with the next response. Bytes that were read behind the
  /// previous one belong to it.
  /// \param HasNoBody whether the response has none, as it answers HEAD
  void start(bool HasNoBody);

  /// \brief Returns the space for the next read; of size 0 if what must be read
  /// as a whole is too large.
  boost::asio::mutable_buffer prepare();

  /// \brief Makes the space large enough for what is left of the body.
  void reserveForBody();

  /// \brief Adds bytes that were read into the space.
  void commit(std::size_t Size) { Buffer.commit(Size); }

  /// \brief Returns whether bytes were read that are not parsed yet.
  bool hasBytes() const { return Buffer.size() > 0; }

  /// \brief Parses the bytes that were read.
  /// \return why they are no response, if they are none
  std::optional<channel_fault> parse();

  /// \brief Ends the response where the connection ends.
  /// \param Failure error of the read
  /// \param EndedInOrder whether the peer has closed its side of the connection
  /// \return why the response is not complete, if it is not
  std::optional<channel_fault>
  parseEnd(const boost::system::error_code &Failure, bool EndedInOrder);

  bool isHeadDone() const { return Parser->is_header_done(); }
  bool isDone() const { return Parser->is_done(); }
  bool keepsAlive() const { return Parser->keep_alive(); }

  /// \brief Returns the head, without trailers; only once it is done.
  const http_response_head &head() const {
    return ChunkedHead ? *ChunkedHead : Parser->get().base();
  }

  /// \brief Returns the length that the head states, if it states one.
  std::optional<std::uint64_t> contentLength() const;

  /// \brief Returns the part of the body that was parsed and not taken yet.
  std::string takeBody();

  /// \brief Returns the number of bytes that are allocated.
  std::size_t heldBytes() const;

  /// \brief Returns the response, with the part of the body that was not taken.
  http_response release();

  /// \brief Releases what an idle connection does not need.
  void shrink();

  /// \brief Releases all memory.
  void clear();

private:
  std::optional<channel_fault> parseHead();

  boost::beast::flat_buffer Buffer;
  head_scanner Scanner;
  /// Number of bytes at the start of Buffer that were scanned.
  std::size_t ScannedBytes = 0;
  std::optional<boost::beast::http::response_parser<growing_body>> Parser;
  /// Head of a response with a chunked body: the parser adds the trailers to
  /// its own one.
  std::optional<http_response_head> ChunkedHead;
};

} // namespace skylarkdyke::net::detail

#endif
