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

/// \brief Settings of a mesh. The defaults suit an entry.
struct mesh_settings {
  /// This entry; PeerAddress is where peers dial it.
  member Self;
  /// Where the mesh listens, if that differs from PeerAddress.
  std::optional<base::endpoint> ListenAddress;
  /// Peer addresses that are dialled for as long as the mesh runs.
  std::vector<base::endpoint> Seeds;
  std::size_t MaxAccepted = 64;
  /// Largest number of known peer addresses; later ones are dropped.
  std::size_t MaxAddresses = 256;
  /// A connection with more bytes waiting to be sent is dropped. Up to the same
  /// number may be in the write that is under way.
  std::size_t MaxBufferedBytes = 4'000'000;
  std::chrono::milliseconds HeartbeatPeriod{200};
  /// Time for the WebSocket handshake, both ways.
  std::chrono::milliseconds HandshakeTimeout{1000};
  /// Time from the handshake to the peer's hello.
  std::chrono::milliseconds HelloTimeout{1000};
  /// A connection on which nothing arrives for this long is closed.
  std::chrono::milliseconds SilenceTimeout{5000};
  /// An unreachable member is forgotten after this time.
  std::chrono::milliseconds ForgetAfter{60'000};
  std::chrono::milliseconds FirstBackoff{100};
  std::chrono::milliseconds MaxBackoff{5000};
};

/// \brief Traffic of one message type. Bytes are those of encoded messages,
/// without the 2 to 14 bytes of a WebSocket frame head.
struct type_counters {
  std::uint64_t MessagesIn = 0;
  std::uint64_t MessagesOut = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
};

struct mesh_counters {
  /// By index in message.
  std::array<type_counters, MessageTypes> Types{};
  std::uint64_t Malformed = 0;
  std::uint64_t Oversized = 0;
  std::uint64_t UnknownType = 0;
  /// Connections refused for the peer's hello, or for its absence.
  std::uint64_t Refused = 0;
  /// Connections refused for MaxAccepted.
  std::uint64_t OverLimit = 0;
  /// Replies to requests that are not waiting: late or duplicate.
  std::uint64_t Late = 0;
  /// Messages that were not sent: no connection, or a full buffer.
  std::uint64_t Dropped = 0;
  /// Connections dropped for MaxBufferedBytes.
  std::uint64_t TooSlow = 0;
  std::uint64_t Dials = 0;
  /// Dialled connections that ended before the end of the handshake.
  std::uint64_t DialsFailed = 0;
  /// Accepted connections that ended before the end of the handshake.
  std::uint64_t HandshakesFailed = 0;
  /// Connections closed because both sides had dialled.
  std::uint64_t Duplicates = 0;
};

using request_message = std::variant<intent_record, seal_request>;
using reply_message = std::variant<intent_ack, seal_reply>;

/// \brief Full mesh between entry processes over WebSocket with CBOR messages.
/// Thread-safe, except for the functions that say otherwise.
///
/// One thread serves all connections, timers and handlers. Handlers must not
/// block, and must not call request().
class mesh {
public:
  template <typename Message>
  using handler = std::function<void(const member &From, const Message &)>;
  /// Called when a member is connected for the first time or again (Joined is
  /// true) and when what is known of it has changed.
  using member_handler = std::function<void(const member &Member, bool Joined)>;

  /// \param Detector decides which members are reachable; null for a timeout of
  /// 1 s
  explicit mesh(mesh_settings Settings,
                std::unique_ptr<failure_detector> Detector = nullptr);
  ~mesh();

  /// \brief Listens and starts the thread. Called at most once.
  /// \return false if the peer address cannot be bound
  bool start();

  /// \brief Closes all connections and ends the thread. Pending requests end
  /// without a reply.
  void stop();

  /// \brief Adds a handler of a message type. Only before start().
  template <typename Message> void onMessage(handler<Message> Handler) {
    addHandler(
        message(Message()).index(),
        [Handler = std::move(Handler)](const member &From, const message &Any) {
          Handler(From, std::get<Message>(Any));
        });
  }

  /// \brief Adds a handler of joining and changing members. Only before
  /// start().
  void onMember(member_handler Handler);

  /// \brief Calls a function periodically on the mesh thread. Only before
  /// start().
  /// \param Period time between calls, with a resolution of 50 ms
  void every(std::chrono::milliseconds Period, std::function<void()> Function);

  /// \brief Replaces the description of this entry and tells all peers.
  /// PeerAddress must not change.
  void setSelf(const member &Self);
  member self() const;

  /// \brief Changes the description of this entry as setSelf() does, without
  /// losing a concurrent change.
  void updateSelf(const std::function<void(member &)> &Change);

  /// \brief Sets the seat that hello messages carry.
  void setSeat(std::optional<std::uint32_t> Seat);

  /// \brief Sets the loads that heartbeats carry.
  void setLoads(std::vector<service_load> Loads);

  /// \brief Adds addresses to dial, for example from the platform's list. An
  /// address that is not added again is dropped ForgetAfter after its last
  /// use.
  void addAddresses(const std::vector<base::endpoint> &Addresses);

  /// \brief Sends a message to a member.
  /// \return false if it is certainly not sent; true does not say that it
  /// arrives
  bool send(base::incarnation_id To, const message &Message);

  /// \brief Sends a message to all connected members.
  void broadcast(const message &Message);

  /// \brief Sends a request and waits for its reply. Not on the mesh thread.
  /// \param Request its RequestId is replaced by a unique one
  /// \return the reply, or nothing if it did not arrive by the deadline or the
  /// connection was lost; the request may have taken effect nevertheless
  std::optional<reply_message> request(base::incarnation_id To,
                                       request_message Request,
                                       base::boot_time Deadline);

  /// \brief All other known entries, reachable or not.
  std::vector<member> members() const;

  /// \brief Number of known addresses that are neither connected nor have
  /// failed yet. Zero means that every known peer has been asked.
  std::size_t untriedAddresses() const;

  mesh_counters counters() const;

private:
  void addHandler(std::size_t Type, handler<message> Handler);

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
