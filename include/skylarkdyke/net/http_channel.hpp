#ifndef SKYLARKDYKE_NET_HTTP_CHANNEL_HPP
#define SKYLARKDYKE_NET_HTTP_CHANNEL_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/result.hpp"

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

/// \brief Why a call brought no whole response.
enum class channel_fault {
  ConnectRefused,
  ConnectTimeout,
  /// The peer closed or reset the connection before the first response byte.
  ClosedBeforeResponse,
  /// The peer closed or reset the connection within the response.
  Truncated,
  /// The peer sent bytes that are no response.
  Malformed,
  DeadlinePassed,
  /// The caller ended the call.
  Cancelled,
};

/// \brief Name of a fault for logs and metrics, in snake case.
const char *toString(channel_fault Fault);

/// \brief Failure of a call.
struct channel_error {
  channel_fault Fault;
  /// True only if no byte of the request was given to the socket, so that the
  /// peer cannot have run it.
  bool NothingSent;
};

using call_result = base::result<http_response, channel_error>;

/// \brief Limits of one call.
struct call_limits {
  /// A new connection must be open by then.
  base::boot_time ConnectBy;
  base::boot_time Deadline;
};

/// \brief One HTTP/1.1 connection to one peer, driven by an event loop.
///
/// It never sends a request twice by itself. After a call that did not end with
/// a whole response in sequence the connection is closed. Not thread-safe: all
/// calls come from the loop's thread.
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
  using handler = std::function<void(call_result)>;
  /// Tells whether a response belongs to the request that was sent. One that
  /// does not is skipped.
  using response_filter = std::function<bool(const http_response &)>;

  static std::shared_ptr<http_channel> create(boost::asio::io_context &Loop,
                                              const base::endpoint &Peer);
  ~http_channel();

  /// \brief Sends a request and reads its response.
  /// \param OnDone called exactly once, never from within this call
  void call(http_request Request, const call_limits &Limits,
            response_filter Filter, handler OnDone);

  /// \brief Ends the running call with Cancelled and closes the connection.
  void cancel();

  /// \brief Closes the connection; a running call ends with Cancelled.
  void close();

  /// \brief Whether another call can be made on the open connection: it is
  /// open, the last response was whole, nothing arrived since, and the time
  /// for which the peer keeps it open has not passed.
  bool isReusable(base::boot_time Now) const;

  /// \brief Whether the last call met bytes that belong to no request.
  bool sawForeignBytes() const;

  /// \brief Time that the connection took to open; zero before.
  std::chrono::nanoseconds connectTime() const;

private:
  struct impl;
  explicit http_channel(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

/// \brief Sets how long sent bytes may stay unacknowledged and keeps idle
/// connections probed, so that a silent peer is found.
/// \param Socket a TCP socket
/// \param Limit longest time without acknowledgement
void limitSilence(int Socket, std::chrono::milliseconds Limit);

} // namespace skylarkdyke::net

#endif
