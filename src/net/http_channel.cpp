#include "skylarkdyke/net/http_channel.hpp"

#include "net/detail/response_parser.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace skylarkdyke::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Maximum number of interim responses and responses to other requests that
/// are skipped in one call.
static constexpr unsigned MaxSkippedResponses = 16;
/// A connection on which the peer acknowledges nothing for this long is
/// closed.
static constexpr std::chrono::milliseconds PeerAckTimeout{1500};
/// Size up to which a body fits the receive window of a peer that does not read
/// yet.
static constexpr std::size_t MaxWindowBytes = 16384;
/// Fraction of the announced keep-alive time after which a connection is no
/// longer reused, so that a request does not cross the close by the peer.
static constexpr double KeepAliveFraction = 0.8;
/// Keep-alive time assumed if the peer announces none.
static constexpr std::chrono::seconds DefaultKeepAlive{4};

const char *toString(channel_fault Fault) {
  switch (Fault) {
  case channel_fault::ConnectRefused:
    return "connect_refused";
  case channel_fault::ConnectTimeout:
    return "connect_timeout";
  case channel_fault::ClosedBeforeResponse:
    return "closed_before_response";
  case channel_fault::Truncated:
    return "truncated";
  case channel_fault::Malformed:
    return "malformed";
  case channel_fault::ExcessBytes:
    return "excess_bytes";
  case channel_fault::MemoryLimit:
    return "memory_limit";
  case channel_fault::DeadlinePassed:
    return "deadline_passed";
  case channel_fault::Cancelled:
    return "cancelled";
  case channel_fault::Withdrawn:
    return "withdrawn";
  }
  return "unknown_fault";
}

void setAckTimeout(int Socket, std::chrono::milliseconds Timeout) {
  const auto TimeoutMs = static_cast<unsigned>(Timeout.count());
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TimeoutMs,
             sizeof(TimeoutMs));
}

namespace {

/// A request that is being written.
struct outgoing_request {
  using message = beast::http::request<beast::http::span_body<const char>>;

  outgoing_request(http_request::header_type Header,
                   std::shared_ptr<const std::string> Body)
      : Body(std::move(Body)), Message(std::move(Header)) {
    if (this->Body)
      Message.body() = {this->Body->data(), this->Body->size()};
  }

  std::shared_ptr<const std::string> Body;
  message Message;
};

} // namespace

struct http_channel::impl {
  impl(asio::io_context &Loop, const base::endpoint &Peer,
       response_memory &Memory)
      : Loop(Loop), Socket(Loop), Timer(Loop), Peer(Peer), Memory(Memory) {}

  void startConnect(const std::shared_ptr<http_channel> &Self);
  void startExchange(const std::shared_ptr<http_channel> &Self);
  std::chrono::milliseconds ackTimeout() const;
  void readResponse(const std::shared_ptr<http_channel> &Self);
  void readMore(const std::shared_ptr<http_channel> &Self);
  void onRead(const std::shared_ptr<http_channel> &Self,
              const error_code &Failure, std::size_t Size);
  void parse(const std::shared_ptr<http_channel> &Self);
  void onProgress(const std::shared_ptr<http_channel> &Self);
  void decideUse();
  void readBody(const std::shared_ptr<http_channel> &Self);
  void deliverPiece(const std::shared_ptr<http_channel> &Self, bool IsFirst);
  bool exceedsLimit() const;
  void onComplete(const std::shared_ptr<http_channel> &Self);
  void skipResponse(const std::shared_ptr<http_channel> &Self, bool KeepAlive);
  void setTimer(const std::shared_ptr<http_channel> &Self,
                base::boot_time Until, channel_fault Fault);
  void reclaim(const std::shared_ptr<http_channel> &Self, unsigned Id);
  void releaseMemory();
  void fail(channel_fault Fault);
  void finish(call_result Result);
  void closeSocket() {
    error_code Ignored;
    Socket.close(Ignored);
    Open = false;
  }

  asio::io_context &Loop;
  tcp::socket Socket;
  one_shot_timer Timer;
  base::endpoint Peer;
  response_memory &Memory;
  detail::response_parser Response;
  /// Request without its body.
  http_request Request;
  /// Body of the request until it is written.
  std::shared_ptr<const std::string> RequestBody;
  call_limits Limits{};
  response_observer Observer;
  /// What happens to the current response; nothing until its head was read.
  std::optional<response_use> Use;
  /// Number of the current call; handlers of earlier calls are ignored.
  unsigned CallId = 0;
  std::optional<response_memory::holding> Holding;
  /// Bytes of all responses read in the current call.
  std::size_t ReceivedBytes = 0;
  unsigned SkippedResponses = 0;
  /// A read that uses Response is pending.
  bool ReadPending = false;
  /// A piece was delivered, and resume() has not been called yet.
  bool Paused = false;
  bool Open = false;
  bool Reusable = false;
  bool RequestWritten = false;
  /// A write found that the connection had ended, but not in order.
  bool ConnectionLost = false;
  bool SendStarted = false;
  bool UnexpectedBytes = false;
  base::boot_time ReusableUntil{};
  std::chrono::nanoseconds ConnectTime{0};
};

http_channel::http_channel(std::unique_ptr<impl> Impl)
    : Impl(std::move(Impl)) {}
http_channel::~http_channel() = default;

std::shared_ptr<http_channel> http_channel::create(asio::io_context &Loop,
                                                   const base::endpoint &Peer,
                                                   response_memory &Memory) {
  return std::shared_ptr<http_channel>(
      new http_channel(std::make_unique<impl>(Loop, Peer, Memory)));
}

void http_channel::call(http_request Request, const call_limits &Limits,
                        response_filter Filter, handler OnDone) {
  auto Body =
      std::make_shared<const std::string>(std::exchange(Request.body(), {}));
  callStreaming(
      std::move(Request), std::move(Body), Limits,
      {[Filter = std::move(Filter)](const http_response_head &Head, bool) {
         return Filter(http_response(http_response_head(Head)))
                    ? response_use::Collect
                    : response_use::Skip;
       },
       nullptr, std::move(OnDone)});
}

void http_channel::callStreaming(http_request Request,
                                 std::shared_ptr<const std::string> Body,
                                 const call_limits &Limits,
                                 response_observer Observer) {
  impl &State = *Impl;
  ++State.CallId;
  State.Request = std::move(Request);
  State.RequestBody = std::move(Body);
  State.Limits = Limits;
  State.Observer = std::move(Observer);
  State.Paused = false;
  State.Reusable = false;
  State.RequestWritten = false;
  State.ConnectionLost = false;
  State.SendStarted = false;
  State.ReceivedBytes = 0;
  State.SkippedResponses = 0;
  const auto Self = shared_from_this();
  State.Holding.emplace(State.Memory, State.Peer,
                        [Weak = weak_from_this(), Id = State.CallId] {
                          if (const auto Channel = Weak.lock())
                            Channel->Impl->reclaim(Channel, Id);
                        });
  if (State.Open)
    State.startExchange(Self);
  else
    State.startConnect(Self);
}

void http_channel::impl::setTimer(const std::shared_ptr<http_channel> &Self,
                                  base::boot_time Until, channel_fault Fault) {
  Timer.set(Until, [this, Self, Fault] { fail(Fault); });
}

void http_channel::impl::startConnect(
    const std::shared_ptr<http_channel> &Self) {
  error_code Failure;
  Socket.open(tcp::v4(), Failure);
  const auto Address = asio::ip::make_address(Peer.Address, Failure);
  const auto Started = base::boot_clock::now();
  setTimer(Self, std::min(Limits.ConnectDeadline, Limits.Deadline),
           channel_fault::ConnectTimeout);
  Socket.async_connect(
      tcp::endpoint(Address, Peer.Port),
      [this, Self, Started, Id = CallId](const error_code &Result) {
        if (Id != CallId)
          return;
        if (Result)
          return fail(channel_fault::ConnectRefused);
        if (Limits.MaySend && !Limits.MaySend(Request))
          return fail(channel_fault::Withdrawn);
        Open = true;
        ConnectTime = base::boot_clock::now() - Started;
        error_code Ignored;
        Socket.set_option(tcp::no_delay(true), Ignored);
        startExchange(Self);
      });
}

/// Returns the limit for the current request. The kernel also counts the time
/// for which the peer keeps its receive window closed: a peer that is at work
/// on the request may read a long body late, so that only the deadline limits
/// it then.
std::chrono::milliseconds http_channel::impl::ackTimeout() const {
  if (!RequestBody || RequestBody->size() <= MaxWindowBytes)
    return PeerAckTimeout;
  return std::max(PeerAckTimeout,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Limits.Deadline - base::boot_clock::now()));
}

void http_channel::impl::startExchange(
    const std::shared_ptr<http_channel> &Self) {
  SendStarted = true;
  setAckTimeout(Socket.native_handle(), ackTimeout());
  setTimer(Self, Limits.Deadline, channel_fault::DeadlinePassed);
  const auto Outgoing = std::make_shared<outgoing_request>(
      std::move(Request.base()), std::exchange(RequestBody, nullptr));
  // A write error does not end the call: the peer may have sent a response
  // before it closed the connection.
  beast::http::async_write(Socket, Outgoing->Message,
                           [this, Self, Outgoing, Id = CallId](
                               const error_code &Result, std::size_t) {
                             if (Id != CallId)
                               return;
                             RequestWritten = !Result;
                             // A broken pipe follows an orderly end of what the
                             // peer sends.
                             ConnectionLost =
                                 Result && Result != asio::error::broken_pipe;
                           });
  readResponse(Self);
}

void http_channel::impl::readResponse(
    const std::shared_ptr<http_channel> &Self) {
  Use.reset();
  Response.start(Request.method() == beast::http::verb::head);
  if (Response.hasBytes())
    return parse(Self);
  readMore(Self);
}

void http_channel::impl::readMore(const std::shared_ptr<http_channel> &Self) {
  const asio::mutable_buffer Space = Response.prepare();
  if (Space.size() == 0)
    return fail(channel_fault::ExcessBytes);
  ReadPending = true;
  Socket.async_read_some(
      Space,
      [this, Self, Id = CallId](const error_code &Result, std::size_t Size) {
        ReadPending = false;
        if (Id == CallId)
          onRead(Self, Result, Size);
        else if (!Observer.OnEnd)
          releaseMemory();
      });
}

void http_channel::impl::onRead(const std::shared_ptr<http_channel> &Self,
                                const error_code &Failure, std::size_t Size) {
  Response.commit(Size);
  ReceivedBytes += Size;
  if (!Failure)
    return parse(Self);
  // The kernel reports the loss of a connection once. If a write got the
  // report, a read sees an end as if the peer had closed in order.
  if (const auto Fault = Response.parseEnd(Failure, !ConnectionLost))
    return fail(*Fault);
  onProgress(Self);
}

/// Parses the bytes read. What is left of them needs more bytes.
void http_channel::impl::parse(const std::shared_ptr<http_channel> &Self) {
  if (const auto Fault = Response.parse())
    return fail(*Fault);
  onProgress(Self);
}

void http_channel::impl::onProgress(const std::shared_ptr<http_channel> &Self) {
  const bool HeadJustRead = !Use && Response.isHeadDone();
  if (HeadJustRead)
    decideUse();
  if (exceedsLimit())
    return fail(channel_fault::ExcessBytes);
  if (Response.isDone())
    return onComplete(Self);
  if (Use == response_use::Stream)
    return deliverPiece(Self, HeadJustRead);
  readBody(Self);
}

void http_channel::impl::decideUse() {
  if (Response.head().result_int() < 200) {
    Use = response_use::Skip;
    return;
  }
  Use = Observer.OnHead(Response.head(), Response.isDone());
  UnexpectedBytes = UnexpectedBytes || Use == response_use::Skip;
}

bool http_channel::impl::exceedsLimit() const {
  if (Use == response_use::Stream)
    return false;
  const bool MoreExpected = Use && !Response.isDone();
  return ReceivedBytes > Memory.maxResponseBytes() ||
         (MoreExpected &&
          Response.contentLength().value_or(0) > Memory.maxResponseBytes());
}

/// Reads on after the head or a part of the body.
void http_channel::impl::readBody(const std::shared_ptr<http_channel> &Self) {
  if (Use == response_use::Skip)
    Response.takeBody();
  if (Use)
    Response.reserveForBody();
  Holding->resize(Response.heldBytes());
  readMore(Self);
}

void http_channel::impl::deliverPiece(const std::shared_ptr<http_channel> &Self,
                                      bool IsFirst) {
  std::string Piece = Response.takeBody();
  if (Piece.empty() && !IsFirst)
    return readBody(Self);
  // The piece is held until it was passed on.
  Holding->resize(Response.heldBytes() + Piece.capacity());
  Paused = true;
  Observer.OnPiece(std::move(Piece));
}

void http_channel::resume() {
  if (std::exchange(Impl->Paused, false))
    Impl->readBody(shared_from_this());
}

/// Returns the time for which the peer keeps an idle connection open, in
/// whole seconds.
static std::chrono::seconds keepAliveOf(const http_response &Response) {
  const auto Value = Response[beast::http::field::keep_alive];
  const std::size_t Position = Value.find("timeout=");
  if (Position == beast::string_view::npos)
    return DefaultKeepAlive;
  const std::string Number(Value.substr(Position + 8));
  return std::chrono::seconds(std::strtol(Number.c_str(), nullptr, 10));
}

void http_channel::impl::onComplete(const std::shared_ptr<http_channel> &Self) {
  const bool KeepAlive = Response.keepsAlive();
  if (Use == response_use::Skip)
    return skipResponse(Self, KeepAlive);
  http_response Message = Response.release();
  Reusable = KeepAlive && RequestWritten && !Response.hasBytes();
  UnexpectedBytes = UnexpectedBytes || Response.hasBytes();
  if (Reusable)
    ReusableUntil = base::boot_clock::now() +
                    std::chrono::duration_cast<std::chrono::nanoseconds>(
                        keepAliveOf(Message) * KeepAliveFraction);
  else
    closeSocket();
  // An idle connection keeps no buffer for a large body.
  Response.shrink();
  Holding.reset();
  finish(std::move(Message));
}

void http_channel::impl::skipResponse(const std::shared_ptr<http_channel> &Self,
                                      bool KeepAlive) {
  if (!KeepAlive)
    return fail(channel_fault::ClosedBeforeResponse);
  if (++SkippedResponses > MaxSkippedResponses)
    return fail(channel_fault::ExcessBytes);
  readResponse(Self);
}

/// Ends a call from a handler of its own, because the memory is reclaimed while
/// another channel handles its bytes. The call may have ended before: its
/// memory is then released once the pending read has been aborted.
void http_channel::impl::reclaim(const std::shared_ptr<http_channel> &Self,
                                 unsigned Id) {
  asio::post(Loop, [this, Self, Id] {
    if (Id == CallId)
      fail(channel_fault::MemoryLimit);
  });
}

void http_channel::impl::releaseMemory() {
  Response.clear();
  Holding.reset();
}

void http_channel::impl::fail(channel_fault Fault) {
  closeSocket();
  // A pending read releases the memory once it has been aborted.
  if (!ReadPending)
    releaseMemory();
  finish(channel_error{Fault, !SendStarted});
}

void http_channel::impl::finish(call_result Result) {
  ++CallId;
  Timer.cancel();
  RequestBody.reset();
  Paused = false;
  const response_observer Ended = std::exchange(Observer, {});
  Ended.OnEnd(std::move(Result));
}

void http_channel::cancel() {
  if (Impl->Observer.OnEnd)
    Impl->fail(channel_fault::Cancelled);
}

void http_channel::close() {
  cancel();
  Impl->closeSocket();
}

bool http_channel::isReusable(base::boot_time Now) const {
  if (!Impl->Open || !Impl->Reusable || Now >= Impl->ReusableUntil)
    return false;
  // An idle connection is readable if the peer has closed it or has sent
  // bytes that belong to no request.
  char Byte = 0;
  return recv(Impl->Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <
             0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool http_channel::isOpen() const { return Impl->Open; }
bool http_channel::sawUnexpectedBytes() const { return Impl->UnexpectedBytes; }
std::chrono::nanoseconds http_channel::connectTime() const {
  return Impl->ConnectTime;
}

} // namespace skylarkdyke::net
