#include "net/detail/received_request.hpp"

#include "net/detail/session.hpp"

#include <utility>

namespace skylarkdyke::net::detail {

namespace bhttp = boost::beast::http;

/// Memory of the header of a response.
static constexpr std::size_t ResponseHeaderBytes = 1024;

received_request::received_request(
    std::weak_ptr<session> Connection, std::string CallerAddress,
    http_request Request, bool KeepAlive,
    std::unique_ptr<memory_account::charge> Charge)
    : Connection(std::move(Connection)),
      CallerAddress(std::move(CallerAddress)), Request(std::move(Request)),
      Charge(std::move(Charge)), KeepAlive(KeepAlive) {
  this->Charge->setStage(memory_account::stage::Running, ArrivedAt);
}

bool received_request::hasCallerDisconnected() const {
  const auto Session = Connection.lock();
  return !Session || Session->hasCallerLeft();
}

void received_request::awaitTurn(request_concurrency NewConcurrency,
                                 std::function<void()> Callback) {
  const auto Session = Connection.lock();
  if (State != state::Unanswered || !Session)
    return;
  Concurrency = NewConcurrency;
  OnTurn = std::move(Callback);
  if (Session->mayRun(*this))
    onTurn();
}

void received_request::onTurn() {
  if (const auto Callback = std::exchange(OnTurn, nullptr))
    Callback();
}

std::size_t received_request::heldBytes() const {
  std::size_t Bytes = Request.target().size() + Request.body().size();
  for (const auto &Field : Request)
    Bytes += Field.name_string().size() + Field.value().size();
  if (Response)
    Bytes += Response->body().size();
  if (Piece)
    Bytes += Piece->Body.size();
  return Bytes;
}

void received_request::answer(http_response NewResponse) {
  const auto Session = Connection.lock();
  if (State != state::Unanswered || !Session)
    return;
  State = state::Complete;
  OnDisconnected = nullptr;
  OnTurn = nullptr;
  const std::size_t Bytes =
      Charge->bytes() + NewResponse.body().capacity() + ResponseHeaderBytes;
  Response = Charge->resizeForResponse(Bytes, base::boot_clock::now())
                 ? std::move(NewResponse)
                 : makeResponse(502, "no memory for the response\n");
  Session->writeNext();
}

void received_request::startResponse(http_response_head NewHead,
                                     std::optional<std::uint64_t> NewLength) {
  if (State != state::Unanswered)
    return;
  State = state::Streaming;
  OnTurn = nullptr;
  Head = std::move(NewHead);
  Length = NewLength;
}

void received_request::writePiece(std::string Body, bool Last,
                                  std::function<void()> NewOnWritten) {
  const auto Session = Connection.lock();
  if (State != state::Streaming || !Session)
    return;
  Piece = piece{std::move(Body), Last};
  OnWritten = std::move(NewOnWritten);
  if (Last) {
    State = state::Complete;
    OnDisconnected = nullptr;
  }
  Session->writeNext();
}

void received_request::abandon() {
  if (State != state::Unanswered && State != state::Streaming)
    return;
  State = state::Abandoned;
  OnTurn = nullptr;
  OnWritten = nullptr;
  OnDisconnected = nullptr;
  if (const auto Session = Connection.lock())
    Session->onAbandoned(*this);
}

http_response &received_request::prepareResponse(bool KeepOpen) {
  LeavesOpen = KeepOpen;
  startSending();
  Response->version(11);
  Response->keep_alive(KeepOpen);
  // A response to HEAD carries the length of a body that is not sent, so the
  // Content-Length header is left as it is.
  if (Request.method() != bhttp::verb::head)
    Response->prepare_payload();
  return *Response;
}

void received_request::startStream(bool KeepOpen) {
  LeavesOpen = KeepOpen;
  Stream.emplace(std::move(Head), Length, KeepOpen);
}

response_stream::frame received_request::takeFrame() {
  startSending();
  piece Next = std::move(*Piece);
  Piece.reset();
  return Stream->makeFrame(std::move(Next.Body), Next.Last);
}

void received_request::releaseSent() {
  Response.reset();
  if (Stream)
    Stream->releasePiece();
}

/// From now on the caller's reading is awaited.
void received_request::startSending() {
  Charge->setStage(memory_account::stage::Sending, base::boot_clock::now());
}

void received_request::onPieceWritten() {
  Charge->setStage(memory_account::stage::Running, base::boot_clock::now());
  if (const auto Callback = std::exchange(OnWritten, nullptr))
    Callback();
}

void received_request::onWriteFailed(const std::string &Reason) {
  State = state::Closed;
  if (const auto Callback = std::exchange(OnResponseLost, nullptr))
    Callback(Reason);
}

void received_request::onConnectionClosed() {
  if (State == state::Complete)
    return onWriteFailed("the connection was closed");
  if (State == state::Abandoned)
    return;
  State = state::Closed;
  OnTurn = nullptr;
  OnWritten = nullptr;
  if (const auto Callback = std::exchange(OnDisconnected, nullptr))
    Callback();
}

void received_request::releaseCallbacks() {
  OnTurn = nullptr;
  OnWritten = nullptr;
  OnDisconnected = nullptr;
  OnResponseLost = nullptr;
}

} // namespace skylarkdyke::net::detail
