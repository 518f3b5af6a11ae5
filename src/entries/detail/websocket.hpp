#ifndef SKYLARKDYKE_ENTRIES_DETAIL_WEBSOCKET_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_WEBSOCKET_HPP

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace skylarkdyke::entries::detail {

// The names in these two structs are websocketpp's.
// NOLINTBEGIN(readability-identifier-naming)

/// \brief websocketpp's asio configuration without locks and logs, for use by
/// one thread. Server and client share it, so that both have the same
/// connection type.
struct websocket_config : websocketpp::config::asio_client {
  using type = websocket_config;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;

  struct transport_config : websocketpp::config::asio_client::transport_config {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    static constexpr bool enable_multithreading = false;
    /// Milliseconds.
    static constexpr long timeout_connect = 1000;
    static constexpr long timeout_socket_shutdown = 500;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  /// Drops a connection after a protocol error at once, without waiting for the
  /// peer's close frame.
  static constexpr bool drop_on_protocol_error = true;
  /// Milliseconds.
  static constexpr long timeout_close_handshake = 500;
  static constexpr std::size_t max_http_body_size = 1024;
};

// NOLINTEND(readability-identifier-naming)

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using websocket = websocketpp::connection<websocket_config>;
using websocket_ptr = websocket_server::connection_ptr;

} // namespace skylarkdyke::entries::detail

#endif
