#ifndef SKYLARKDYKE_GATEWAY_DETAIL_RESPONSE_RELAY_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_RESPONSE_RELAY_HPP

#include "skylarkdyke/net/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace skylarkdyke::gateway::detail {

/// \brief Sends a response on to the caller while the target still sends it.
///
/// The channel to the target does not read while a piece is written, so a slow
/// caller slows the target down.
class response_relay {
public:
  /// \brief Starts the response.
  /// \param Channel delivers the body in pieces
  response_relay(std::shared_ptr<net::pending_request> Caller,
                 std::shared_ptr<net::http_channel> Channel,
                 const net::http_response_head &Head);

  /// \brief Sends a piece of the body, and continues to read after it.
  void pass(std::string Piece);

  /// \brief Sends the last piece of the body.
  void finish(std::string LastPiece);

  /// \brief Returns the number of bytes of the body that were passed on.
  std::uint64_t passedBytes() const { return PassedBytes; }

  /// \brief Returns how long the target had to wait for the caller.
  std::chrono::nanoseconds waitedForCaller() const;

  /// \brief Returns whether a piece was passed on that is not written yet.
  bool isWaitingForCaller() const { return Progress->WriteStarted.has_value(); }

private:
  struct write_progress {
    std::optional<base::boot_time> WriteStarted;
    /// Time of all writes that have ended.
    std::chrono::nanoseconds WriteTime{0};
  };

  std::shared_ptr<net::pending_request> Caller;
  std::shared_ptr<net::http_channel> Channel;
  /// Shared with the callbacks, which may outlive the relay.
  std::shared_ptr<write_progress> Progress = std::make_shared<write_progress>();
  std::uint64_t PassedBytes = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
