#ifndef SKYLARKDYKE_ENTRIES_MESH_HPP
#define SKYLARKDYKE_ENTRIES_MESH_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/entries/failure_detector.hpp"
#include "skylarkdyke/entries/member.hpp"
#include "skylarkdyke/entries/message.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace skylarkdyke::entries {

/// \brief Settings of a mesh. The defaults are those of an entry in production.
struct mesh_settings {
  /// This entry. Peers connect to its PeerAddress.
  member Self;
  /// Address to listen on, if it differs from PeerAddress.
  std::optional<base::endpoint> ListenAddress;
  /// Peer addresses that never expire: the mesh dials them whenever they are
  /// not connected.
  std::vector<base::endpoint> Seeds;
  /// Maximum number of accepted connections.
  std::size_t MaxAccepted = 64;
  /// Maximum number of known peer addresses; further ones are ignored.
  std::size_t MaxAddresses = 256;
  /// Maximum number of bytes in the send buffer of a connection; a connection
  /// that exceeds it is dropped. Up to the same number of bytes may
  /// additionally be in the current write operation.
  std::size_t MaxBufferedBytes = 4'000'000;
  std::chrono::milliseconds HeartbeatPeriod{200};
  /// Time limit for the WebSocket handshake, for dialled and for accepted
  /// connections.
  std::chrono::milliseconds HandshakeTimeout{1000};
  /// Time limit from the handshake to the peer's hello.
  std::chrono::milliseconds HelloTimeout{1000};
  /// A connection on which nothing arrives for this long is closed.
  std::chrono::milliseconds IdleTimeout{5000};
  /// Time after which an unreachable member or an unused address is removed.
  std::chrono::milliseconds ForgetAfter{60'000};
  /// Longest delay after the first failed dial of an address. It doubles with
  /// each further failure, up to MaxBackoff.
  std::chrono::milliseconds InitialBackoff{100};
  std::chrono::milliseconds MaxBackoff{5000};
};

/// \brief Traffic of one message type. Bytes are those of encoded messages,
/// without the WebSocket frame header of 2 to 14 bytes.
struct type_counters {
  std::uint64_t MessagesIn = 0;
  std::uint64_t MessagesOut = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
};

/// \brief Event counters of a mesh.
struct mesh_counters {
  /// By index of the type in message.
  std::array<type_counters, MessageTypeCount> Types{};
  /// Malformed messages and WebSocket protocol errors.
  std::uint64_t Malformed = 0;
  /// Messages that exceeded the size limit.
  std::uint64_t Oversized = 0;
  /// Messages of unknown types or formats.
  std::uint64_t UnknownType = 0;
  /// Connections refused because of an unacceptable or missing hello.
  std::uint64_t Refused = 0;
  /// Connections refused because of MaxAccepted.
  std::uint64_t OverLimit = 0;
  /// Replies that match no pending request: late or duplicate ones.
  std::uint64_t LateReplies = 0;
  /// Messages that were not sent because there was no connection or a buffer
  /// was full, and addresses that were ignored because of MaxAddresses.
  std::uint64_t Dropped = 0;
  /// Connections dropped because of MaxBufferedBytes.
  std::uint64_t TooSlow = 0;
  /// Attempts to connect to a peer.
  std::uint64_t Dials = 0;
  /// Dialled connections that ended before the end of the handshake.
  std::uint64_t DialsFailed = 0;
  /// Accepted connections that ended before the end of the handshake.
  std::uint64_t HandshakesFailed = 0;
  /// Duplicate connections, closed because both sides had dialled.
  std::uint64_t Duplicates = 0;
};

using request_message = std::variant<intent_record, seal_request>;
using reply_message = std::variant<intent_ack, seal_reply>;

/// \brief Full mesh of connections between entry processes, with CBOR messages
/// over WebSocket. Thread-safe, except for functions that are documented
/// otherwise.
///
/// One thread, the mesh thread, serves all connections, timers and handlers.
/// Handlers must not block, and must not call request().
class mesh {
public:
  template <typename Message>
  using handler = std::function<void(const member &From, const Message &)>;
  /// Callback when a member connects or reconnects (Joined is true) and when
  /// its state changes.
  using member_handler = std::function<void(const member &Member, bool Joined)>;

  /// \param Detector decides which members are reachable; null for a detector
  /// with a time-out of 1 s
  explicit mesh(mesh_settings Settings,
                std::unique_ptr<failure_detector> Detector = nullptr);
  ~mesh();

  /// \brief Starts to listen and starts the mesh thread. Call at most once.
  /// \return false if the peer address cannot be bound
  bool start();

  /// \brief Closes all connections and ends the mesh thread. Pending requests
  /// return without a reply.
  void stop();

  /// \brief Adds a handler for a message type. Call only before start().
  template <typename Message> void onMessage(handler<Message> Handler) {
    addHandler(message(Message()).index(),
               [Handler = std::move(Handler)](const member &From,
                                              const message &Received) {
                 Handler(From, std::get<Message>(Received));
               });
  }

  /// \brief Adds a handler for members that join or change. Call only before
  /// start().
  void onMemberChange(member_handler Handler);

  /// \brief Calls a function periodically on the mesh thread. Call only before
  /// start().
  /// \param Period time between calls, with a resolution of 50 ms
  void runPeriodically(std::chrono::milliseconds Period,
                       std::function<void()> Function);

  /// \brief Replaces the state of this entry and sends it to all peers.
  /// PeerAddress must not change.
  void setSelf(const member &Self);
  member self() const;

  /// \brief Modifies the state of this entry atomically and sends it to all
  /// peers. Unlike setSelf(), it does not overwrite a concurrent change.
  /// \param Change called with the current state while a mutex is held
  void updateSelf(const std::function<void(member &)> &Change);

  /// \brief Sets the seat in hello messages and sends it to all peers.
  void setSeat(std::optional<std::uint32_t> Seat);

  /// \brief Sets the loads that are sent in heartbeats.
  void setLoads(std::vector<service_load> Loads);

  /// \brief Adds addresses to dial, for example from the platform's list. An
  /// address that is not added again is removed when it has been unused for
  /// ForgetAfter.
  void addAddresses(const std::vector<base::endpoint> &Addresses);

  /// \brief Sends a message to a member.
  /// \return false if the message is certainly not sent; true does not
  /// guarantee delivery
  bool send(base::incarnation_id To, const message &Message);

  /// \brief Sends a message to all connected members.
  void broadcast(const message &Message);

  /// \brief Sends a request and waits for its reply. Must not be called on the
  /// mesh thread.
  /// \param Request its RequestId is replaced by a unique one
  /// \return the reply, or nothing if it did not arrive by the deadline or the
  /// connection was lost; the request may have taken effect nevertheless
  std::optional<reply_message> request(base::incarnation_id To,
                                       request_message Request,
                                       base::boot_time Deadline);

  /// \brief All other known entries, reachable or not.
  std::vector<member> members() const;

  /// \brief Number of known addresses that have neither connected nor failed
  /// yet. Zero means that each known peer has been dialled or has connected.
  std::size_t untriedAddresses() const;

  mesh_counters counters() const;

private:
  void addHandler(std::size_t Type, handler<message> Handler);

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
