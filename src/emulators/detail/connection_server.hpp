#ifndef SKYLARKDYKE_EMULATORS_DETAIL_CONNECTION_SERVER_HPP
#define SKYLARKDYKE_EMULATORS_DETAIL_CONNECTION_SERVER_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/emulators/flood.hpp"
#include "skylarkdyke/http/message.hpp"

#include <chrono>
#include <functional>
#include <memory>

namespace skylarkdyke::emulators::detail {

/// \brief What a connection sends back.
struct reply {
  enum class form { Whole, Truncated, CloseWithoutAnswer, Flood };

  http::response Response;
  form Form = form::Whole;
  /// What a flood sends until the peer closes.
  flood Flood;
};

/// \brief HTTP/1.1 server on Boost.Beast that can also misbehave: truncate,
/// flood, close and disappear. ulfius allows none of these.
class connection_server {
public:
  /// Called from the connection's thread with its socket.
  using handler = std::function<reply(const http::request &, int Socket)>;

  connection_server(base::endpoint Listen, handler Handler);
  ~connection_server();

  /// \return false if the address cannot be bound
  bool start();
  /// \brief Closes the listener and all connections, and waits for handlers.
  void stop();
  /// \brief Refuses connections and resets all open ones, for some time. May be
  /// called from a handler.
  void crash(std::chrono::milliseconds DownTime);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators::detail

#endif
