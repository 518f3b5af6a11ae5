#include "skylarkdyke/net/http_server.hpp"

#include "net/detail/request_errors.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>
#include <limits>
#include <optional>
#include <sys/socket.h>
#include <unordered_set>
#include <utility>
#include <vector>

namespace skylarkdyke::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// A connection on which the caller acknowledges nothing for this long is
/// closed.
static constexpr std::chrono::milliseconds CallerAckTimeout{5000};
/// Delay before the next accept after a failed one, for example when the
/// process is out of file descriptors.
static constexpr std::chrono::milliseconds AcceptRetryDelay{50};
/// Time for which a connection stays open after its last response, so that the
/// caller can read it and close first.
static constexpr std::chrono::milliseconds LingerTimeout{500};
/// The same for a caller that still sends the body, and reads only then.
static constexpr std::chrono::milliseconds MaxLingerTime{5000};
/// Buffer size for bytes that are read after the last response.
static constexpr std::size_t DiscardBytes = 16384;
/// Time limit for receiving a request body and for sending a response.
static constexpr std::chrono::seconds TransferTimeout{30};

http_response makeResponse(unsigned Status, std::string Body,
                           const char *ContentType) {
  http_response Response(static_cast<bhttp::status>(Status), 11);
  if (!Body.empty())
    Response.set(bhttp::field::content_type, ContentType);
  Response.body() = std::move(Body);
  return Response;
}

namespace {
class session;
} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
  impl(asio::io_context &Loop, std::size_t MaxConnections,
       std::function<base::message_limits()> Limits, handler OnRequest)
      : Loop(Loop), Acceptor(Loop), AcceptRetryTimer(Loop),
        MaxConnections(MaxConnections), Limits(std::move(Limits)),
        OnRequest(std::move(OnRequest)) {}

  void accept();
  void onAccept(const error_code &Failure, tcp::socket Socket);

  asio::io_context &Loop;
  tcp::acceptor Acceptor;
  one_shot_timer AcceptRetryTimer;
  std::size_t MaxConnections;
  std::function<base::message_limits()> Limits;
  handler OnRequest;
  unreadable_handler OnUnreadable = [](const unreadable_request &Request) {
    return makeResponse(Request.Status, "the request cannot be read\n");
  };
  std::unordered_set<session *> Sessions;
  std::size_t ActiveRequests = 0;
  bool Draining = false;
  bool Stopped = false;
};

namespace {

/// One connection of a caller. Requests are read one at a time: the next one
/// after the response to the previous one.
class session : public pending_request,
                public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<http_server::impl> Owner, tcp::socket Socket)
      : Server(std::move(Owner)), Socket(std::move(Socket)),
        Timer(Server->Loop) {
    Server->Sessions.insert(this);
  }
  ~session() override {
    setActive(false);
    Server->Sessions.erase(this);
  }

  void start() {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    setAckTimeout(Socket.native_handle(), CallerAckTimeout);
    awaitRequest();
  }

  void closeIfIdle() {
    if (!IsActive && !hasUnreadBytes())
      closeSocket();
  }

  const http_request &request() const override { return Request; }
  base::boot_time arrivedAt() const override { return ArrivedAt; }
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
  void write(bool Close);
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

  using parser = bhttp::request_parser<bhttp::string_body>;

  std::shared_ptr<http_server::impl> Server;
  /// Mutable because Asio has no constant access to the native handle.
  mutable tcp::socket Socket;
  one_shot_timer Timer;
  beast::flat_buffer Buffer;
  /// Holds bytes that are read after the last response.
  std::vector<char> Discarded;
  base::boot_time LingerUntil{};
  std::optional<parser> Parser;
  /// Limits under which the current request is read.
  base::message_limits ReadLimits;
  /// Header of a request whose body is being read.
  http_request::header_type Header;
  http_request Request;
  http_response Response;
  base::boot_time ArrivedAt{};
  base::boot_time IdleSince{};
  std::function<void()> OnDisconnected;
  std::function<void(const std::string &)> OnResponseLost;
  bool IsActive = false;
  bool Answerable = false;
  bool PeerKeepsAlive = false;
};

void session::closeAt(base::boot_time Until) {
  Timer.set(Until, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->closeSocket();
  });
}

void session::setIdleTimer() {
  Timer.set(IdleSince + Server->Limits().IdleTimeout,
            [Weak = weak_from_this()] {
              if (const auto Self = Weak.lock())
                Self->onIdleTimeout();
            });
}

void session::onIdleTimeout() {
  // The limit may have been raised since the timer was set.
  if (base::boot_clock::now() < IdleSince + Server->Limits().IdleTimeout)
    return setIdleTimer();
  if (!hasUnreadBytes())
    closeSocket();
}

void session::awaitRequest() {
  if (Server->Stopped)
    return closeSocket();
  setActive(false);
  if (Buffer.size() > 0)
    return readHeader();
  Buffer.shrink_to_fit();
  IdleSince = base::boot_clock::now();
  setIdleTimer();
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Result) {
                      if (!Result)
                        Self->readHeader();
                    });
}

void session::readHeader() {
  // Bytes of the request may be read from here on, so stopAccepting() must
  // not close the connection before the response is sent.
  setActive(true);
  Request = {};
  ReadLimits = Server->Limits();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
      ReadLimits.MaxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
  // onHeader() checks the length of the body with the limit of then.
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  closeAt(base::boot_clock::now() + ReadLimits.HeaderTimeout);
  bhttp::async_read_header(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        Self->onHeader(Result);
      });
}

void session::onHeader(const error_code &Failure) {
  if (Failure)
    return rejectUnreadable(Failure);
  if (const char *Reason = detail::findAmbiguity(Parser->get()))
    return reject(400, Reason);
  if (Parser->is_done())
    return onBody({});
  // The parser adds the trailers to the header.
  Header = Parser->get().base();
  ReadLimits.MaxBodyBytes = Server->Limits().MaxBodyBytes;
  Parser->body_limit(ReadLimits.MaxBodyBytes);
  if (Parser->content_length().value_or(0) > ReadLimits.MaxBodyBytes)
    return rejectUnreadable(make_error_code(bhttp::error::body_limit));
  if (!beast::iequals(Parser->get()[bhttp::field::expect], "100-continue"))
    return readBody();
  static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
      Socket, asio::buffer(Continue),
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        if (!Result)
          Self->readBody();
      });
}

void session::readBody() {
  closeAt(base::boot_clock::now() + TransferTimeout);
  bhttp::async_read(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        Self->onBody(Result);
      });
}

void session::onBody(const error_code &Failure) {
  if (Failure)
    return rejectUnreadable(Failure);
  Timer.cancel();
  PeerKeepsAlive = Parser->keep_alive();
  Request = Parser->release();
  if (Request.chunked())
    Request.base() = std::move(Header);
  ArrivedAt = base::boot_clock::now();
  Answerable = true;
  watchForDisconnect();
  Server->OnRequest(shared_from_this());
}

void session::watchForDisconnect() {
  if (Buffer.size() > 0)
    return;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Result) {
                      if (!Result)
                        Self->onReadable();
                    });
}

void session::onReadable() {
  if (!Answerable)
    return;
  const peer_state State = peek();
  if (State == peer_state::Sending)
    return;
  if (State == peer_state::Silent)
    return watchForDisconnect();
  Answerable = false;
  setActive(false);
  closeSocket();
  const auto Callback = std::move(OnDisconnected);
  OnDisconnected = nullptr;
  if (Callback)
    Callback();
}

/// Responds with an error status to a request that exceeds a limit or cannot
/// be parsed; closes the connection on any other read error.
void session::rejectUnreadable(const error_code &Failure) {
  if (const auto Status = detail::statusOf(Failure))
    return reject(*Status, Failure.message());
  closeSocket();
}

void session::reject(unsigned Status, const std::string &Reason) {
  PeerKeepsAlive = false;
  Answerable = true;
  const std::size_t Limit =
      Status == 413 ? ReadLimits.MaxBodyBytes : ReadLimits.MaxHeaderBytes;
  answer(Server->OnUnreadable({Status, Reason, Limit, Parser->get()}));
}

void session::answer(http_response NewResponse) {
  if (!Answerable)
    return;
  Answerable = false;
  OnDisconnected = nullptr;
  error_code Ignored;
  Socket.cancel(Ignored);
  Response = std::move(NewResponse);
  Response.version(11);
  const bool Close = !PeerKeepsAlive || Server->Draining;
  Response.keep_alive(!Close);
  // A response to HEAD carries the length of a body that is not sent, so the
  // Content-Length header is left as it is.
  if (Request.method() != bhttp::verb::head)
    Response.prepare_payload();
  write(Close);
}

void session::write(bool Close) {
  closeAt(base::boot_clock::now() + TransferTimeout);
  const auto OnDone = [Self = shared_from_this(),
                       Close](const error_code &Result, std::size_t) {
    Self->finishWrite(Result, Close);
  };
  bhttp::async_write(Socket, Response, OnDone);
}

void session::finishWrite(const error_code &Failure, bool Close) {
  Response.body().clear();
  const auto LostCallback = std::exchange(OnResponseLost, nullptr);
  if (Failure && LostCallback)
    LostCallback(Failure.message());
  if (Failure) {
    setActive(false);
    return closeSocket();
  }
  if (Close)
    return closeAfterResponse();
  awaitRequest();
}

/// Closes the connection once the caller has closed it or is silent. If
/// unread bytes of the caller were there at the close, the connection would be
/// reset, and the caller could lose the response.
void session::closeAfterResponse() {
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  LingerUntil = base::boot_clock::now() + MaxLingerTime;
  Discarded.resize(DiscardBytes);
  discardBytes();
}

void session::discardBytes() {
  closeAt(std::min(base::boot_clock::now() + LingerTimeout, LingerUntil));
  Socket.async_read_some(
      asio::buffer(Discarded),
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        if (!Failure)
          return Self->discardBytes();
        Self->setActive(false);
        Self->closeSocket();
      });
}

void session::abandon() {
  if (!Answerable)
    return;
  Answerable = false;
  OnDisconnected = nullptr;
  setActive(false);
  closeSocket();
}

} // namespace

void http_server::impl::accept() {
  if (Stopped)
    return;
  Acceptor.async_accept([Self = shared_from_this()](const error_code &Failure,
                                                    tcp::socket Socket) {
    Self->onAccept(Failure, std::move(Socket));
  });
}

void http_server::impl::onAccept(const error_code &Failure,
                                 tcp::socket Socket) {
  if (Stopped)
    return;
  if (Failure) {
    LOG(WARNING) << "cannot accept a connection: " << Failure.message();
    AcceptRetryTimer.set(base::boot_clock::now() + AcceptRetryDelay,
                         [Self = shared_from_this()] { Self->accept(); });
    return;
  }
  if (Sessions.size() < MaxConnections)
    std::make_shared<session>(shared_from_this(), std::move(Socket))->start();
  accept();
}

http_server::http_server(asio::io_context &Loop, std::size_t MaxConnections,
                         std::function<base::message_limits()> Limits,
                         handler OnRequest)
    : Impl(std::make_shared<impl>(Loop, MaxConnections, std::move(Limits),
                                  std::move(OnRequest))) {}

http_server::~http_server() = default;

bool http_server::listen(const base::endpoint &Address) {
  error_code Failure;
  const auto Ip = asio::ip::make_address(Address.Address, Failure);
  if (!Failure)
    Impl->Acceptor.open(tcp::v4(), Failure);
  if (!Failure)
    Impl->Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Impl->Acceptor.bind(tcp::endpoint(Ip, Address.Port), Failure);
  if (!Failure)
    Impl->Acceptor.listen(tcp::acceptor::max_listen_connections, Failure);
  if (Failure) {
    LOG(ERROR) << "cannot listen on " << base::toString(Address) << ": "
               << Failure.message();
    return false;
  }
  Impl->accept();
  return true;
}

void http_server::setUnreadableHandler(unreadable_handler OnUnreadable) {
  Impl->OnUnreadable = std::move(OnUnreadable);
}

void http_server::drain() { Impl->Draining = true; }

void http_server::stopAccepting() {
  Impl->Stopped = true;
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  for (session *Session : Impl->Sessions)
    Session->closeIfIdle();
}

std::size_t http_server::activeRequests() const { return Impl->ActiveRequests; }

} // namespace skylarkdyke::net
