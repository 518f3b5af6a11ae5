#ifndef SKYLARKDYKE_ENTRIES_DETAIL_MESH_IMPL_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_MESH_IMPL_HPP

#include "entries/detail/peer_address_table.hpp"
#include "entries/detail/request_table.hpp"
#include "entries/detail/websocket.hpp"
#include "skylarkdyke/entries/mesh.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/circular_buffer.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace skylarkdyke::entries {

/// \brief Implementation of the mesh. Functions named on...() and those that
/// take a connection run on the mesh thread only.
struct mesh::impl {
  using websocket = detail::websocket;
  using websocket_ptr = detail::websocket_ptr;

  struct connection {
    websocket_ptr Socket;
    /// True if this entry dialled, false if it accepted the connection.
    bool Dialled = false;
    base::endpoint DialledAddress;
    /// Address in the peer's hello.
    base::endpoint PeerAddress;
    /// The WebSocket handshake is complete.
    bool Open = false;
    /// The close handshake is in progress, so nothing more is sent.
    bool Closing = false;
    base::boot_time HelloDeadline;
    base::boot_time LastReceived;
    /// Incarnation in the peer's hello; zero before the hello.
    base::incarnation_id Peer;
    /// Generation of the member list that was last sent to the peer.
    std::uint64_t SentGeneration = 0;
  };

  struct known_member {
    member Info;
    /// Null while not connected.
    connection *Connection = nullptr;
    base::boot_time LastReceived;
  };

  struct periodic_task {
    std::chrono::milliseconds Period;
    std::function<void()> Function;
    base::boot_time NextRun;
  };

  impl(mesh_settings Settings, std::unique_ptr<failure_detector> Detector);

  // Lifecycle of the mesh thread.
  bool start();
  void stop();
  void run();
  void scheduleTick();
  void onTick();
  void runPeriodic(base::boot_time Now);

  // Connections.
  bool listen();
  void setHandlers();
  void dial(const base::endpoint &Address, base::boot_time Now);
  void dialDueAddresses(base::boot_time Now);
  bool isConnectedTo(const base::endpoint &Address) const;
  bool isConnectedToAlias(const base::endpoint &Address) const;
  connection *find(websocketpp::connection_hdl Handle);
  void onAccepted(websocketpp::connection_hdl Handle);
  void onOpen(websocketpp::connection_hdl Handle);
  void onClosed(websocketpp::connection_hdl Handle);
  void countProtocolError(const websocket &Socket);
  void drop(connection &Connection);
  void refuse(connection &Connection, const std::string &Reason);
  void closeExpired(base::boot_time Now, bool WasPaused);

  // Members.
  void onHello(connection &Connection, const hello &Hello);
  std::string refusalReason(const connection &Connection,
                            const member &Peer) const;
  bool assignConnection(connection &Connection, const member &Peer);
  bool resolveDuplicate(connection &Existing, connection &New,
                        base::incarnation_id Peer);
  void retire(base::incarnation_id Old);
  void retireReplaced(const member &Peer);
  void onHeartbeat(connection &Connection, const heartbeat &Heartbeat);
  void updateReachability(base::boot_time Now);
  void forgetExpired(base::boot_time Now);
  void publish();
  void notify(const member &Member, bool Joined);
  base::incarnation_id ownIncarnation() const;

  // Messages.
  void onMessage(websocketpp::connection_hdl Handle,
                 const websocket::message_ptr &Message);
  void dispatch(connection &Connection, const message &Message);
  void sendHellos();
  void sendHeartbeats();
  bool write(connection &Connection, std::size_t Type,
             const std::string &Bytes);
  bool post(std::size_t Bytes, std::function<void()> Function);
  bool sendTo(base::incarnation_id To, std::size_t Type,
              const std::string &Bytes);
  void countDropped();
  bool mayLogFault(base::boot_time Now);
  template <typename Function> static void runGuarded(Function Run) {
    try {
      Run();
    } catch (const std::exception &Error) {
      logHandlerFault(Error);
    }
  }
  static void logHandlerFault(const std::exception &Error);

  // Not modified after start().
  mesh_settings Settings;
  std::array<std::vector<handler<message>>, MessageTypeCount> Handlers;
  std::vector<member_handler> MemberHandlers;
  std::vector<periodic_task> PeriodicTasks;

  // Shared with other threads. The mutex guards the variables from Self
  // to Counters.
  mutable std::mutex Mutex;
  member Self;
  std::optional<std::uint32_t> Seat;
  std::vector<service_load> Loads;
  /// Copy of the members' states.
  std::vector<member> MemberSnapshot;
  /// Copy of Addresses.untriedCount().
  std::size_t UntriedCount = 0;
  mesh_counters Counters;
  /// Bytes of messages that other threads have posted and the mesh thread has
  /// not processed yet.
  std::atomic<std::size_t> PostedBytes{0};
  std::atomic<bool> Running{false};
  detail::request_table Requests;

  // Used by the mesh thread only.
  std::unique_ptr<failure_detector> Detector;
  detail::peer_address_table Addresses;
  /// Maps an address that was dialled to the peer address in the hello that was
  /// received there, if the two differ.
  std::map<base::endpoint, base::endpoint> Aliases;
  std::map<const websocket *, connection> Connections;
  std::map<base::incarnation_id, known_member> Members;
  /// Incarnations that are refused: replaced ones of peers, and earlier ones of
  /// this entry.
  boost::circular_buffer<base::incarnation_id> Retired;
  /// Increases when the list of connected members changes.
  std::uint64_t MemberListGeneration = 1;
  /// Sequence number of the last heartbeat.
  std::uint64_t Sequence = 0;
  base::boot_time LastTick;
  base::boot_time NextHeartbeat;
  /// Earliest time of the next log line about a faulty peer.
  base::boot_time NextFaultLog;

  // Declared in this order because the timer and the endpoints refer to the
  // context and must be destroyed before it.
  boost::asio::io_context Context{1};
  boost::asio::steady_timer Timer{Context};
  detail::websocket_server Server;
  detail::websocket_client Client;
  std::thread Thread;
};

} // namespace skylarkdyke::entries

#endif
