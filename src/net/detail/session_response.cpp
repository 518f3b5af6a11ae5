#include "net/detail/session.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

namespace skylarkdyke::net::detail {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

/// Time for which a connection stays open after its last response, so that the
/// caller can read it and close first.
static constexpr std::chrono::milliseconds LingerTimeout{500};
/// The same time for a caller that goes on sending the body of a request that
/// was answered early: many callers read the response only after the body.
static constexpr std::chrono::milliseconds MaxLingerTime{5000};

void session::answer(http_response NewResponse) {
  if (!Answerable)
    return;
  Answerable = false;
  OnDisconnected = nullptr;
  error_code Ignored;
  Socket.cancel(Ignored);
  Response = std::move(NewResponse);
  Response.version(11);
  const bool Close = mustClose();
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

void session::startResponse(http_response_head Head,
                            std::optional<std::uint64_t> Length) {
  if (!Answerable)
    return;
  Answerable = false;
  Stream =
      std::make_shared<response_stream>(std::move(Head), Length, !mustClose());
}

void session::writePiece(std::string Piece, bool Last,
                         std::function<void()> OnWritten) {
  if (!Stream)
    return;
  const auto Current = Stream;
  if (Last) {
    Stream.reset();
    OnDisconnected = nullptr;
    error_code Ignored;
    Socket.cancel(Ignored);
  }
  closeAt(base::boot_clock::now() + TransferTimeout);
  asio::async_write(Socket, Current->makeFrame(std::move(Piece), Last),
                    [Self = shared_from_this(), Current, Last,
                     OnWritten = std::move(OnWritten)](const error_code &Result,
                                                       std::size_t) {
                      if (Last)
                        Self->finishWrite(Result, !Current->keepsAlive());
                      else
                        Self->onPieceWritten(Result, Current, OnWritten);
                    });
}

void session::onPieceWritten(const error_code &Failure,
                             const std::shared_ptr<response_stream> &Written,
                             const std::function<void()> &OnWritten) {
  Written->releasePiece();
  if (Stream != Written)
    return;
  Timer.cancel();
  if (Failure)
    return onCallerLeft();
  OnWritten();
}

void session::finishWrite(const error_code &Failure, bool Close) {
  // An idle connection keeps no body.
  std::string().swap(Response.body());
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
  // A stop does not wait for the body of a request that was answered early.
  LingerUntil = base::boot_clock::now() +
                (Server->Draining ? LingerTimeout : MaxLingerTime);
  discardBytes();
}

void session::discardBytes() {
  closeAt(std::min(base::boot_clock::now() + LingerTimeout, LingerUntil));
  Socket.async_read_some(
      asio::buffer(Server->Discarded),
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        if (!Failure)
          return Self->discardBytes();
        Self->setActive(false);
        Self->closeSocket();
      });
}

void session::abandon() {
  if (!Answerable && !Stream)
    return;
  Answerable = false;
  Stream.reset();
  OnDisconnected = nullptr;
  setActive(false);
  closeSocket();
}

} // namespace skylarkdyke::net::detail
