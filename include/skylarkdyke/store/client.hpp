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

/// \brief A value with the store's index of its last change.
struct value {
  std::string Bytes;
  std::uint64_t ModifyIndex = 0;
  /// Session that holds the key; empty if none does.
  std::string Session;
};

/// \brief The key does not exist. Index is the one to watch from.
struct not_found {
  std::uint64_t Index = 0;
};

/// \brief The store gave no usable answer; nothing was changed by the call.
struct unavailable {
  std::string Reason;
};

/// \brief A write took effect.
struct written {};

/// \brief A condition of a write (index, session) did not hold; nothing was
/// changed.
struct refused {};

/// \brief The answer to a write was lost: it may or may not have taken effect.
struct unknown_effect {
  std::string Reason;
};

/// \brief A lease of the store with a time to live.
struct session {
  std::string Id;
};

using read_result = std::variant<value, not_found, unavailable>;
using write_result =
    std::variant<written, refused, unavailable, unknown_effect>;
using session_result = std::variant<session, unavailable, unknown_effect>;

/// \brief Number of calls made, for comparison with the rates that the store
/// bears, and how they ended.
struct call_counts {
  std::uint64_t Reads = 0;
  /// Writes of keys and of sessions.
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Unavailable = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Connections = 0;
};

/// \brief Client for the platform's key-value store (Consul KV HTTP API).
/// Thread-safe.
///
/// Connections are kept open. Watches have connections of their own, so that a
/// waiting watch never delays a read or write. A write is never sent twice by
/// the client.
class client {
public:
  /// \param Store address of the store's HTTP API
  explicit client(const base::endpoint &Store);
  ~client();

  /// \brief Reads a key with the store's `consistent` mode, in which the
  /// store's leader confirms its role before it answers.
  read_result get(const std::string &Key, base::boot_time Deadline);

  /// \brief Waits until a key's index differs from Index, or until Wait has
  /// passed, and reads it.
  /// \param Deadline instant at which the call is given up; later than the end
  /// of Wait
  /// \param Stop ends the call early with `unavailable`; null: none
  read_result watch(const std::string &Key, std::uint64_t Index,
                    std::chrono::seconds Wait, base::boot_time Deadline,
                    const http::stop_source *Stop = nullptr);

  /// \brief Writes a key if its index is still the given one.
  /// \param Index ModifyIndex that was read; 0 to create the key
  write_result compareAndSwap(const std::string &Key, const std::string &Bytes,
                              std::uint64_t Index, base::boot_time Deadline);

  /// \brief Writes a key and takes its lock for a session.
  /// \return refused if another session holds it
  write_result acquire(const std::string &Key, const std::string &Bytes,
                       const session &Session, base::boot_time Deadline);

  /// \brief Writes a key and gives up its lock.
  /// \return refused if the session does not hold it
  write_result release(const std::string &Key, const std::string &Bytes,
                       const session &Session, base::boot_time Deadline);

  /// \brief Creates a session. An unknown one ends by its time to live.
  /// \param TimeToLive Consul accepts 10 s to 24 h
  session_result createSession(std::chrono::milliseconds TimeToLive,
                               base::boot_time Deadline);

  /// \brief Starts a session's time to live again.
  /// \return refused if the session has ended
  write_result renewSession(const session &Session, base::boot_time Deadline);

  /// \brief Ends a session and with it all its locks.
  write_result destroySession(const session &Session, base::boot_time Deadline);

  call_counts counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
