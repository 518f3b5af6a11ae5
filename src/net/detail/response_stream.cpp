#include "net/detail/response_stream.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

namespace skylarkdyke::net::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

response_stream::response_stream(http_response_head Head,
                                 std::optional<std::uint64_t> Length,
                                 bool KeepAlive)
    : Chunked(!Length), KeepAlive(KeepAlive) {
  bhttp::response<bhttp::empty_body> Message(std::move(Head));
  Message.version(11);
  Message.keep_alive(KeepAlive);
  if (Length)
    Message.content_length(*Length);
  else
    Message.chunked(true);
  bhttp::fields::writer Writer(Message, Message.version(),
                               Message.result_int());
  Prefix = beast::buffers_to_string(Writer.get());
}

response_stream::frame response_stream::makeFrame(std::string Piece,
                                                  bool Last) {
  Body = std::move(Piece);
  Suffix.clear();
  if (Chunked && !Body.empty()) {
    Prefix += beast::buffers_to_string(bhttp::chunk_header(Body.size()));
    Suffix = "\r\n";
  }
  if (Chunked && Last)
    Suffix += "0\r\n\r\n";
  return {asio::buffer(Prefix), asio::buffer(Body), asio::buffer(Suffix)};
}

void response_stream::releasePiece() {
  Prefix.clear();
  std::string().swap(Body);
}

} // namespace skylarkdyke::net::detail
