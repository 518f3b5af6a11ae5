#ifndef SKYLARKDYKE_ENTRIES_DETAIL_ADDRESS_BOOK_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_ADDRESS_BOOK_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <random>
#include <vector>

namespace skylarkdyke::entries::detail {

/// \brief Known peer addresses and when to dial each. Not thread-safe.
class address_book {
public:
  struct limits {
    std::size_t MaxAddresses;
    std::chrono::milliseconds FirstBackoff;
    std::chrono::milliseconds MaxBackoff;
    std::chrono::milliseconds ForgetAfter;
  };

  explicit address_book(limits Limits) : Limits(Limits) {}

  /// \brief Adds an address that is never dropped.
  void addSeed(const base::endpoint &Address, base::boot_time Now);

  /// \brief Adds an address or confirms a known one. The first dial waits for
  /// a random part of the backoff, so that two members that learn of each
  /// other at once rarely dial both.
  /// \return false if the book is full
  bool learn(const base::endpoint &Address, base::boot_time Now);

  /// \brief Marks an address that turned out to be this entry's own.
  void markOwn(const base::endpoint &Address);

  void dialled(const base::endpoint &Address);
  void connected(const base::endpoint &Address, base::boot_time Now);

  /// \brief A dial failed or a connection was lost: schedules the next dial.
  void failed(const base::endpoint &Address, base::boot_time Now);

  /// \brief Drops learned addresses that were not used for ForgetAfter.
  void expire(base::boot_time Now);

  /// \brief Addresses to dial now.
  std::vector<base::endpoint> due(base::boot_time Now) const;

  /// \brief Number of addresses that neither were connected nor have failed.
  std::size_t untried() const;

private:
  enum class state { Waiting, Dialling, Connected, Own };

  struct entry {
    state State = state::Waiting;
    bool Seed = false;
    bool Tried = false;
    unsigned Failures = 0;
    base::boot_time NextDial;
    base::boot_time Expiry;
  };

  std::chrono::nanoseconds upTo(std::chrono::nanoseconds Most);

  limits Limits;
  std::map<base::endpoint, entry> Entries;
  std::minstd_rand Random{std::random_device{}()};
};

} // namespace skylarkdyke::entries::detail

#endif
