#ifndef SKYLARKDYKE_TESTS_SUPPORT_ENTRY_FLEET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_ENTRY_FLEET_HPP

#include "skylarkdyke/membership/member_table.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace test_support {

using namespace skylarkdyke;

/// Regions "p", "q" and "r" with three failure domains each.
extern const std::map<base::domain_name, base::region_name> RegionOf;

/// One entry of the fleet: its table, and what it says of itself.
struct fleet_entry {
  membership::entry_status Own;
  std::unique_ptr<membership::member_table> Table;
  base::boot_time NextDigestAt{};
  std::size_t Sent = 0;
  bool Alive = true;
};

/// Entries that exchange datagrams in memory, in steps of 250 ms. A part of
/// the datagrams is lost.
class fleet {
public:
  /// \param Size number of entries, spread evenly over the failure domains
  fleet(std::size_t Size, double LossRate);

  /// Starts an entry that knows the seeds only.
  void restart(std::size_t Index);
  /// Runs one step.
  void step();
  void run(std::chrono::milliseconds Duration);

  /// Returns the number of entries of the region of an entry that it counts as
  /// live, itself included.
  std::size_t liveLocalCount(std::size_t Index) const;
  const base::region_name &regionOf(std::size_t Index) const;

  /// Tells the entries of something that one of them has learned; relays of
  /// large regions pass it on.
  /// \return the numbers of entries that know it and of messages sent
  std::pair<std::size_t, std::size_t> spreadNotice(std::size_t Origin) const;

  base::boot_time Now{std::chrono::hours(1)};
  std::vector<fleet_entry> Entries;
  /// Sender and receiver of datagrams that are lost.
  std::set<std::pair<std::size_t, std::size_t>> Cut;
  /// Longest time until a datagram arrives.
  std::chrono::milliseconds MaxDelay{0};

private:
  /// Shared by all receivers, so that it is decoded once.
  using message = std::shared_ptr<const membership::mesh_message>;
  struct datagram {
    std::size_t To;
    message Message;
  };

  static membership::entry_status statusOf(std::size_t Index);
  void tick(fleet_entry &Entry);
  void sendDigests(fleet_entry &Entry);
  /// Encodes and decodes a message and sends it to all receivers.
  template <typename Content>
  void send(fleet_entry &From, const std::vector<base::endpoint> &Receivers,
            const Content &Message);
  void send(fleet_entry &From, const base::endpoint &To,
            const message &Message);
  void deliver(std::size_t To, const message &Message);
  void receive(fleet_entry &Entry, const membership::mesh_message &Message);

  double LossRate;
  /// By mesh address.
  std::map<base::endpoint, std::size_t> IndexOf;
  std::minstd_rand Random{7};
  std::multimap<base::boot_time, datagram> InTransit;
};

} // namespace test_support

#endif
