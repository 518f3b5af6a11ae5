#include "skylarkdyke/net/http_channel.hpp"

#include "skylarkdyke/net/one_shot_timer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace skylarkdyke::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Maximum size of a response header.
static constexpr std::uint32_t MaxHeaderBytes = 8192;
/// Maximum size of what must be read as a whole: a header, the line before a
/// chunk, or the trailers.
static constexpr std::size_t MaxBufferBytes = 16384;
/// Maximum number of interim responses and responses to other requests that
/// are skipped in one call.
static constexpr unsigned MaxSkippedResponses = 16;
/// A connection on which the peer acknowledges nothing for this long is
/// closed.
static constexpr std::chrono::milliseconds PeerAckTimeout{1500};
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

/// String body that grows with the bytes received. Beast's string_body reserves
/// the whole Content-Length, which a peer may state at will.
struct growing_body {
  using value_type = std::string;

  class reader {
  public:
    template <class Header> reader(Header &, value_type &Body) : Body(Body) {}
    // Beast requires the names of these functions.
    // NOLINTBEGIN
    template <class Length> void init(const Length &, error_code &Failure) {
      Failure = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Bytes, error_code &Failure) {
      Failure = {};
      const std::size_t OldSize = Body.size();
      for (const auto Part : beast::buffers_range_ref(Bytes))
        Body.append(static_cast<const char *>(Part.data()), Part.size());
      return Body.size() - OldSize;
    }
    void finish(error_code &Failure) { Failure = {}; }
    // NOLINTEND

  private:
    value_type &Body;
  };
};

} // namespace

struct http_channel::impl {
  using parser = beast::http::response_parser<growing_body>;

  impl(asio::io_context &Loop, const base::endpoint &Peer,
       response_memory &Memory)
      : Loop(Loop), Socket(Loop), Timer(Loop), Peer(Peer), Memory(Memory),
        Buffer(MaxBufferBytes) {}

  void startConnect(const std::shared_ptr<http_channel> &Self);
  void startExchange(const std::shared_ptr<http_channel> &Self);
  void readResponse(const std::shared_ptr<http_channel> &Self);
  void readMore(const std::shared_ptr<http_channel> &Self);
  void onRead(const std::shared_ptr<http_channel> &Self,
              const error_code &Failure, std::size_t Size);
  void onResponse(const std::shared_ptr<http_channel> &Self,
                  const error_code &Failure);
  void setTimer(const std::shared_ptr<http_channel> &Self,
                base::boot_time Until, channel_fault Fault);
  void reclaim(const std::shared_ptr<http_channel> &Self);
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
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  http_request Request;
  call_limits Limits{};
  response_filter Filter;
  handler OnDone;
  /// Number of the current call; handlers of earlier calls are ignored.
  unsigned CallId = 0;
  std::optional<response_memory::holding> Holding;
  /// Bytes of all responses read in the current call.
  std::size_t ReceivedBytes = 0;
  unsigned SkippedResponses = 0;
  /// A read that uses Parser and Buffer is pending.
  bool ReadPending = false;
  bool Open = false;
  bool Reusable = false;
  bool RequestWritten = false;
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
  impl &State = *Impl;
  ++State.CallId;
  State.Request = std::move(Request);
  State.Limits = Limits;
  State.Filter = std::move(Filter);
  State.OnDone = std::move(OnDone);
  State.Reusable = false;
  State.RequestWritten = false;
  State.SendStarted = false;
  State.ReceivedBytes = 0;
  State.SkippedResponses = 0;
  const auto Self = shared_from_this();
  State.Holding.emplace(State.Memory, State.Peer, [Weak = weak_from_this()] {
    if (const auto Channel = Weak.lock())
      Channel->Impl->reclaim(Channel);
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
        if (Id != CallId || !OnDone)
          return;
        if (Result)
          return fail(channel_fault::ConnectRefused);
        if (Limits.MaySend && !Limits.MaySend())
          return fail(channel_fault::Withdrawn);
        Open = true;
        ConnectTime = base::boot_clock::now() - Started;
        error_code Ignored;
        Socket.set_option(tcp::no_delay(true), Ignored);
        setAckTimeout(Socket.native_handle(), PeerAckTimeout);
        startExchange(Self);
      });
}

void http_channel::impl::startExchange(
    const std::shared_ptr<http_channel> &Self) {
  SendStarted = true;
  setTimer(Self, Limits.Deadline, channel_fault::DeadlinePassed);
  // A write error is not reported: the peer may have sent a response before
  // it closed the connection.
  beast::http::async_write(
      Socket, Request,
      [this, Self, Id = CallId](const error_code &Result, std::size_t) {
        if (Id == CallId && !Result)
          RequestWritten = true;
      });
  readResponse(Self);
}

void http_channel::impl::readResponse(
    const std::shared_ptr<http_channel> &Self) {
  Parser.emplace();
  Parser->header_limit(MaxHeaderBytes);
  Parser->body_limit(Memory.maxResponseBytes());
  Parser->eager(true);
  if (Request.method() == beast::http::verb::head)
    Parser->skip(true);
  readMore(Self);
}

void http_channel::impl::readMore(const std::shared_ptr<http_channel> &Self) {
  ReadPending = true;
  beast::http::async_read_some(
      Socket, Buffer, *Parser,
      [this, Self, Id = CallId](const error_code &Result, std::size_t Size) {
        ReadPending = false;
        if (Id == CallId && OnDone)
          onRead(Self, Result, Size);
        else if (!OnDone)
          releaseMemory();
      });
}

void http_channel::impl::onRead(const std::shared_ptr<http_channel> &Self,
                                const error_code &Failure, std::size_t Size) {
  ReceivedBytes += Size;
  if (ReceivedBytes > Memory.maxResponseBytes())
    return fail(channel_fault::ExcessBytes);
  if (Failure || Parser->is_done())
    return onResponse(Self, Failure);
  Holding->resize(Buffer.capacity() + Parser->get().body().capacity());
  readMore(Self);
}

/// Maps a Beast read error to a fault.
/// \param ReceivedBytes whether part of the response was received
static channel_fault faultOf(const error_code &Failure, bool ReceivedBytes) {
  if (Failure == beast::http::error::end_of_stream)
    return channel_fault::ClosedBeforeResponse;
  if (Failure == beast::http::error::header_limit ||
      Failure == beast::http::error::body_limit ||
      Failure == beast::http::error::buffer_overflow)
    return channel_fault::ExcessBytes;
  if (Failure == beast::http::error::partial_message)
    return channel_fault::Truncated;
  if (Failure.category() ==
      beast::http::make_error_code(beast::http::error::bad_version).category())
    return channel_fault::Malformed;
  return ReceivedBytes ? channel_fault::Truncated
                       : channel_fault::ClosedBeforeResponse;
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

void http_channel::impl::onResponse(const std::shared_ptr<http_channel> &Self,
                                    const error_code &Failure) {
  if (Failure || !Parser->is_done())
    return fail(
        faultOf(Failure, Parser->is_header_done() || Parser->got_some()));
  const bool KeepAlive = Parser->keep_alive();
  auto Message = Parser->release();
  http_response Response(std::move(Message.base()), std::move(Message.body()));
  const bool Interim = Response.result_int() < 200;
  if (Interim || !Filter(Response)) {
    UnexpectedBytes = UnexpectedBytes || !Interim;
    if (!KeepAlive)
      return fail(channel_fault::ClosedBeforeResponse);
    if (++SkippedResponses > MaxSkippedResponses)
      return fail(channel_fault::ExcessBytes);
    return readResponse(Self);
  }
  Reusable = KeepAlive && RequestWritten && Buffer.size() == 0;
  UnexpectedBytes = UnexpectedBytes || Buffer.size() != 0;
  if (Reusable)
    ReusableUntil = base::boot_clock::now() +
                    std::chrono::duration_cast<std::chrono::nanoseconds>(
                        keepAliveOf(Response) * KeepAliveFraction);
  else
    closeSocket();
  Holding.reset();
  finish(std::move(Response));
}

/// Ends the call from a handler of its own, because the memory is reclaimed
/// while another channel handles its bytes.
void http_channel::impl::reclaim(const std::shared_ptr<http_channel> &Self) {
  asio::post(Loop, [this, Self, Id = CallId] {
    if (Id == CallId && OnDone)
      fail(channel_fault::MemoryLimit);
  });
}

void http_channel::impl::releaseMemory() {
  Parser.reset();
  Buffer.clear();
  Buffer.shrink_to_fit();
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
  const handler Handler = std::move(OnDone);
  OnDone = nullptr;
  Handler(std::move(Result));
}

void http_channel::cancel() {
  if (Impl->OnDone)
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
