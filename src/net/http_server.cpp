#include "skylarkdyke/net/http_server.hpp"

#include "net/detail/session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <glog/logging.h>

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

http_response makeResponse(unsigned Status, std::string Body,
                           const char *ContentType) {
  http_response Response(static_cast<bhttp::status>(Status), 11);
  if (!Body.empty())
    Response.set(bhttp::field::content_type, ContentType);
  Response.body() = std::move(Body);
  return Response;
}

namespace detail {

void session::start() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  setAckTimeout(Socket.native_handle(), CallerAckTimeout);
  awaitRequest();
}

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
  const base::message_limits Limits = Server->Limits();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
  Parser->body_limit(Limits.MaxBodyBytes);
  closeAt(base::boot_clock::now() + Limits.HeaderTimeout);
  bhttp::async_read_header(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        Self->onHeader(Result);
      });
}

void session::onHeader(const error_code &Failure) {
  if (Failure)
    return rejectUnreadable(Failure);
  if (Parser->is_done())
    return onBody({});
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
  ArrivedAt = base::boot_clock::now();
  Answerable = true;
  if (Request.count(bhttp::field::host) > 1)
    return answer(makeResponse(400, "more than one Host header\n"));
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
  if (!Answerable && !Stream)
    return;
  const peer_state State = peek();
  if (State == peer_state::Sending)
    return;
  if (State == peer_state::Silent)
    return watchForDisconnect();
  onCallerLeft();
}

void session::onCallerLeft() {
  Answerable = false;
  Stream.reset();
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
  unsigned Status = 0;
  if (Failure == bhttp::error::header_limit)
    Status = 431;
  else if (Failure == bhttp::error::body_limit)
    Status = 413;
  else if (Failure.category() ==
               bhttp::make_error_code(bhttp::error::bad_version).category() &&
           Failure != bhttp::error::end_of_stream &&
           Failure != bhttp::error::partial_message)
    Status = 400;
  if (Status == 0)
    return closeSocket();
  PeerKeepsAlive = false;
  Answerable = true;
  answer(makeResponse(Status, "the request cannot be read\n"));
}

} // namespace detail

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
    std::make_shared<detail::session>(shared_from_this(), std::move(Socket))
        ->start();
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

void http_server::drain() { Impl->Draining = true; }

void http_server::stopAccepting() {
  Impl->Stopped = true;
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  for (detail::session *Session : Impl->Sessions)
    Session->closeIfIdle();
}

std::size_t http_server::activeRequests() const { return Impl->ActiveRequests; }

} // namespace skylarkdyke::net
