#ifndef SKYLARKDYKE_TARGETS_CONNECTION_POOL_HPP
#define SKYLARKDYKE_TARGETS_CONNECTION_POOL_HPP

#include "skylarkdyke/http/client.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>

namespace skylarkdyke::targets {

/// \brief Bounds of a pool.
struct pool_limits {
  /// Connections to a peer that configure() does not name.
  unsigned DefaultConnections = 32;
  /// Time after which an unused connection is closed. Well below the 30 s after
  /// which our own servers close idle connections, since a request that meets
  /// such a close has an unknown outcome.
  std::chrono::milliseconds KeepIdle{5000};
};

/// \brief Kept-open connections, bounded for each peer. Thread-safe.
///
/// A connection returns to the pool only after a complete response.
class connection_pool {
  struct impl;

public:
  /// \brief One connection taken from the pool. Its destruction gives the
  /// connection back, or closes it if its last exchange was not complete.
  class lease {
  public:
    ~lease();
    lease(lease &&) noexcept;
    lease &operator=(lease &&) noexcept;

    /// \brief Makes one exchange, see http::connection::exchange().
    base::result<http::response, http::exchange_error>
    exchange(const http::request &Request, const http::exchange_limits &Limits);

    /// \brief Closes the connection instead of giving it back.
    void discard();

    /// \brief True if the connection has served an earlier request.
    bool isReused() const noexcept;

  private:
    friend class connection_pool;
    struct state;
    explicit lease(std::unique_ptr<state> State);
    std::unique_ptr<state> State;
  };

  /// \param Limits bounds of the pool
  explicit connection_pool(pool_limits Limits = {});
  ~connection_pool();

  /// \brief Sets the bound for each named peer and closes idle connections to
  /// all others. Connections in use are not touched.
  /// \param MaxConnections bound by address; raised to one
  void configure(std::map<base::endpoint, unsigned> MaxConnections);

  /// \brief Takes an idle connection or opens one.
  /// \param Peer address to connect to
  /// \param Deadline instant by which a new connection must be open
  /// \return the connection, or an error with NothingSent set; ConnectionLimit
  /// if the bound is reached
  base::result<lease, http::exchange_error> acquire(const base::endpoint &Peer,
                                                    base::boot_time Deadline);

  /// \brief Closes connections whose idle deadline has passed.
  void closeIdle(base::boot_time Now);

  /// \brief Connections to a peer, idle or in use.
  std::size_t openConnections(const base::endpoint &Peer) const;
  /// \brief Idle connections to a peer.
  std::size_t idleConnections(const base::endpoint &Peer) const;

private:
  std::shared_ptr<impl> Impl;
};

} // namespace skylarkdyke::targets

#endif
