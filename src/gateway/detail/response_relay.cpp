#include "gateway/detail/response_relay.hpp"

#include "gateway/detail/send_outcome.hpp"

namespace skylarkdyke::gateway::detail {

response_relay::response_relay(std::shared_ptr<net::pending_request> Caller,
                               std::shared_ptr<net::http_channel> Channel,
                               const net::http_response_head &Head)
    : Caller(std::move(Caller)), Channel(std::move(Channel)) {
  const auto Length = bodyLength(Head);
  net::http_response_head CallerHead = Head;
  removeHopByHopHeaders(CallerHead);
  this->Caller->startResponse(std::move(CallerHead), Length);
}

void response_relay::pass(std::string Piece) {
  PassedBytes += Piece.size();
  Progress->WriteStarted = base::boot_clock::now();
  Caller->writePiece(std::move(Piece), false,
                     [Channel = Channel, Progress = Progress] {
                       Progress->WriteTime +=
                           base::boot_clock::now() - *Progress->WriteStarted;
                       Progress->WriteStarted.reset();
                       Channel->resume();
                     });
}

std::chrono::nanoseconds response_relay::waitedForCaller() const {
  const auto Current = Progress->WriteStarted
                           ? base::boot_clock::now() - *Progress->WriteStarted
                           : std::chrono::nanoseconds(0);
  return Progress->WriteTime + Current;
}

void response_relay::finish(std::string LastPiece) {
  PassedBytes += LastPiece.size();
  Caller->writePiece(std::move(LastPiece), true, nullptr);
}

} // namespace skylarkdyke::gateway::detail
