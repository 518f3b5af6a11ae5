#ifndef SKYLARKDYKE_NET_HTTP_CHANNEL_HPP
#define SKYLARKDYKE_NET_HTTP_CHANNEL_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/net/response_memory.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace skylarkdyke::net {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using http_response_head = boost::beast::http::response_header<>;

/// \brief Reason why a call did not yield a complete response.
enum class channel_fault {
  /// The connection could not be opened because of an error.
  ConnectRefused,
  ConnectTimeout,
  /// The peer closed or reset the connection before it sent a response byte.
  ClosedBeforeResponse,
  /// The peer closed or reset the connection in the middle of the response.
  Truncated,
  /// The bytes received from the peer are not an HTTP response.
  Malformed,
  /// The peer sent more than a response may have: too long a header, body,
  /// chunk header or trailer, or too many responses to other requests.
  ExcessBytes,
  /// The call was ended because the incomplete responses of the process
  /// exceeded their memory limit and this peer held the most of it.
  MemoryLimit,
  DeadlinePassed,
  /// The caller cancelled the call with cancel() or close().
  Cancelled,
  /// The connection was opened, but call_limits::MaySend denied the request.
  Withdrawn,
};

/// \brief Returns the snake-case name of a fault for logs and metrics.
const char *toString(channel_fault Fault);

/// \brief Error that a failed call returns.
struct channel_error {
  channel_fault Fault;
  /// True only if no byte of the request was written to the socket, so that
  /// the peer cannot have executed it.
  bool NothingSent;
};

using call_result = base::result<http_response, channel_error>;

/// \brief What happens to a response whose head was read.
enum class response_use {
  /// The response belongs to another request. It is read and dropped, and the
  /// next one is awaited.
  Skip,
  /// The response is delivered whole. Its size is limited.
  Collect,
  /// The body is delivered in pieces as it arrives, without a limit on its
  /// size.
  Stream,
};

/// \brief Receives the response of a call in parts.
///
/// OnHead and OnPiece must not end the call from within.
struct response_observer {
  /// Decides what happens to a response. Called once its head was read, also
  /// for responses to other requests, but not for interim responses.
  /// \param Complete whether the body was read, too; then response_use::Stream
  /// has the meaning of response_use::Collect
  std::function<response_use(const http_response_head &Head, bool Complete)>
      OnHead;
  /// Receives a piece of a streamed body. Nothing more is read until
  /// http_channel::resume() is called. The first piece, which is all that was
  /// read with the head, may be empty.
  std::function<void(std::string Piece)> OnPiece;
  /// Called exactly once, at the end of the call. For a streamed response, the
  /// body holds the last piece only.
  std::function<void(call_result)> OnEnd;
};

/// \brief Limits of one call.
struct call_limits {
  /// A new connection must be established by this time.
  base::boot_time ConnectDeadline;
  base::boot_time Deadline;
  /// Asked once a new connection is open, before the request is sent. It may
  /// bring the request up to date, because opening takes time. Nothing is asked
  /// if empty.
  std::function<bool(http_request &Request)> MaySend = {};
};

/// \brief Asynchronous HTTP/1.1 client connection to one peer.
///
/// A channel never resends a request on its own. It closes the connection
/// after a call unless the whole request was written, the response was complete
/// and allows keep-alive, and no further bytes followed it. Not thread-safe:
/// all calls must come from the thread of the event loop.
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
  using handler = std::function<void(call_result)>;
  /// Returns whether a response belongs to the request that was sent.
  /// Responses that do not are skipped.
  using response_filter = std::function<bool(const http_response &)>;

  /// \param Memory bounds the incomplete responses of all channels; must
  /// outlive the channel and the event loop
  static std::shared_ptr<http_channel> create(boost::asio::io_context &Loop,
                                              const base::endpoint &Peer,
                                              response_memory &Memory);
  ~http_channel();

  /// \brief Sends a request and reads its response, and connects first if the
  /// connection is not open.
  /// \param Filter selects the response that belongs to the request
  /// \param OnDone called exactly once, never from within this call
  void call(http_request Request, const call_limits &Limits,
            response_filter Filter, handler OnDone);

  /// \brief Sends a request like call(), and reads its response in parts.
  /// \param Request its body is not used
  /// \param Body body of the request, whose length the header states; null for
  /// a request without one. It is released once it was written, or the
  /// connection is closed.
  /// \param Observer its callbacks are never called from within this call
  void callStreaming(http_request Request,
                     std::shared_ptr<const std::string> Body,
                     const call_limits &Limits, response_observer Observer);

  /// \brief Continues to read a streamed response after a piece was delivered.
  /// Does nothing if no call waits for this.
  void resume();

  /// \brief Ends the call in progress with channel_fault::Cancelled and
  /// closes the connection. Does nothing if no call is in progress.
  void cancel();

  /// \brief Closes the connection; a call in progress ends with
  /// channel_fault::Cancelled.
  void close();

  /// \brief Returns whether the connection is open, so that a call uses a
  /// connection on which earlier responses were read.
  bool isOpen() const;

  /// \brief Returns whether the open connection can be used for another call:
  /// the last response was complete, nothing has arrived since, and the
  /// keep-alive time of the peer has not expired.
  bool isReusable(base::boot_time Now) const;

  /// \brief Returns whether any call on this channel received bytes that
  /// belong to no request.
  bool sawUnexpectedBytes() const;

  /// \brief Returns the time that the connection took to open; zero before it
  /// is open.
  std::chrono::nanoseconds connectTime() const;

private:
  struct impl;
  explicit http_channel(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

/// \brief Sets how long sent data may stay unacknowledged before the kernel
/// closes the connection (TCP_USER_TIMEOUT), so that an unreachable peer is
/// detected.
/// \param Socket descriptor of a TCP socket
/// \param Timeout longest time without acknowledgement
void setAckTimeout(int Socket, std::chrono::milliseconds Timeout);

} // namespace skylarkdyke::net

#endif
