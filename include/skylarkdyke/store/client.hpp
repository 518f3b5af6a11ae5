#ifndef SKYLARKDYKE_STORE_CLIENT_HPP
#define SKYLARKDYKE_STORE_CLIENT_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/http/stop_source.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace skylarkdyke::store {

/// \brief Value of a key with the store index of its last modification.
struct value {
  std::string Bytes;
  std::uint64_t ModifyIndex = 0;
  /// Id of the session that holds the key's lock; empty if it is not locked.
  std::string Session;
};

/// \brief The key does not exist.
struct not_found {
  /// Store index to pass to the next watch.
  std::uint64_t Index = 0;
};

/// \brief The store returned no usable response; the call changed nothing.
struct unavailable {
  std::string Reason;
};

/// \brief The write took effect.
struct written {};

/// \brief The precondition of the write (index or session) did not hold; the
/// call changed nothing.
struct refused {};

/// \brief The response to the write was lost or gives no definite result: the
/// write may have taken effect, or take effect later.
struct unknown_effect {
  std::string Reason;
};

/// \brief A session of the store, which ends unless it is renewed within its
/// time to live.
struct session {
  std::string Id;
};

using read_result = std::variant<value, not_found, unavailable>;
using write_result =
    std::variant<written, refused, unavailable, unknown_effect>;
using session_result = std::variant<session, unavailable, unknown_effect>;

/// \brief Numbers of calls and of their failures since the client was created,
/// for comparison with the call rates that the store sustains.
struct call_counts {
  std::uint64_t Reads = 0;
  /// Writes of keys and of sessions.
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  /// Calls that ended with `unavailable`.
  std::uint64_t Unavailable = 0;
  /// Calls that ended with `unknown_effect`.
  std::uint64_t Unknown = 0;
  /// Connections opened.
  std::uint64_t Connections = 0;
};

/// \brief Client for the platform's key-value store (Consul KV HTTP API).
/// Thread-safe.
///
/// Connections are kept open. Watches use separate connections, so that a
/// blocking watch never delays a read or write. The client never sends a write
/// twice.
class client {
public:
  /// \param Store address of the store's HTTP API
  explicit client(const base::endpoint &Store);
  ~client();

  /// \brief Reads a key with the store's `consistent` mode, in which the
  /// store's leader confirms its role before it responds.
  read_result get(const std::string &Key, base::boot_time Deadline);

  /// \brief Waits until the index of a key differs from Index, or until Wait
  /// has passed, and reads the key (Consul blocking query).
  /// \param Wait longest time that the store delays its response
  /// \param Deadline instant at which the call fails; must be later than the
  /// end of Wait
  /// \param Stop ends the call early with `unavailable`; may be null
  read_result watch(const std::string &Key, std::uint64_t Index,
                    std::chrono::seconds Wait, base::boot_time Deadline,
                    const http::stop_source *Stop = nullptr);

  /// \brief Writes a key if its index still equals Index.
  /// \param Index ModifyIndex that was read; 0 to create the key
  write_result compareAndSwap(const std::string &Key, const std::string &Bytes,
                              std::uint64_t Index, base::boot_time Deadline);

  /// \brief Writes a key and acquires its lock for a session.
  /// \return refused if another session holds the lock
  write_result acquire(const std::string &Key, const std::string &Bytes,
                       const session &Session, base::boot_time Deadline);

  /// \brief Writes a key and releases its lock.
  /// \return refused if the session does not hold the lock
  write_result release(const std::string &Key, const std::string &Bytes,
                       const session &Session, base::boot_time Deadline);

  /// \brief Creates a session. If the result is unknown_effect, a session that
  /// was created expires after its time to live.
  /// \param TimeToLive 10 s to 24 h, the range that Consul accepts
  session_result createSession(std::chrono::milliseconds TimeToLive,
                               base::boot_time Deadline);

  /// \brief Restarts the time to live of a session.
  /// \return refused if the session has ended
  write_result renewSession(const session &Session, base::boot_time Deadline);

  /// \brief Ends a session and releases all its locks.
  write_result destroySession(const session &Session, base::boot_time Deadline);

  call_counts counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
