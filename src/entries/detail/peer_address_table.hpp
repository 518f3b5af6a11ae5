#ifndef SKYLARKDYKE_ENTRIES_DETAIL_PEER_ADDRESS_TABLE_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_PEER_ADDRESS_TABLE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <random>
#include <vector>

namespace skylarkdyke::entries::detail {

/// \brief Known peer addresses with their connection states and the times of
/// their next dials. Not thread-safe.
class peer_address_table {
public:
  struct limits {
    std::size_t MaxAddresses;
    std::chrono::milliseconds InitialBackoff;
    std::chrono::milliseconds MaxBackoff;
    std::chrono::milliseconds ForgetAfter;
  };

  explicit peer_address_table(limits Limits) : Limits(Limits) {}

  /// \brief Adds an address that never expires.
  void addSeed(const base::endpoint &Address, base::boot_time Now);

  /// \brief Adds an address, or extends the expiry of a known one. The first
  /// dial is delayed by a random time of up to twice the initial backoff, so
  /// that two members that discover each other at once rarely dial both.
  /// \return false if the table is full
  bool addOrRefresh(const base::endpoint &Address, base::boot_time Now);

  /// \brief Marks an address as this entry's own, so that it is not dialled.
  void markOwn(const base::endpoint &Address);

  void markDialling(const base::endpoint &Address);
  void markConnected(const base::endpoint &Address, base::boot_time Now);

  /// \brief Marks an address after a failed dial or a lost connection, and
  /// schedules the next dial with exponential backoff.
  void markFailed(const base::endpoint &Address, base::boot_time Now);

  /// \brief Removes addresses, except for seeds, that were unused for
  /// ForgetAfter.
  void removeExpired(base::boot_time Now);

  /// \brief Addresses that are due to be dialled.
  std::vector<base::endpoint> dueAddresses(base::boot_time Now) const;

  /// \brief Number of addresses that have neither connected nor failed yet.
  std::size_t untriedCount() const;

private:
  enum class state { Waiting, Dialling, Connected, Own };

  /// State of one address in the table.
  struct address_entry {
    state State = state::Waiting;
    bool IsSeed = false;
    bool WasTried = false;
    unsigned Failures = 0;
    base::boot_time NextDial;
    base::boot_time Expiry;
  };

  /// Random duration between zero and a maximum.
  std::chrono::nanoseconds randomUpTo(std::chrono::nanoseconds Max);

  limits Limits;
  std::map<base::endpoint, address_entry> Entries;
  std::minstd_rand Random{std::random_device{}()};
};

} // namespace skylarkdyke::entries::detail

#endif
