#ifndef SKYLARKDYKE_NET_DETAIL_RECEIVED_REQUEST_HPP
#define SKYLARKDYKE_NET_DETAIL_RECEIVED_REQUEST_HPP

#include "net/detail/response_stream.hpp"
#include "skylarkdyke/net/http_server.hpp"

#include <memory>
#include <optional>
#include <string>

namespace skylarkdyke::net::detail {

class session;

/// \brief One request of a connection and its response.
///
/// It keeps the response, or the next piece of it, until the connection writes
/// it.
class received_request : public pending_request {
public:
  /// \param KeepAlive whether the caller keeps its connection open after the
  /// response
  /// \param Charge memory of the request
  received_request(std::weak_ptr<session> Connection, std::string CallerAddress,
                   http_request Request, bool KeepAlive,
                   std::unique_ptr<memory_account::charge> Charge);

  const http_request &request() const override { return Request; }
  base::boot_time arrivedAt() const override { return ArrivedAt; }
  const std::string &callerAddress() const override { return CallerAddress; }
  bool hasCallerDisconnected() const override;
  void onCallerDisconnected(std::function<void()> Callback) override {
    OnDisconnected = std::move(Callback);
  }
  void
  onResponseLost(std::function<void(const std::string &)> Callback) override {
    OnResponseLost = std::move(Callback);
  }
  void awaitTurn(request_concurrency NewConcurrency,
                 std::function<void()> Callback) override;
  void answer(http_response NewResponse) override;
  void startResponse(http_response_head NewHead,
                     std::optional<std::uint64_t> NewLength) override;
  void writePiece(std::string Body, bool Last,
                  std::function<void()> OnWritten) override;
  void abandon() override;

  /// \brief Returns whether the response must be given up to make room.
  bool isEvicted() const { return Charge->isEvicted(); }

  bool keepsAlive() const { return KeepAlive; }

  bool isExclusive() const {
    return Concurrency == request_concurrency::Exclusive;
  }

  /// \brief Runs the callback of awaitTurn(), if it has not run.
  void onTurn();

  /// \brief Returns the size of the request and of what waits of its response.
  std::size_t heldBytes() const;

  /// \brief Returns whether the response, or the last piece of it, was given.
  bool isComplete() const { return State == state::Complete; }

  /// \brief Returns whether abandon() was called before the response was
  /// complete.
  bool isAbandoned() const { return State == state::Abandoned; }

  /// \brief Returns whether a response waits that is not sent in pieces.
  bool hasResponse() const { return Response.has_value(); }

  /// \brief Returns whether a piece of a response waits.
  bool hasPiece() const { return Piece.has_value(); }

  /// \brief Returns whether a piece was taken by takeFrame().
  bool hasStartedToSend() const { return Stream.has_value(); }

  /// \brief Returns the response as it is sent. It stays valid until
  /// releaseSent().
  /// \param KeepOpen whether the connection stays open after it
  http_response &prepareResponse(bool KeepOpen);

  /// \brief Starts to send the response in pieces.
  /// \param KeepOpen whether the connection stays open after it
  void startStream(bool KeepOpen);

  /// \brief Returns the bytes of the piece that waits. They stay valid until
  /// releaseSent().
  response_stream::frame takeFrame();

  /// \brief Returns whether the connection stays open after the response that
  /// is being sent.
  bool leavesOpen() const { return LeavesOpen; }

  /// \brief Releases the memory of what was sent.
  void releaseSent();

  /// \brief Tells the sender of the response that its piece was written.
  void onPieceWritten();

  /// \brief Tells that the response could not be written completely.
  void onWriteFailed(const std::string &Reason);

  /// \brief Tells that the connection was closed before the response was
  /// written.
  void onConnectionClosed();

  /// \brief Releases the callbacks without running them. They may own the
  /// request.
  void releaseCallbacks();

private:
  enum class state {
    /// No response has been given.
    Unanswered,
    /// The response is given in pieces.
    Streaming,
    Complete,
    Abandoned,
    /// The connection was closed first.
    Closed,
  };

  void startSending();

  struct piece {
    std::string Body;
    bool Last;
  };

  std::weak_ptr<session> Connection;
  std::string CallerAddress;
  http_request Request;
  std::unique_ptr<memory_account::charge> Charge;
  base::boot_time ArrivedAt = base::boot_clock::now();
  bool KeepAlive;
  bool LeavesOpen = true;
  request_concurrency Concurrency = request_concurrency::Shared;
  state State = state::Unanswered;
  std::optional<http_response> Response;
  /// Head and body length of a response in pieces.
  http_response_head Head;
  std::optional<std::uint64_t> Length;
  std::optional<response_stream> Stream;
  std::optional<piece> Piece;
  std::function<void()> OnTurn;
  std::function<void()> OnWritten;
  std::function<void()> OnDisconnected;
  std::function<void(const std::string &)> OnResponseLost;
};

} // namespace skylarkdyke::net::detail

#endif
