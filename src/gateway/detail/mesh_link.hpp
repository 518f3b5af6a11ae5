#ifndef SKYLARKDYKE_GATEWAY_DETAIL_MESH_LINK_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_MESH_LINK_HPP

#include "gateway/detail/steering_state.hpp"
#include "skylarkdyke/membership/member_table.hpp"
#include "skylarkdyke/net/http_server.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace skylarkdyke::gateway::detail {

/// \brief Exchanges heartbeats with the other entries over UDP, and fetches
/// the steering state over TCP from an entry with a newer one.
class mesh_link {
public:
  /// Returns the status that this entry sends in its heartbeats.
  using status_source = std::function<membership::entry_status()>;
  /// Called after another entry has become reachable or its state has been
  /// adopted.
  using update_callback = std::function<void()>;

  mesh_link(boost::asio::io_context &Loop, net::response_memory &Memory,
            steering_state &State, membership::member_table &Members,
            base::endpoint OwnAddress, status_source OwnStatus,
            update_callback OnUpdate);

  /// \brief Binds the mesh address and starts to receive.
  /// \return false if the address cannot be bound
  bool start();
  void stop();

  /// \brief Sends the heartbeats that are due, and fetches the state of
  /// another entry that has had a newer one for longer than the watch delay.
  void tick(base::boot_time Now);

  /// \param Delay time between two watch calls of this entry to the store
  void setWatchDelay(std::chrono::milliseconds Delay) { WatchDelay = Delay; }

  /// \brief Sends a heartbeat to all live entries immediately.
  void broadcastHeartbeat(base::boot_time Now);

private:
  void receive();
  void onDatagram(std::size_t Size);
  void send(const base::endpoint &To, const std::string &Bytes);
  void fetchIfBehind(base::boot_time Now);
  void fetchSnapshot(const base::endpoint &From, base::boot_time Now);

  boost::asio::io_context &Loop;
  net::response_memory &Memory;
  steering_state &State;
  membership::member_table &Members;
  base::endpoint OwnAddress;
  status_source OwnStatus;
  update_callback OnUpdate;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 2048> Datagram{};
  net::http_server Server;
  std::shared_ptr<net::http_channel> SnapshotChannel;
  bool FetchInProgress = false;
  /// Time since which another entry has had a newer state; the epoch if none
  /// has.
  base::boot_time BehindSince{};
  std::chrono::milliseconds WatchDelay{0};
};

} // namespace skylarkdyke::gateway::detail

#endif
