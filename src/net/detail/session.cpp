#include "net/detail/session.hpp"

#include "net/detail/peer_state.hpp"
#include "net/detail/request_errors.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
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
/// Memory of an open connection without a request.
static constexpr std::size_t ConnectionBytes = 4096;
/// Size of the read buffer beyond the maximum size of a header. Header and
/// trailers, and the line before a chunk, must fit the buffer.
static constexpr std::size_t ReadAheadBytes = 4096;
/// Memory of a header field besides its name and value.
static constexpr std::size_t FieldOverheadBytes = 80;
static constexpr const char *NoMemoryReason = "no memory for the request";

session::session(std::shared_ptr<http_server::impl> Owner, tcp::socket Socket)
    : Server(std::move(Owner)), Socket(std::move(Socket)), Timer(Server->Loop) {
  Server->Sessions.insert(this);
  error_code Failure;
  const auto Peer = this->Socket.remote_endpoint(Failure);
  if (!Failure)
    CallerAddress = Peer.address().to_string();
  ConnectionCharge.emplace(Server->Memory, CallerAddress,
                           memory_account::stage::Connected, ActiveAt, nullptr);
}

session::~session() {
  for (const auto &Request : Line)
    Request->releaseCallbacks();
  Server->ActiveRequests -= CountedRequests;
  Server->Sessions.erase(this);
}

void session::start() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  setAckTimeout(Socket.native_handle(), CallerAckTimeout);
  if (!ConnectionCharge->resize(ConnectionBytes, ActiveAt))
    return closeSocket();
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
  ActiveAt = IdleSince;
  setIdleTimer();
  watch();
}

/// Reads the next request while earlier ones have no response, as far as the
/// limits allow.
void session::readAhead() {
  if (Buffer.size() > 0 && mayReadAhead())
    return readHeader();
  if (!isReading())
    watch();
}

/// Continues to read after the last request without a response got it. Time
/// limits run from here on: a slow caller delays nobody before.
void session::readOn() {
  switch (Reading) {
  case read_state::Waiting:
    return awaitRequest();
  case read_state::Header:
    return closeAt(base::boot_clock::now() + ReadLimits.HeaderTimeout);
  case read_state::HeldBody:
    return startBody();
  case read_state::Body:
    return closeAt(base::boot_clock::now() + TransferTimeout);
  case read_state::Ended:
    return closeAfterResponse();
  }
}

std::size_t session::heldBytes() const {
  std::size_t Bytes = 0;
  for (const auto &Request : Line)
    Bytes += Request->heldBytes();
  return Bytes;
}

bool session::mayReadAhead() const {
  return Reading == read_state::Waiting && !Server->Draining &&
         Line.size() < Server->ReadAhead.MaxRequests &&
         heldBytes() < Server->ReadAhead.MaxBytes;
}

bool session::expectsContinue() const {
  return beast::iequals(Parser->get()[bhttp::field::expect], "100-continue");
}

/// Returns whether the body of the current request may be read now. A caller
/// that expects "100 Continue" gets it in its turn.
bool session::mayReadBody() const {
  if (Line.empty())
    return true;
  const auto Length = Parser->content_length();
  return Length && !expectsContinue() &&
         heldBytes() + *Length <= Server->ReadAhead.MaxBytes;
}

bool session::mayRun(const received_request &Request) const {
  if (Request.isExclusive())
    return isFirst(Request);
  for (const auto &Earlier : Line) {
    if (Earlier.get() == &Request)
      return true;
    if (Earlier->isExclusive())
      return false;
  }
  return true;
}

void session::runTurns() {
  std::vector<std::shared_ptr<received_request>> Ready;
  for (const auto &Request : Line)
    if (mayRun(*Request))
      Ready.push_back(Request);
  for (const auto &Request : Ready)
    Request->onTurn();
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
  if (isReading() || Lingering || CallerLeft || !Socket.is_open())
    return;
  if (Line.empty())
    return readHeader();
  if (hasCallerLeft())
    return onCallerLeft();
  if (mayReadAhead())
    return readHeader();
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
  ActiveAt = base::boot_clock::now();
  ReadLimits = Server->Limits();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
      ReadLimits.MaxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
  // onHeader() checks the length of the body with the limit of then.
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  Buffer.max_size(
      std::max(ReadLimits.MaxHeaderBytes + ReadAheadBytes, Buffer.capacity()));
  startCharge();
  if (!ReadCharge->resize(Buffer.max_size(), ActiveAt))
    return reject(503, NoMemoryReason);
  if (Line.empty())
    closeAt(ActiveAt + ReadLimits.HeaderTimeout);
  ReadPending = true;
  bhttp::async_read_header(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        Self->ReadPending = false;
        if (Self->mayUseRead(Result))
          Self->onHeader(Result);
      });
}

void session::startCharge() {
  ReadCharge = std::make_unique<memory_account::charge>(
      Server->Memory, CallerAddress, memory_account::stage::Receiving, ActiveAt,
      [&Loop = Server->Loop, Weak = weak_from_this()] {
        asio::post(Loop, [Weak] {
          if (const auto Self = Weak.lock())
            Self->onEvicted();
        });
      });
}

/// Returns the memory of a parsed header.
static std::size_t memoryOf(const http_request::header_type &Header) {
  std::size_t Bytes = Header.target().size();
  for (const auto &Field : Header)
    Bytes +=
        Field.name_string().size() + Field.value().size() + FieldOverheadBytes;
  return Bytes;
}

/// Charges what the current request holds or will need for the length that it
/// states.
bool session::chargeRead() {
  const std::size_t BodyBytes =
      std::max<std::size_t>(Parser->get().body().allocatedBytes(),
                            Parser->content_length().value_or(0));
  return ReadCharge->resize(Buffer.max_size() + HeaderBytes + BodyBytes,
                            base::boot_clock::now());
}

/// Gives up the request that is being read, or the connection with a response
/// that the caller does not read, to make room for others.
void session::onEvicted() {
  if (Lingering || !Socket.is_open())
    return;
  // Nothing more is answered behind the last response.
  if (ReadCharge && ReadCharge->isEvicted() && Reading != read_state::Ended)
    return reject(503, NoMemoryReason);
  if (std::any_of(Line.begin(), Line.end(),
                  [](const auto &Request) { return Request->isEvicted(); }))
    close();
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
  // A copy of the header is sent to the target.
  HeaderBytes = 2 * memoryOf(Parser->get());
  if (Parser->is_done())
    return onBody({});
  // The parser adds the trailers to the header.
  if (Parser->chunked())
    Header = Parser->get().base();
  ReadLimits.MaxBodyBytes = Server->Limits().MaxBodyBytes;
  Parser->body_limit(ReadLimits.MaxBodyBytes);
  if (Parser->content_length().value_or(0) > ReadLimits.MaxBodyBytes)
    return rejectUnreadable(make_error_code(bhttp::error::body_limit));
  if (mayReadBody())
    return startBody();
  Reading = read_state::HeldBody;
  watch();
}

void session::startBody() {
  if (!chargeRead())
    return reject(503, NoMemoryReason);
  if (!expectsContinue())
    return readBody();
  Reading = read_state::Body;
  static const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
      Socket, asio::buffer(Continue),
      [Self = shared_from_this()](const error_code &Result, std::size_t) {
        if (Result)
          Self->close();
        else if (Self->mayUseRead(Result))
          Self->readBody();
      });
}

void session::readBody() {
  Reading = read_state::Body;
  Parser->eager(true);
  Parser->get().body().reserve(
      static_cast<std::size_t>(Parser->content_length().value_or(0)));
  NextProgressAt = 0;
  parseBody();
}

/// Parses the bytes that were read, and reads more unless the body is complete.
void session::parseBody() {
  error_code Failure;
  if (Buffer.size() > 0)
    Buffer.consume(Parser->put(Buffer.data(), Failure));
  if (Failure == bhttp::error::need_more)
    Failure = {};
  if (Failure || Parser->is_done())
    return onBody(Failure);
  if (Buffer.size() == Buffer.max_size())
    return rejectUnreadable(make_error_code(bhttp::error::header_limit));
  if (!chargeRead())
    return reject(503, NoMemoryReason);
  recordProgress();
  ReadPending = true;
  Socket.async_read_some(
      Buffer.prepare(Buffer.max_size() - Buffer.size()),
      [Self = shared_from_this()](const error_code &Result, std::size_t Size) {
        Self->ReadPending = false;
        if (Self->mayUseRead(Result))
          Self->onBodyBytes(Result, Size);
      });
}

void session::onBodyBytes(const error_code &Failure, std::size_t Size) {
  if (Failure)
    return onCallerLeft();
  Buffer.commit(Size);
  parseBody();
}

void session::recordProgress() {
  const std::size_t Size = Parser->get().body().size();
  if (Size < NextProgressAt)
    return;
  NextProgressAt = Size + MinProgressBytes;
  ActiveAt = base::boot_clock::now();
  ReadCharge->recordProgress(ActiveAt);
  if (Line.empty())
    closeAt(ActiveAt + TransferTimeout);
}

void session::onBody(const error_code &Failure) {
  if (Failure)
    return rejectUnreadable(Failure);
  const bool KeepAlive = Parser->keep_alive();
  const bool Chunked = Parser->chunked();
  auto Received = Parser->release();
  http_request Message(std::move(Received.base()), Received.body().take());
  if (Chunked)
    Message.base() = std::move(Header);
  const auto Now = base::boot_clock::now();
  if (!ReadCharge->resize(HeaderBytes + Message.body().capacity(), Now))
    return reject(503, NoMemoryReason);
  if (Line.empty())
    Timer.cancel();
  Reading = KeepAlive ? read_state::Waiting : read_state::Ended;
  HasHadRequest = true;
  releaseReadMemory();
  const auto Request = std::make_shared<received_request>(
      weak_from_this(), CallerAddress, std::move(Message), KeepAlive,
      std::move(ReadCharge));
  Line.push_back(Request);
  setBusy(false);
  Server->OnRequest(Request);
  readAhead();
}

/// Releases what was needed to read a request. What is left belongs to the next
/// one.
void session::releaseReadMemory() {
  Parser.reset();
  if (Buffer.capacity() > ConnectionBytes)
    Buffer.shrink_to_fit();
  ConnectionCharge->resize(ConnectionBytes + Buffer.capacity(),
                           base::boot_clock::now());
}

/// Responds with an error status to a request that exceeds a limit or cannot
/// be parsed; closes the connection on any other read error.
void session::rejectUnreadable(const error_code &Failure) {
  if (const auto Status = statusOf(Failure))
    return reject(*Status, Failure.message());
  onCallerLeft();
}

void session::reject(unsigned Status, const std::string &Reason) {
  const bool ParserInUse = ReadPending && Reading == read_state::Header;
  Reading = read_state::Ended;
  const std::size_t Limit =
      Status == 413 ? ReadLimits.MaxBodyBytes : ReadLimits.MaxHeaderBytes;
  auto Response =
      Server->OnUnreadable({Status, Reason, Limit, Parser->get().base()});
  if (!ParserInUse)
    Parser.reset();
  if (!ReadPending) {
    Buffer.clear();
    Buffer.shrink_to_fit();
  }
  ReadCharge->release();
  const auto Request = std::make_shared<received_request>(
      weak_from_this(), CallerAddress, http_request(), false,
      std::move(ReadCharge));
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
  Server->Sessions.erase(this);
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
