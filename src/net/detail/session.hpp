#ifndef SKYLARKDYKE_NET_DETAIL_SESSION_HPP
#define SKYLARKDYKE_NET_DETAIL_SESSION_HPP

#include "net/detail/response_stream.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <sys/socket.h>
#include <unordered_set>
#include <utility>

namespace skylarkdyke::net {

namespace detail {
class session;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Response to a request that cannot be read, unless a server has a handler for
/// these.
http_response respondToUnreadable(const unreadable_request &Request);
} // namespace detail

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
  impl(boost::asio::io_context &Loop, std::size_t MaxConnections,
       std::function<base::message_limits()> Limits, handler OnRequest)
      : Loop(Loop), Acceptor(Loop), AcceptRetryTimer(Loop),
        MaxConnections(MaxConnections), Limits(std::move(Limits)),
        OnRequest(std::move(OnRequest)) {}

  void accept();
  void onAccept(const detail::error_code &Failure, detail::tcp::socket Socket);
  void acceptQueued();

  boost::asio::io_context &Loop;
  detail::tcp::acceptor Acceptor;
  one_shot_timer AcceptRetryTimer;
  std::size_t MaxConnections;
  std::function<base::message_limits()> Limits;
  handler OnRequest;
  unreadable_handler OnUnreadable = detail::respondToUnreadable;
  /// Holds bytes that any connection receives after its last response.
  std::array<char, 16384> Discarded{};
  std::unordered_set<detail::session *> Sessions;
  std::size_t ActiveRequests = 0;
  bool Draining = false;
  bool Stopped = false;
};

namespace detail {

/// Time limit for receiving a request body and for sending a response.
constexpr std::chrono::seconds TransferTimeout{30};

/// One connection of a caller. Requests are read one at a time: the next one
/// after the response to the previous one.
class session : public pending_request,
                public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<http_server::impl> Owner, tcp::socket Socket)
      : Server(std::move(Owner)), Socket(std::move(Socket)),
        Timer(Server->Loop) {
    Server->Sessions.insert(this);
    error_code Failure;
    const auto Peer = this->Socket.remote_endpoint(Failure);
    if (!Failure)
      CallerAddress = Peer.address().to_string();
  }
  ~session() override {
    setActive(false);
    Server->Sessions.erase(this);
  }

  void start();

  /// Closes the connection unless a request has arrived on it, which then
  /// counts as active.
  void closeIfIdle() {
    if (IsActive)
      return;
    if (hasUnreadBytes())
      setActive(true);
    else
      closeSocket();
  }

  const http_request &request() const override { return Request; }
  base::boot_time arrivedAt() const override { return ArrivedAt; }
  const std::string &callerAddress() const override { return CallerAddress; }
  bool hasCallerDisconnected() const override {
    return peek() == peer_state::Disconnected;
  }
  void onCallerDisconnected(std::function<void()> Callback) override {
    OnDisconnected = std::move(Callback);
  }
  void
  onResponseLost(std::function<void(const std::string &)> Callback) override {
    OnResponseLost = std::move(Callback);
  }
  void answer(http_response Response) override;
  void startResponse(http_response_head Head,
                     std::optional<std::uint64_t> Length) override;
  void writePiece(std::string Piece, bool Last,
                  std::function<void()> OnWritten) override;
  void abandon() override;

private:
  enum class peer_state {
    /// Nothing has arrived.
    Silent,
    /// The start of the next request has arrived.
    Sending,
    Disconnected,
  };

  /// Looks at the socket without reading from it.
  peer_state peek() const {
    char Byte = 0;
    const ssize_t Count =
        recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Count > 0)
      return peer_state::Sending;
    return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)
               ? peer_state::Silent
               : peer_state::Disconnected;
  }

  /// A request may be in the receive buffer whose handler has not run yet.
  bool hasUnreadBytes() {
    error_code Ignored;
    return Socket.available(Ignored) > 0;
  }

  void awaitRequest();
  void readHeader();
  void onHeader(const error_code &Failure);
  void readBody();
  void onBody(const error_code &Failure);
  void watchForDisconnect();
  void onReadable();
  void rejectUnreadable(const error_code &Failure);
  void reject(unsigned Status, const std::string &Reason);
  void onCallerLeft();
  bool mustClose() const { return !PeerKeepsAlive || Server->Draining; }
  void write(bool Close);
  void onPieceWritten(const error_code &Failure,
                      const std::shared_ptr<response_stream> &Written,
                      const std::function<void()> &OnWritten);
  void finishWrite(const error_code &Failure, bool Close);
  void closeAfterResponse();
  void discardBytes();
  void closeAt(base::boot_time Until);
  void setIdleTimer();
  void onIdleTimeout();

  void closeSocket() {
    error_code Ignored;
    Timer.cancel();
    Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    Socket.close(Ignored);
  }
  void setActive(bool Active) {
    if (Active == IsActive)
      return;
    IsActive = Active;
    Server->ActiveRequests += Active ? 1 : -1;
  }

  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  std::shared_ptr<http_server::impl> Server;
  /// Mutable because Asio has no constant access to the native handle.
  mutable tcp::socket Socket;
  one_shot_timer Timer;
  boost::beast::flat_buffer Buffer;
  /// Time by which the connection closes after its last response.
  base::boot_time LingerUntil{};
  std::optional<parser> Parser;
  /// Limits under which the current request is read.
  base::message_limits ReadLimits;
  /// Header of a request whose body is being read.
  http_request::header_type Header;
  http_request Request;
  http_response Response;
  /// Response that is sent in pieces; null once its last piece was given.
  std::shared_ptr<response_stream> Stream;
  std::string CallerAddress;
  base::boot_time ArrivedAt{};
  base::boot_time IdleSince{};
  std::function<void()> OnDisconnected;
  std::function<void(const std::string &)> OnResponseLost;
  bool IsActive = false;
  bool Answerable = false;
  bool PeerKeepsAlive = false;
};

} // namespace detail

} // namespace skylarkdyke::net

#endif
