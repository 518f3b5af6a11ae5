#ifndef SKYLARKDYKE_STORE_DETAIL_CONNECTION_POOL_HPP
#define SKYLARKDYKE_STORE_DETAIL_CONNECTION_POOL_HPP

#include "skylarkdyke/http/client.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace skylarkdyke::store::detail {

/// \brief Pool of HTTP connections to one peer, each used by one exchange at a
/// time and then kept open for reuse. Thread-safe.
class connection_pool {
public:
  explicit connection_pool(base::endpoint Peer);

  /// \brief Makes one exchange on an idle connection, or on a new one.
  ///
  /// If the peer has closed the idle connection, the request is sent once more
  /// on a new one, provided that the peer cannot have processed it or that it
  /// is idempotent.
  /// \param IsIdempotent true for reads
  base::result<http::response, http::exchange_error>
  exchange(const http::request &Request, const http::exchange_limits &Limits,
           bool IsIdempotent);

  /// \brief Returns the number of connections opened so far.
  std::uint64_t opened() const { return Opened; }

private:
  struct idle_connection {
    http::connection Connection;
    base::boot_time IdleSince;
  };

  std::optional<http::connection> takeIdle();
  void keepIdle(http::connection Connection);

  base::endpoint Peer;
  std::mutex Mutex;
  std::vector<idle_connection> Idle;
  std::atomic<std::uint64_t> Opened{0};
};

} // namespace skylarkdyke::store::detail

#endif
