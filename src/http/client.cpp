#include "skylarkdyke/http/client.hpp"

#include "net/detail/head_scanner.hpp"
#include "net/detail/response_status.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkdyke::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using tcp = asio::ip::tcp;

const char *toString(exchange_fault Fault) {
  switch (Fault) {
  case exchange_fault::ConnectRefused:
    return "connect_refused";
  case exchange_fault::ConnectTimeout:
    return "connect_timeout";
  case exchange_fault::ClosedWithoutAnswer:
    return "closed_without_answer";
  case exchange_fault::Truncated:
    return "truncated";
  case exchange_fault::DeadlinePassed:
    return "deadline_passed";
  case exchange_fault::CallerGone:
    return "caller_gone";
  case exchange_fault::Malformed:
    return "malformed";
  case exchange_fault::TooLarge:
    return "too_large";
  case exchange_fault::Endless:
    return "endless";
  case exchange_fault::ConnectionLimit:
    return "connection_limit";
  }
  return "unknown_fault";
}

static std::mutex SourceMutex;
static std::string SourceAddress;

void setSourceAddress(const std::string &Address) {
  const std::lock_guard<std::mutex> Lock(SourceMutex);
  SourceAddress = Address;
}

/// Binds a socket to the process's source address, if one is set.
static bool bindSource(tcp::socket &Socket) {
  const std::lock_guard<std::mutex> Lock(SourceMutex);
  if (SourceAddress.empty())
    return true;
  error_code Failure;
  Socket.open(tcp::v4(), Failure);
  // The port is chosen at connect, so that one source port can serve several
  // peers.
  const int One = 1;
  setsockopt(Socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &One,
             sizeof(One));
  Socket.bind(tcp::endpoint(asio::ip::make_address(SourceAddress), 0), Failure);
  return !Failure;
}

bool isClosedByPeer(int Socket) {
  if (Socket < 0)
    return false;
  char Byte = 0;
  const ssize_t Count = recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct connection::impl {
  explicit impl(const base::endpoint &Peer)
      : Socket(Io), Host(base::toString(Peer)) {}

  /// Runs handlers until Done or the deadline; closes the socket at the
  /// deadline or when the caller leaves.
  std::optional<exchange_fault>
  runUntil(const bool &Done, base::boot_time Deadline, const bool &CallerLeft) {
    Io.restart();
    while (!Done && !CallerLeft) {
      const auto Left = Deadline - base::boot_clock::now();
      if (Left <= base::boot_clock::duration::zero())
        break;
      if (Io.run_one_for(Left) == 0 && Io.stopped())
        Io.restart();
    }
    if (Done)
      return std::nullopt;
    error_code Ignored;
    Socket.close(Ignored);
    Io.restart();
    Io.poll();
    return CallerLeft ? exchange_fault::CallerGone
                      : exchange_fault::DeadlinePassed;
  }

  asio::io_context Io;
  tcp::socket Socket;
  std::string Host;
  /// Holds a head, a line of the chunked coding or trailers, each whole.
  beast::flat_buffer Buffer{MaxAnswerHeaderBytes};
  bool Reusable = true;
};

connection::connection(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
connection::~connection() = default;
connection::connection(connection &&) noexcept = default;
connection &connection::operator=(connection &&) noexcept = default;

base::result<connection, exchange_error>
connection::open(const base::endpoint &Peer, base::boot_time Deadline) {
  auto Impl = std::make_unique<impl>(Peer);
  if (!bindSource(Impl->Socket))
    return exchange_error{exchange_fault::ConnectRefused, true};
  bool Done = false;
  const bool NeverLeft = false;
  error_code Failure;
  const tcp::endpoint Address(asio::ip::make_address(Peer.Address), Peer.Port);
  Impl->Socket.async_connect(Address, [&](error_code Result) {
    Failure = Result;
    Done = true;
  });
  if (Impl->runUntil(Done, Deadline, NeverLeft))
    return exchange_error{exchange_fault::ConnectTimeout, true};
  if (Failure)
    return exchange_error{exchange_fault::ConnectRefused, true};
  Impl->Socket.set_option(tcp::no_delay(true), Failure);
  return connection(std::move(Impl));
}

bool connection::isReusable() const noexcept {
  if (!Impl->Reusable || !Impl->Socket.is_open())
    return false;
  // A readable idle connection holds either the peer's close or bytes that
  // belong to no request.
  char Byte = 0;
  return recv(Impl->Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <
             0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Maps a Beast read error to a fault.
static exchange_fault faultOf(const error_code &Failure, bool GotSome) {
  if (Failure == beast::http::error::body_limit ||
      Failure == beast::http::error::header_limit ||
      Failure == beast::http::error::buffer_overflow)
    return exchange_fault::Endless;
  if (Failure == beast::http::error::end_of_stream)
    return exchange_fault::ClosedWithoutAnswer;
  if (Failure == beast::http::error::partial_message)
    return exchange_fault::Truncated;
  if (Failure.category() ==
      beast::http::make_error_code(beast::http::error::bad_version).category())
    return exchange_fault::Malformed;
  return GotSome ? exchange_fault::Truncated
                 : exchange_fault::ClosedWithoutAnswer;
}

static beast::http::request<beast::http::string_body>
toBeast(const request &Request, const std::string &Host) {
  beast::http::request<beast::http::string_body> Message;
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.version(11);
  for (const auto &[Name, Value] : Request.Headers)
    Message.set(Name, Value);
  Message.set(beast::http::field::host, Host);
  Message.body() = Request.Body;
  Message.prepare_payload();
  return Message;
}

static response
fromBeast(beast::http::response<beast::http::string_body> Message) {
  response Response;
  Response.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Response.Headers[std::string(Field.name_string())] =
        std::string(Field.value());
  Response.Body = std::move(Message.body());
  return Response;
}

namespace {

/// Reads from a socket, and fails once a line of the head that is being read
/// begins with a blank.
class scanning_stream {
public:
  using executor_type = tcp::socket::executor_type;

  explicit scanning_stream(tcp::socket &Socket) : Socket(Socket) {}
  // Beast requires the names of these functions.
  // NOLINTBEGIN
  executor_type get_executor() { return Socket.get_executor(); }
  template <class Buffers, class Handler>
  void async_read_some(const Buffers &Space, Handler &&OnRead) {
    Socket.async_read_some(
        Space, [this, Space, OnRead = std::forward<Handler>(OnRead)](
                   error_code Failure, std::size_t Size) mutable {
          if (!Failure && !scan(Space, Size))
            Failure = beast::http::error::bad_field;
          OnRead(Failure, Size);
        });
  }
  // NOLINTEND

  /// Starts with the next head, of which bytes may have been read already.
  bool startHead(const beast::flat_buffer &Read) {
    Scanner = {};
    return scan(Read.cdata(), Read.size());
  }

private:
  template <class Buffers> bool scan(const Buffers &Read, std::size_t Size) {
    bool IsProper = true;
    for (const asio::const_buffer Part :
         beast::buffers_range(beast::buffers_prefix(Size, Read)))
      IsProper =
          IsProper &&
          Scanner.scan({static_cast<const char *>(Part.data()), Part.size()});
    return IsProper;
  }

  tcp::socket &Socket;
  net::detail::head_scanner Scanner;
};

/// Reads one answer, within its limits, behind interim answers.
class answer_reader {
public:
  answer_reader(tcp::socket &Socket, beast::flat_buffer &Buffer,
                std::size_t MaxAnswerBytes, bool HasNoBody)
      : Stream(Socket), Buffer(Buffer), MaxAnswerBytes(MaxAnswerBytes),
        HasNoBody(HasNoBody) {}

  /// Reads until Done; then Fault tells whether the answer is whole.
  /// \param WriteResult result of the write of the request
  void start(const error_code &WriteResult) {
    // The kernel reports the loss of a connection once. If a write got the
    // report, a read sees an end as if the peer had closed in order. A broken
    // pipe follows an orderly end of what the peer sends.
    ConnectionLost = WriteResult && WriteResult != asio::error::broken_pipe;
    readHead();
  }

  /// Returns the answer once it is whole, without trailers.
  beast::http::response<beast::http::string_body> release() {
    auto Message = Parser->release();
    if (ChunkedHead)
      Message.base() = std::move(*ChunkedHead);
    return Message;
  }

  bool Done = false;
  std::optional<exchange_fault> Fault;
  std::optional<beast::http::response_parser<beast::http::string_body>> Parser;

private:
  void readHead() {
    Parser.emplace();
    Parser->body_limit(MaxAnswerBytes);
    Parser->skip(HasNoBody);
    if (!Stream.startHead(Buffer))
      return finish(exchange_fault::Malformed);
    readSome();
  }

  void readSome() {
    // The head is read by itself (eager is not set yet): otherwise Boost.Beast
    // would allocate an announced body before it reports that it is too large.
    beast::http::async_read_some(
        Stream, Buffer, *Parser,
        [this](const error_code &Failure, std::size_t Bytes) {
          Received += Bytes;
          if (Failure)
            finish(faultOfRead(Failure));
          else
            onSome();
        });
  }

  exchange_fault faultOfRead(const error_code &Failure) const {
    const bool GotHead = Parser->is_header_done();
    if (Failure == beast::http::error::body_limit && GotHead &&
        Parser->content_length())
      return exchange_fault::TooLarge;
    return faultOf(Failure, GotHead);
  }

  /// Called when the head, or more of the body, has been read.
  void onSome() {
    if (!HasHead && Received > MaxAnswerHeaderBytes)
      return finish(exchange_fault::Endless);
    const unsigned Status = Parser->get().result_int();
    if (!net::detail::isResponseStatus(Status))
      return finish(exchange_fault::Malformed);
    if (Status < FirstFinalStatus)
      return readHead();
    if (!HasHead && Parser->chunked())
      ChunkedHead = Parser->get().base();
    HasHead = true;
    if (Parser->is_done() && Parser->need_eof() && ConnectionLost)
      return finish(exchange_fault::Truncated);
    if (Parser->is_done())
      return finish(std::nullopt);
    // Counts the chunked coding, too, which takes part of a link's cap.
    if (Received > MaxAnswerBytes + MaxAnswerHeaderBytes)
      return finish(exchange_fault::Endless);
    Parser->eager(true);
    readSome();
  }

  void finish(std::optional<exchange_fault> Result) {
    Fault = Result;
    Done = true;
  }

  static constexpr unsigned FirstFinalStatus = 200;

  scanning_stream Stream;
  beast::flat_buffer &Buffer;
  std::size_t MaxAnswerBytes;
  bool HasNoBody;
  bool HasHead = false;
  /// Head of an answer with a chunked body: the parser adds the trailers to its
  /// own one.
  std::optional<beast::http::response_header<>> ChunkedHead;
  /// A write found that the connection had ended, but not in order.
  bool ConnectionLost = false;
  /// Bytes of the answer and of the interim answers so far.
  std::size_t Received = 0;
};

} // namespace

base::result<response, exchange_error>
connection::exchange(const request &Request, const exchange_limits &Limits) {
  impl &Conn = *Impl;
  // A peer that closed while the connection was idle has not seen the request
  // yet.
  if (!isReusable() || isClosedByPeer(Conn.Socket.native_handle())) {
    Conn.Reusable = false;
    return exchange_error{exchange_fault::ClosedWithoutAnswer, true};
  }
  if (std::min(Limits.Deadline, Limits.SendBy) <= base::boot_clock::now())
    return exchange_error{exchange_fault::DeadlinePassed, true};
  Conn.Reusable = false;
  bool CallerLeft = false;
  const auto Message = toBeast(Request, Conn.Host);
  answer_reader Reader(Conn.Socket, Conn.Buffer, Limits.MaxAnswerBytes,
                       Request.Method == "HEAD");
  asio::posix::stream_descriptor Caller(Conn.Io);
  if (Limits.CallerSocket >= 0) {
    Caller.assign(dup(Limits.CallerSocket));
    Caller.async_wait(asio::posix::stream_descriptor::wait_read,
                      [&](error_code Result) {
                        if (!Result && isClosedByPeer(Limits.CallerSocket))
                          CallerLeft = true;
                      });
  }
  beast::http::async_write(Conn.Socket, Message,
                           [&](error_code Result, std::size_t) {
                             // A write error is not final: the peer may have
                             // answered before closing its side.
                             Reader.start(Result);
                           });
  const auto Interrupted =
      Conn.runUntil(Reader.Done, Limits.Deadline, CallerLeft);
  error_code Ignored;
  Caller.close(Ignored);
  Conn.Io.restart();
  Conn.Io.poll();
  if (Interrupted)
    return exchange_error{*Interrupted, false};
  if (Reader.Fault) {
    Conn.Socket.close(Ignored);
    return exchange_error{*Reader.Fault, false};
  }
  Conn.Reusable = Reader.Parser->keep_alive() && Conn.Buffer.size() == 0;
  if (!Conn.Reusable)
    Conn.Socket.close(Ignored);
  return fromBeast(Reader.release());
}

base::result<response, exchange_error> fetch(const base::endpoint &Peer,
                                             const request &Request,
                                             const exchange_limits &Limits) {
  auto Opened = connection::open(Peer, Limits.Deadline);
  if (!Opened)
    return Opened.error();
  return Opened.value().exchange(Request, Limits);
}

} // namespace skylarkdyke::http
