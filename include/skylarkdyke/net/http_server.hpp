#ifndef SKYLARKDYKE_NET_HTTP_SERVER_HPP
#define SKYLARKDYKE_NET_HTTP_SERVER_HPP

#include "skylarkdyke/base/message_limits.hpp"
#include "skylarkdyke/net/http_channel.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace skylarkdyke::net {

/// \brief One request that waits for its answer.
///
/// Not thread-safe: all calls come from the loop's thread.
class pending_request {
public:
  virtual ~pending_request() = default;

  virtual const http_request &request() const = 0;

  /// \brief When the last byte of the request was read.
  virtual base::boot_time arrivedAt() const = 0;

  /// \brief Answers the request; the first call counts.
  virtual void answer(http_response Response) = 0;

  /// \brief Closes the connection without an answer.
  virtual void abandon() = 0;

  /// \brief Sets what runs if the caller closes its connection first.
  virtual void onCallerGone(std::function<void()> Hook) = 0;
};

/// \brief HTTP/1.1 server on one address, driven by an event loop.
class http_server {
public:
  using handler = std::function<void(std::shared_ptr<pending_request>)>;

  /// \param Limits asked for each request, so that a change applies at once
  http_server(boost::asio::io_context &Loop, std::size_t MaxConnections,
              std::function<base::message_limits()> Limits, handler OnRequest);
  ~http_server();

  /// \brief Listens on an address.
  /// \return false if the address cannot be bound
  bool listen(const base::endpoint &Address);

  /// \brief From now on each answer asks its caller to close the connection.
  void drain();

  /// \brief Accepts no more and closes idle connections.
  void stopAccepting();

  /// \brief Requests being read or waiting for their answers.
  std::size_t busy() const;

  struct impl;

private:
  std::shared_ptr<impl> Impl;
};

/// \brief A response with a plain text body.
http_response makeResponse(unsigned Status, std::string Body = {},
                           const char *ContentType = "text/plain");

} // namespace skylarkdyke::net

#endif
