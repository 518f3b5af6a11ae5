#ifndef SKYLARKDYKE_GATEWAY_DETAIL_TARGET_PROBE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_TARGET_PROBE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace skylarkdyke::gateway::detail {

/// \brief Opens a few connections to a target that lost one, to learn whether
/// its address refuses them. No request is sent.
///
/// Not thread-safe: all calls must come from the thread of the event loop.
class target_probe : public std::enable_shared_from_this<target_probe> {
public:
  /// Called with the time of each refusal.
  /// \return whether the probe goes on
  using refusal_handler = std::function<bool(base::boot_time At)>;

  /// \brief Starts a probe, which ends by itself.
  static void start(boost::asio::io_context &Loop, const base::endpoint &Target,
                    refusal_handler OnRefused);

  target_probe(boost::asio::io_context &Loop, const base::endpoint &Target,
               refusal_handler OnRefused);

private:
  void scheduleNext();
  void connect();
  void onConnected(const boost::system::error_code &Result);

  boost::asio::ip::tcp::socket Socket;
  net::one_shot_timer Timer;
  base::endpoint Target;
  refusal_handler OnRefused;
  std::size_t Connections = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
