#ifndef SKYLARKDYKE_TARGETS_CONNECTION_POOL_HPP
#define SKYLARKDYKE_TARGETS_CONNECTION_POOL_HPP

#include "skylarkdyke/http/client.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>

namespace skylarkdyke::targets {

/// \brief Limits of a connection pool.
struct pool_limits {
  /// Maximum number of connections to a peer that was not passed to
  /// configure().
  unsigned DefaultConnections = 32;
  /// Time after which an idle connection is closed. It is well below the 30 s
  /// after which the project's servers close idle connections, because a
  /// request that coincides with such a close has an unknown outcome.
  std::chrono::milliseconds IdleTimeout{5000};
};

/// \brief Pool of persistent HTTP connections with a limit per peer.
/// Thread-safe.
///
/// A connection is returned to the pool only after a complete response.
class connection_pool {
  struct impl;

public:
  /// \brief Connection acquired from the pool. The destructor returns it to the
  /// pool, or closes it if its last exchange was not complete.
  class lease {
  public:
    ~lease();
    lease(lease &&) noexcept;
    lease &operator=(lease &&) noexcept;

    /// \brief Sends a request and reads its response, see
    /// http::connection::exchange().
    base::result<http::response, http::exchange_error>
    exchange(const http::request &Request, const http::exchange_limits &Limits);

    /// \brief Closes the connection, so that it is not returned to the pool.
    void discard();

    /// \brief True if the connection has served an earlier request.
    bool isReused() const noexcept;

  private:
    friend class connection_pool;
    struct state;
    explicit lease(std::unique_ptr<state> State);
    std::unique_ptr<state> State;
  };

  explicit connection_pool(pool_limits Limits = {});
  ~connection_pool();

  /// \brief Sets the connection limit of each given peer and closes idle
  /// connections to all others. Connections in use are not affected.
  /// \param MaxConnections limit by address; a limit of 0 is raised to 1
  void configure(std::map<base::endpoint, unsigned> MaxConnections);

  /// \brief Acquires an idle connection or opens a new one.
  /// \param Peer address to connect to
  /// \param Deadline instant by which a new connection must be open
  /// \return the connection, or an error with NothingSent set; the fault is
  /// ConnectionLimit if the limit of the peer is reached
  base::result<lease, http::exchange_error> acquire(const base::endpoint &Peer,
                                                    base::boot_time Deadline);

  /// \brief Closes connections whose idle timeout has expired at Now.
  void closeIdle(base::boot_time Now);

  /// \brief Number of connections to a peer, idle or in use.
  std::size_t openConnections(const base::endpoint &Peer) const;
  /// \brief Number of idle connections to a peer.
  std::size_t idleConnections(const base::endpoint &Peer) const;

private:
  std::shared_ptr<impl> Impl;
};

} // namespace skylarkdyke::targets

#endif
