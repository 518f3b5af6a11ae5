#ifndef SKYLARKDYKE_HTTP_SERVER_HPP
#define SKYLARKDYKE_HTTP_SERVER_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/http/message.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace skylarkdyke::http {

/// \brief A request as the server received it.
struct server_request {
  request Message;
  /// Path without the query, percent-decoded.
  std::string Path;
  /// Query parameters and, for form posts, form fields.
  std::map<std::string, std::string> Parameters;
  /// Address of the client's end of the connection.
  base::endpoint Client;
  /// Socket of the connection, for exchange_limits::CallerSocket; -1 if it is
  /// not known.
  int Socket = -1;
  /// User and password of HTTP Basic authentication; empty if absent.
  std::string User;
  std::string Password;
};

/// \brief Bounds of a server.
struct server_limits {
  unsigned MaxConnections = 400;
  std::size_t ThreadStackBytes = std::size_t{256} * 1024;
  std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
  /// A connection without any progress for this long is closed.
  std::chrono::seconds IdleTimeout{30};
};

/// \brief HTTP server on ulfius with a bounded thread per connection.
///
/// A body over the limit or one shorter than its Content-Length is answered 413
/// or 400 before any handler.
class server {
public:
  using handler = std::function<response(const server_request &)>;

  /// \param Listen address to bind
  /// \param Limits bounds on connections and sizes
  /// \param Handler called for every request, from many threads at once
  server(base::endpoint Listen, server_limits Limits, handler Handler);
  ~server();

  /// \brief Binds and starts to serve.
  /// \return false if the address cannot be bound
  bool start();

  /// \brief Stops; waits for running handlers to return.
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::http

#endif
