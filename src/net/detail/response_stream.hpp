#ifndef SKYLARKDYKE_NET_DETAIL_RESPONSE_STREAM_HPP
#define SKYLARKDYKE_NET_DETAIL_RESPONSE_STREAM_HPP

#include "skylarkdyke/net/http_channel.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkdyke::net::detail {

/// \brief Wire format of a response whose body is sent in pieces.
class response_stream {
public:
  using frame = std::array<boost::asio::const_buffer, 3>;

  /// \param Length length of the body; without it the body is sent in chunks
  /// \param KeepAlive whether the connection stays open after the response
  response_stream(http_response_head Head, std::optional<std::uint64_t> Length,
                  bool KeepAlive);

  /// \brief Returns the bytes of a piece, after those of the head if it is the
  /// first one. They stay valid until the next call.
  /// \param Last whether the piece ends the body
  frame makeFrame(std::string Piece, bool Last);

  /// \brief Releases the memory of the current piece.
  void releasePiece();

  bool keepsAlive() const { return KeepAlive; }

private:
  /// Head of the response until the first piece; the line before a chunk.
  std::string Prefix;
  std::string Body;
  std::string Suffix;
  bool Chunked;
  bool KeepAlive;
};

} // namespace skylarkdyke::net::detail

#endif
