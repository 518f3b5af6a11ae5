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
#include <optional>
#include <utility>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief Exchanges heartbeats and digests with the other entries over UDP, and
/// passes on the steering state: relays send the changes of the store to the
/// entries of their failure domain, and an entry that is behind fetches what it
/// lacks over TCP.
class mesh_link {
public:
  /// Returns the status that this entry sends in its heartbeats.
  using status_source = std::function<membership::entry_status()>;
  /// Called after another entry has become reachable or its state has been
  /// adopted.
  using update_callback = std::function<void()>;
  /// Handle the messages on the quotas of teams.
  using token_request_handler =
      std::function<void(const quotas::token_request &Request)>;
  using token_grant_handler =
      std::function<void(const quotas::token_grant &Grant)>;

  mesh_link(boost::asio::io_context &Loop, net::response_memory &Memory,
            steering_state &State, membership::member_table &Members,
            base::endpoint OwnAddress, double LinkMbitPerSecond,
            status_source OwnStatus, update_callback OnUpdate);

  /// \brief Binds the mesh address and starts to receive.
  /// \return false if the address cannot be bound
  bool start();
  void stop();

  /// \brief Sends the messages that are due, and fetches the state of another
  /// entry that has had a newer one for longer than the watch delay.
  void tick(base::boot_time Now);

  /// \param Delay time between two watch calls of this entry to the store
  void setWatchDelay(std::chrono::milliseconds Delay) { WatchDelay = Delay; }

  void setTokenHandlers(token_request_handler OnRequest,
                        token_grant_handler OnGrant) {
    OnTokenRequest = std::move(OnRequest);
    OnTokenGrant = std::move(OnGrant);
  }

  /// \brief Sends an encoded message to another entry.
  void send(const base::endpoint &To, const std::string &Bytes);

  /// \brief Tells other entries of requests that crash targets.
  /// \param PassedOn another entry has told this one; only relays of large
  /// regions pass it on
  void publishCrashes(const crash_update &Update, bool PassedOn);

  /// \brief Sends a heartbeat to all live entries immediately.
  void broadcastHeartbeat(base::boot_time Now);

private:
  using member = membership::member_table::member;
  /// A request for the state of another entry that has no response yet.
  struct running_fetch {
    base::endpoint From;
    base::boot_time StartedAt;
    std::shared_ptr<net::http_channel> Channel;
  };

  void receive();
  void onDatagram(std::size_t Size);
  void onHeartbeat(const membership::entry_status &Status);
  void onDigest(const membership::digest &Digest);
  void onStateUpdate(const membership::state_update &Update);
  void introduceTo(const membership::entry_status &Status, base::boot_time Now);
  void sendHeartbeats(base::boot_time Now);
  void sendDigests(base::boot_time Now);
  void publishChanges(base::boot_time Now);
  void publishCold(const cold_notice &Notice, bool PassedOn);
  void publishToOthers(const std::string &StateMessage);
  void publishLeaving(const placement::leaving_notice &Notice);
  std::optional<std::string> takeSnapshot(base::boot_time Now);
  void onStateRequest(const std::shared_ptr<net::pending_request> &Request);
  std::vector<const member *> entriesAhead(base::boot_time Now) const;
  const member *chooseSource(std::vector<const member *> Ahead) const;
  bool mayStartFetch(base::boot_time Now) const;
  void fetchIfBehind(base::boot_time Now);
  void fetchConfiguration(const membership::entry_status &Status,
                          base::boot_time Now);
  void fetchState(const base::endpoint &From, base::boot_time Now);
  void onStateResponse(const base::endpoint &From,
                       const net::call_result &Result);

  boost::asio::io_context &Loop;
  net::response_memory &Memory;
  steering_state &State;
  membership::member_table &Members;
  base::endpoint OwnAddress;
  double SnapshotBytesPerSecond;
  status_source OwnStatus;
  update_callback OnUpdate;
  token_request_handler OnTokenRequest = [](const quotas::token_request &) {};
  token_grant_handler OnTokenGrant = [](const quotas::token_grant &) {};
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 65536> Datagram{};
  net::http_server Server;
  std::vector<running_fetch> Fetches;
  /// Number of consecutive fetches that failed, so that an entry asks another
  /// one after a failure.
  std::size_t FailedFetches = 0;
  /// Time since which another entry has had a newer state; the epoch if none
  /// has.
  base::boot_time BehindSince{};
  base::boot_time NextDigestAt{};
  base::boot_time NextPeerStateFetchAt{};
  /// Version up to which changes were published to the failure domain.
  base::store_version PublishedVersion;
  /// Latest encoded complete state, so that many entries that start at the same
  /// time cost one encoding.
  std::string Snapshot;
  base::boot_time SnapshotAt{};
  base::store_version SnapshotChangeVersion;
  std::uint64_t SnapshotConfiguration = 0;
  /// Time by which the complete states promised so far are sent.
  base::boot_time SnapshotsSentBy{};
  std::chrono::milliseconds WatchDelay{0};
};

} // namespace skylarkdyke::gateway::detail

#endif
