#ifndef SKYLARKDYKE_STORE_DETAIL_KEPT_CONNECTIONS_HPP
#define SKYLARKDYKE_STORE_DETAIL_KEPT_CONNECTIONS_HPP

#include "skylarkdyke/http/client.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace skylarkdyke::store::detail {

/// \brief Open connections to one peer, each used by one exchange at a time and
/// kept for the next one. Thread-safe.
class kept_connections {
public:
  explicit kept_connections(base::endpoint Peer);

  /// \brief Makes one exchange on a kept connection, or on a new one.
  ///
  /// A kept connection that turns out to be closed is replaced once if the peer
  /// cannot have acted on the request, or if repeating it has no effect.
  /// \param IsRepeatable true for reads
  base::result<http::response, http::exchange_error>
  exchange(const http::request &Request, const http::exchange_limits &Limits,
           bool IsRepeatable);

  /// \brief Number of connections opened so far.
  std::uint64_t opened() const { return Opened; }

private:
  struct kept {
    http::connection Connection;
    base::boot_time IdleSince;
  };

  std::optional<http::connection> take();
  void give(http::connection Connection);

  base::endpoint Peer;
  std::mutex Mutex;
  std::vector<kept> Idle;
  std::atomic<std::uint64_t> Opened{0};
};

} // namespace skylarkdyke::store::detail

#endif
