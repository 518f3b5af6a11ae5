#ifndef SKYLARKDYKE_STORE_CLIENT_HPP
#define SKYLARKDYKE_STORE_CLIENT_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"

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

/// \brief A compare-and-swap found another index; nothing was changed.
struct refused {};

/// \brief The answer to a write was lost: it may or may not have taken effect.
struct unknown_effect {
  std::string Reason;
};

using read_result = std::variant<value, not_found, unavailable>;
using write_result =
    std::variant<written, refused, unavailable, unknown_effect>;

/// \brief Number of calls made, for comparison with the rates that the store
/// bears.
struct call_counts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

/// \brief Client for the platform's key-value store (Consul KV HTTP API).
/// Thread-safe.
class client {
public:
  /// \param Store address of the store's HTTP API
  explicit client(base::endpoint Store);
  ~client();

  /// \brief Reads a key.
  read_result get(const std::string &Key, base::boot_time Deadline);

  /// \brief Waits until a key's index differs from Index, or until Wait has
  /// passed, and reads it. \param Deadline instant at which the call is given
  /// up; later than the end of Wait
  read_result watch(const std::string &Key, std::uint64_t Index,
                    std::chrono::seconds Wait, base::boot_time Deadline);

  /// \brief Writes a key if its index is still the given one.
  /// \param Index ModifyIndex that was read; 0 to create the key
  write_result compareAndSwap(const std::string &Key, const std::string &Bytes,
                              std::uint64_t Index, base::boot_time Deadline);

  call_counts counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
