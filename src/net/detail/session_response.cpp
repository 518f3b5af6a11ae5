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

void session::writeNext() {
  if (Writing || Line.empty() || !Socket.is_open())
    return;
  const std::shared_ptr<received_request> First = Line.front();
  if (First->isAbandoned())
    return close();
  if (First->hasResponse())
    writeResponse(First);
  else if (First->hasPiece())
    writePiece(First);
}

/// Returns whether the connection closes after the response to the first
/// request, and reads no further request then. A response that closes the
/// connection promises that no later request was read, so it must be the last
/// one.
bool session::closesAfter(const received_request &First) {
  const bool Close =
      !First.keepsAlive() || (Server->Draining && Line.size() == 1);
  if (Close)
    Reading = read_state::Ended;
  return Close;
}

void session::writeResponse(const std::shared_ptr<received_request> &First) {
  http_response &Response = First->prepareResponse(!closesAfter(*First));
  Writing = true;
  closeAt(base::boot_clock::now() + TransferTimeout);
  bhttp::async_write(Socket, Response,
                     [Self = shared_from_this(),
                      First](const error_code &Result, std::size_t) {
                       Self->onResponseWritten(Result, First);
                     });
}

void session::writePiece(const std::shared_ptr<received_request> &First) {
  if (!First->hasStartedToSend())
    First->startStream(!closesAfter(*First));
  const bool Last = First->isComplete();
  Writing = true;
  closeAt(base::boot_clock::now() + TransferTimeout);
  asio::async_write(Socket, First->takeFrame(),
                    [Self = shared_from_this(), First,
                     Last](const error_code &Result, std::size_t) {
                      if (Last)
                        Self->onResponseWritten(Result, First);
                      else
                        Self->onPieceWritten(Result, First);
                    });
}

void session::onPieceWritten(const error_code &Failure,
                             const std::shared_ptr<received_request> &First) {
  Writing = false;
  First->releaseSent();
  if (!isFirst(*First))
    return;
  Timer.cancel();
  if (Failure)
    return onCallerLeft();
  First->onPieceWritten();
}

void session::onResponseWritten(
    const error_code &Failure, const std::shared_ptr<received_request> &First) {
  Writing = false;
  First->releaseSent();
  if (!isFirst(*First))
    return;
  Timer.cancel();
  Line.pop_front();
  if (Failure)
    First->onWriteFailed(Failure.message());
  if (Failure || CallerLeft)
    return close();
  if (!First->leavesOpen())
    return closeAfterResponse();
  onFirstAnswered();
}

void session::onFirstAnswered() {
  countRequests();
  runTurns();
  writeNext();
  if (!Socket.is_open())
    return;
  if (Line.empty())
    readOn();
  else
    readAhead();
}

void session::onAbandoned(const received_request &Request) {
  if (isFirst(Request))
    close();
}

/// Closes the connection once the caller has closed it or is silent. If
/// unread bytes of the caller were there at the close, the connection would be
/// reset, and the caller could lose the response.
void session::closeAfterResponse() {
  error_code Ignored;
  Lingering = true;
  setBusy(true);
  Socket.cancel(Ignored);
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
        Self->close();
      });
}

} // namespace skylarkdyke::net::detail
