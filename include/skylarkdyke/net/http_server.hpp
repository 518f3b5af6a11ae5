#ifndef SKYLARKDYKE_NET_HTTP_SERVER_HPP
#define SKYLARKDYKE_NET_HTTP_SERVER_HPP

#include "skylarkdyke/base/message_limits.hpp"
#include "skylarkdyke/net/http_channel.hpp"
#include "skylarkdyke/net/memory_account.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylarkdyke::net {

/// \brief How a request may run beside others of its connection.
enum class request_concurrency {
  /// Beside other shared ones.
  Shared,
  /// Alone: after all earlier requests, and before all later ones.
  Exclusive,
};

/// \brief A received request that awaits its response.
///
/// Not thread-safe: all calls must come from the thread of the event loop.
class pending_request {
public:
  virtual ~pending_request() = default;

  virtual const http_request &request() const = 0;

  /// \brief Returns the time at which the last byte of the request was read.
  virtual base::boot_time arrivedAt() const = 0;

  /// \brief Returns the address of the caller, without port; empty if the
  /// connection was closed before it was known.
  virtual const std::string &callerAddress() const = 0;

  /// \brief Runs a callback, at once or later, as soon as no request that was
  /// sent before on the connection excludes it: an earlier exclusive one, or
  /// any earlier one if this one is exclusive. It does not run after the
  /// response was given or the caller has disconnected. A request counts as
  /// shared until the call.
  virtual void awaitTurn(request_concurrency Concurrency,
                         std::function<void()> OnTurn) = 0;

  /// \brief Gives the response, which is sent after those to earlier requests
  /// of the connection. Only the first call of answer() or startResponse() has
  /// an effect.
  virtual void answer(http_response Response) = 0;

  /// \brief Starts a response whose body is sent in pieces. The head is sent
  /// with the first piece, after the responses to earlier requests.
  /// \param Length length of the body; without it the body is sent in chunks,
  /// which callers of HTTP/1.0 do not understand
  virtual void startResponse(http_response_head Head,
                             std::optional<std::uint64_t> Length) = 0;

  /// \brief Sends a piece of the body. The previous one must have been written.
  /// \param Last whether the piece ends the body
  /// \param OnWritten called once the piece was written, unless it is the last
  /// one, writing fails or the response was abandoned
  virtual void writePiece(std::string Piece, bool Last,
                          std::function<void()> OnWritten) = 0;

  /// \brief Closes the connection without sending a response, or in the middle
  /// of one that was started, once all earlier requests have their responses.
  virtual void abandon() = 0;

  /// \brief Returns whether the caller has closed its connection, also if the
  /// event loop is late and the callback has not run yet.
  virtual bool hasCallerDisconnected() const = 0;

  /// \brief Sets the callback that runs if the caller closes its connection
  /// before the response, or the last piece of its body, is given. It also runs
  /// if another piece cannot be written, or if the connection is closed after a
  /// failure of an earlier response.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;

  /// \brief Sets the callback that runs if the response given to answer(), or
  /// the last piece of its body, could not be written completely. It may run
  /// after the request is released.
  virtual void
  onResponseLost(std::function<void(const std::string &Reason)> Callback) = 0;
};

/// \brief A request that is answered without having been read completely.
struct unreadable_request {
  /// 400, 413, 431 or 503.
  unsigned Status = 400;
  /// For the log.
  std::string Reason;
  /// The limit in bytes that applied: of the body with status 413, of the
  /// header otherwise.
  std::size_t Limit = 0;
  /// The header as far as it was read.
  const http_request::header_type &Header;
};

/// \brief Bounds what a connection reads before earlier requests have their
/// responses.
struct read_ahead_limits {
  /// Maximum number of requests without a complete response.
  std::size_t MaxRequests = 1;
  /// Nothing more is read while the requests without a complete response and
  /// the responses that wait have this size. A body that would exceed it is
  /// read once its request is the first one.
  std::size_t MaxBytes = 0;
};

/// \brief Asynchronous HTTP/1.1 server on one address.
///
/// Not thread-safe: all calls must come from the thread of the event loop.
class http_server {
public:
  using handler = std::function<void(std::shared_ptr<pending_request>)>;
  /// Returns the response to an unreadable request; its connection is closed
  /// after it.
  using unreadable_handler =
      std::function<http_response(const unreadable_request &)>;

  /// \param MaxConnections beyond this number, a new connection replaces the
  /// one without a complete request that has been inactive for longest, or is
  /// closed at once if there is none
  /// \param Limits called for each request, so that changed limits apply to
  /// the next one
  http_server(boost::asio::io_context &Loop, std::size_t MaxConnections,
              std::function<base::message_limits()> Limits, handler OnRequest);
  ~http_server();

  /// \brief Replaces the responses to unreadable requests, which have the
  /// status of the request otherwise.
  void setUnreadableHandler(unreadable_handler OnUnreadable);

  /// \brief Gives further requests of a connection to the handler before the
  /// first one is answered. By default they are handled one at a time.
  void setReadAhead(read_ahead_limits Limits);

  /// \brief Charges what is held for callers to an account. Without it, the
  /// memory is not limited.
  void setMemory(std::shared_ptr<memory_account> Memory);

  /// \brief Binds an IPv4 address and starts to accept connections.
  /// \return false if the address cannot be bound
  bool listen(const base::endpoint &Address);

  /// \brief Stops reading further requests of a connection while one has no
  /// response, and closes each connection with its last response, which carries
  /// "Connection: close".
  void drain();

  /// \brief Stops accepting connections and closes idle ones; the others are
  /// closed after their current response.
  void stopAccepting();

  /// \brief Returns the number of requests that are being read or await their
  /// response.
  std::size_t activeRequests() const;

  /// \brief Returns how many connections were closed for new ones.
  std::uint64_t replacedConnections() const;

  struct impl;

private:
  std::shared_ptr<impl> Impl;
};

/// \brief Creates a response.
/// \param ContentType media type of the body; not set if the body is empty
http_response makeResponse(unsigned Status, std::string Body = {},
                           const char *ContentType = "text/plain");

} // namespace skylarkdyke::net

#endif
