#include "net/detail/session.hpp"

#include "net/detail/peer_state.hpp"
#include "net/detail/request_errors.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <vector>

namespace skylarkdyke::net::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

/// A connection on which the caller acknowledges nothing for this long is
/// closed.
static constexpr std::chrono::milliseconds CallerAckTimeout{5000};
/// Time between two looks for the caller's leaving while its bytes stay unread.
static constexpr std::chrono::milliseconds LeavingPollPeriod{50};

session::session(std::shared_ptr<http_server::impl> Owner, tcp::socket Socket)
    : Server(std::move(Owner)), Socket(std::move(Socket)), Timer(Server->Loop) {
  Server->Sessions.insert(this);
  error_code Failure;
  const auto Peer = this->Socket.remote_endpoint(Failure);
  if (!Failure)
    CallerAddress = Peer.address().to_string();
}

session::~session() {
  Server->ActiveRequests -= CountedRequests;
  Server->Sessions.erase(this);
}

void session::start() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  setAckTimeout(Socket.native_handle(), CallerAckTimeout);
  awaitRequest();
}

void session::closeIfIdle() {
  if (CountedRequests > 0)
    return;
  if (hasUnreadBytes())
    setBusy(true);
  else
    closeSocket();
}

bool session::hasCallerLeft() const {
  return CallerLeft || hasPeerClosed(Socket.native_handle());
}

bool session::hasUnreadBytes() {
  error_code Ignored;
  return Socket.available(Ignored) > 0;
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

/// Waits for a request on a connection without requests.
void session::awaitRequest() {
  setBusy(false);
  if (Buffer.size() > 0)
    return readHeader();
  if (Server->Stopped)
    closeIfIdle();
  if (!Socket.is_open())
    return;
  Buffer.shrink_to_fit();
  IdleSince = base::boot_clock::now();
  setIdleTimer();
  watch();
}

/// Waits until bytes arrive or the caller leaves.
void session::watch() {
  if (Watching || !Socket.is_open())
    return;
  if (PollTimer)
    PollTimer->cancel();
  Watching = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Result) {
                      Self->Watching = false;
                      if (!Result)
                        Self->onReadable();
                    });
}

void session::onReadable() {
  const bool IsReading =
      Reading == read_state::Header || Reading == read_state::Body;
  if (IsReading || Lingering || CallerLeft || !Socket.is_open())
    return;
  if (Line.empty())
    return readHeader();
  if (hasCallerLeft())
    return onCallerLeft();
  if (!hasUnreadBytes())
    return watch();
  // A wait for bytes would end at once.
  if (!PollTimer)
    PollTimer.emplace(Server->Loop);
  PollTimer->set(base::boot_clock::now() + LeavingPollPeriod,
                 [Self = shared_from_this()] { Self->onReadable(); });
}

void session::readHeader() {
  // Bytes of the request may be read from here on, so stopAccepting() must
  // not close the connection before the response is sent.
  setBusy(true);
  Reading = read_state::Header;
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
        if (Self->mayUseRead(Result))
          Self->onHeader(Result);
      });
}

/// Returns whether the request that was read is still of use.
bool session::mayUseRead(const error_code &Failure) {
  if (Lingering || !Socket.is_open())
    return false;
  if (Reading != read_state::Ended)
    return true;
  if (Failure && !statusOf(Failure))
    onCallerLeft();
  else
    watch();
  return false;
}

void session::onHeader(const error_code &Failure) {
  if (Failure)
    return rejectUnreadable(Failure);
  if (const char *Reason = findAmbiguity(Parser->get()))
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
  Reading = read_state::Body;
  closeAt(base::boot_clock::now() + TransferTimeout);
  bhttp::async_read(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        if (Self->mayUseRead(Result))
          Self->onBody(Result);
      });
}

void session::onBody(const error_code &Failure) {
  if (Failure)
    return rejectUnreadable(Failure);
  Timer.cancel();
  Reading = read_state::Waiting;
  const bool KeepAlive = Parser->keep_alive();
  http_request Message = Parser->release();
  if (Message.chunked())
    Message.base() = std::move(Header);
  const auto Request = std::make_shared<received_request>(
      weak_from_this(), CallerAddress, std::move(Message), KeepAlive);
  Line.push_back(Request);
  setBusy(false);
  watch();
  Server->OnRequest(Request);
}

/// Responds with an error status to a request that exceeds a limit or cannot
/// be parsed; closes the connection on any other read error.
void session::rejectUnreadable(const error_code &Failure) {
  if (const auto Status = statusOf(Failure))
    return reject(*Status, Failure.message());
  onCallerLeft();
}

void session::reject(unsigned Status, const std::string &Reason) {
  Reading = read_state::Ended;
  const std::size_t Limit =
      Status == 413 ? ReadLimits.MaxBodyBytes : ReadLimits.MaxHeaderBytes;
  auto Response = Server->OnUnreadable({Status, Reason, Limit, Parser->get()});
  const auto Request = std::make_shared<received_request>(
      weak_from_this(), CallerAddress, http_request(), false);
  Line.push_back(Request);
  setBusy(false);
  Request->answer(std::move(Response));
  watch();
}

void session::onCallerLeft() {
  const bool IsLastByteSent =
      Writing && !Line.empty() && Line.front()->isComplete();
  if (!IsLastByteSent)
    return close();
  CallerLeft = true;
  Reading = read_state::Ended;
  endRequestsFrom(1);
}

void session::closeSocket() {
  error_code Ignored;
  Timer.cancel();
  if (PollTimer)
    PollTimer->cancel();
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
}

/// Closes the connection and ends its requests.
void session::close() {
  closeSocket();
  setBusy(false);
  endRequestsFrom(0);
}

/// Ends the requests from an index on, as their caller has left.
void session::endRequestsFrom(std::size_t Index) {
  const auto First = Line.begin() + static_cast<std::ptrdiff_t>(Index);
  const std::vector<std::shared_ptr<received_request>> Ended(First, Line.end());
  Line.erase(First, Line.end());
  countRequests();
  for (const auto &Request : Ended)
    Request->onConnectionClosed();
}

void session::setBusy(bool NewBusy) {
  Busy = NewBusy;
  countRequests();
}

void session::countRequests() {
  const std::size_t Count = Line.size() + (Busy ? 1 : 0);
  Server->ActiveRequests += Count - CountedRequests;
  CountedRequests = Count;
}

} // namespace skylarkdyke::net::detail
