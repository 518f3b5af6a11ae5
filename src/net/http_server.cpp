#include "skylarkdyke/net/http_server.hpp"

#include "net/detail/request_errors.hpp"
#include "net/detail/session.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <glog/logging.h>
#include <limits>

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

http_response detail::respondToUnreadable(const unreadable_request &Request) {
  return makeResponse(Request.Status, "the request cannot be read\n");
}

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
  setActive(false);
  if (Buffer.size() > 0)
    return readHeader();
  if (Server->Stopped)
    closeIfIdle();
  if (!Socket.is_open())
    return;
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
  if (Failure && Stopped)
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

/// Accepts the connections that wait in the accept queue. They would be reset
/// when the server stops to listen, with the requests sent on them.
void http_server::impl::acceptQueued() {
  error_code Failure;
  Acceptor.non_blocking(true, Failure);
  while (!Failure && Sessions.size() < MaxConnections) {
    tcp::socket Socket(Loop);
    Acceptor.accept(Socket, Failure);
    if (!Failure)
      std::make_shared<detail::session>(shared_from_this(), std::move(Socket))
          ->start();
  }
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
  if (Impl->Stopped)
    return;
  Impl->acceptQueued();
  Impl->Stopped = true;
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  for (detail::session *Session : Impl->Sessions)
    Session->closeIfIdle();
}

std::size_t http_server::activeRequests() const { return Impl->ActiveRequests; }

} // namespace skylarkdyke::net
