#ifndef SKYLARKDYKE_EMULATORS_DETAIL_STORE_STATE_HPP
#define SKYLARKDYKE_EMULATORS_DETAIL_STORE_STATE_HPP

#include "skylarkdyke/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>

namespace skylarkdyke::emulators::detail {

/// \brief A key's value with its lock.
struct stored {
  std::string Bytes;
  std::uint64_t ModifyIndex = 0;
  std::string Session;
};

/// \brief Keys and sessions of a store emulator. Not thread-safe; the time is
/// an argument.
class key_state {
public:
  explicit key_state(std::uint64_t Seed) : Random(Seed) {}

  /// \brief The value of a key, or the one before its last change.
  std::optional<stored> find(const std::string &Key, bool IsStale) const;

  /// \brief Index that a watch of the key compares with.
  std::uint64_t indexOf(const std::string &Key) const;

  void put(const std::string &Key, std::string Bytes);
  bool compareAndSwap(const std::string &Key, std::string Bytes,
                      std::uint64_t Index);
  /// \return false if another session holds the key; nothing if the session
  /// does not exist
  std::optional<bool> acquire(const std::string &Key, std::string Bytes,
                              const std::string &Session);
  bool release(const std::string &Key, std::string Bytes,
               const std::string &Session);

  std::string createSession(std::chrono::milliseconds TimeToLive,
                            base::boot_time Now);
  bool renewSession(const std::string &Id, base::boot_time Now);
  void destroySession(const std::string &Id);

  /// \brief Ends the sessions whose time has passed.
  /// \return true if a key was unlocked
  bool expireSessions(base::boot_time Now);

  /// \brief Next instant at which expireSessions() has something to do.
  std::optional<base::boot_time> nextExpiry() const;

private:
  struct history {
    std::optional<stored> Before;
    stored Current;
  };
  struct session {
    std::chrono::milliseconds TimeToLive;
    base::boot_time Deadline;
  };

  void store(const std::string &Key, std::string Bytes, std::string Session);
  std::string holderOf(const std::string &Key) const;

  std::map<std::string, history> Values;
  std::map<std::string, session> Sessions;
  std::uint64_t Index = 1;
  std::mt19937_64 Random;
};

/// \brief Instance list of a store emulator, in which changes show after a lag.
/// Not thread-safe.
class instance_state {
public:
  explicit instance_state(std::chrono::milliseconds Lag) : Lag(Lag) {}

  /// \param Service registration as in `PUT /v1/agent/service/register`; null
  /// removes the instance
  void change(const std::string &Id, nlohmann::json Service,
              base::boot_time Now);

  /// \brief The instances of a service as `GET /v1/health/service` shows them.
  nlohmann::json list(const std::string &Service, base::boot_time Now);

private:
  struct pending {
    base::boot_time VisibleAt;
    std::string Id;
    nlohmann::json Service;
  };

  std::chrono::milliseconds Lag;
  std::deque<pending> Pending;
  std::map<std::string, nlohmann::json> Visible;
};

} // namespace skylarkdyke::emulators::detail

#endif
