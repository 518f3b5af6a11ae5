#ifndef SKYLARKDYKE_ENTRIES_DETAIL_MESH_IMPL_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_MESH_IMPL_HPP

#include "entries/detail/address_book.hpp"
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

/// Functions named on...() and those that take a connection run on the mesh
/// thread only.
struct mesh::impl {
  using websocket = detail::websocket;
  using websocket_ptr = detail::websocket_ptr;

  struct connection {
    websocket_ptr Socket;
    bool Dialled = false;
    base::endpoint DialledAddress;
    /// The peer's own address, after its hello.
    base::endpoint PeerAddress;
    bool Open = false;
    /// Not used for sending any more; waits for the end of the close handshake.
    bool Closing = false;
    base::boot_time HelloDeadline;
    base::boot_time LastReceived;
    /// The peer, after its hello; zero before.
    base::incarnation_id Peer;
    /// Generation of the member list that the peer was sent.
    std::uint64_t SentGeneration = 0;
  };

  struct known_member {
    member Info;
    /// Null while not connected.
    connection *Connection = nullptr;
    base::boot_time LastReceived;
  };

  struct periodic {
    std::chrono::milliseconds Period;
    std::function<void()> Function;
    base::boot_time Next;
  };

  impl(mesh_settings Settings, std::unique_ptr<failure_detector> Detector);

  // Life of the thread.
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
  void dialDue(base::boot_time Now);
  bool isConnectedTo(const base::endpoint &Address) const;
  bool isConnectedToAlias(const base::endpoint &Address) const;
  connection *find(websocketpp::connection_hdl Handle);
  void onAccepted(websocketpp::connection_hdl Handle);
  void onOpen(websocketpp::connection_hdl Handle);
  void onEnd(websocketpp::connection_hdl Handle);
  void countProtocolError(const websocket &Socket);
  void drop(connection &Connection);
  void refuse(connection &Connection, const std::string &Reason);
  void closeExpired(base::boot_time Now, bool WasPaused);

  // Members.
  void onHello(connection &Connection, const hello &Hello);
  std::string reasonToRefuse(const connection &Connection,
                             const member &Peer) const;
  bool adopt(connection &Connection, const member &Peer);
  bool resolveDuplicate(connection &Existing, connection &New,
                        base::incarnation_id Peer);
  void retire(base::incarnation_id Old);
  void retireReplaced(const member &Peer);
  void onHeartbeat(connection &Connection, const heartbeat &Heartbeat);
  void judgeMembers(base::boot_time Now);
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
  template <typename Function> static void guarded(Function Run) {
    try {
      Run();
    } catch (const std::exception &Fault) {
      logHandlerFault(Fault);
    }
  }
  static void logHandlerFault(const std::exception &Fault);

  // Fixed after start().
  mesh_settings Settings;
  std::array<std::vector<handler<message>>, MessageTypes> Handlers;
  std::vector<member_handler> MemberHandlers;
  std::vector<periodic> Periodic;

  // Shared with other threads.
  mutable std::mutex Mutex;
  member Self;
  std::optional<std::uint32_t> Seat;
  std::vector<service_load> Loads;
  std::vector<member> Snapshot;
  std::size_t Untried = 0;
  mesh_counters Counters;
  std::atomic<std::size_t> PostedBytes{0};
  std::atomic<bool> Running{false};
  detail::request_table Requests;

  // Of the mesh thread.
  std::unique_ptr<failure_detector> Detector;
  detail::address_book Addresses;
  /// Own addresses of peers that were dialled by another address.
  std::map<base::endpoint, base::endpoint> Aliases;
  std::map<const websocket *, connection> Connections;
  std::map<base::incarnation_id, known_member> Members;
  /// Incarnations that must not come back: replaced ones, and own earlier ones.
  boost::circular_buffer<base::incarnation_id> Retired;
  std::uint64_t Generation = 1;
  std::uint64_t Sequence = 0;
  base::boot_time LastTick;
  base::boot_time NextHeartbeat;
  base::boot_time NextLog;

  // Destroyed in reverse order: the endpoints refer to the context.
  boost::asio::io_context Context{1};
  boost::asio::steady_timer Timer{Context};
  detail::websocket_server Server;
  detail::websocket_client Client;
  std::thread Thread;
};

} // namespace skylarkdyke::entries

#endif
