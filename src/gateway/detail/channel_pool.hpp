#ifndef SKYLARKDYKE_GATEWAY_DETAIL_CHANNEL_POOL_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_CHANNEL_POOL_HPP

#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/net/http_channel.hpp"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief Returns the number of idle connections that an entry may keep to a
/// target, so that the connections of all entries fit the connection limit of
/// the target.
/// \param MaxConnections connections that the target accepts from all
/// entries; nothing if the limit is unknown
/// \param EntryCount number of entries that share the target, this one
/// included
std::size_t idleConnectionLimit(std::optional<unsigned> MaxConnections,
                                unsigned EntryCount);

/// \brief Pool of idle connections to targets.
///
/// Connections are pooled by target, not by address, because another target
/// may take over an address.
class channel_pool {
public:
  channel_pool(boost::asio::io_context &Loop, net::response_memory &Memory)
      : Loop(Loop), Memory(Memory) {}

  /// \brief Returns the most recently used connection that is still reusable,
  /// or a new one.
  std::shared_ptr<net::http_channel> acquire(const base::target_id &Target,
                                             const base::endpoint &Address,
                                             base::boot_time Now);

  /// \brief Returns a new connection.
  std::shared_ptr<net::http_channel> open(const base::endpoint &Address) const;

  /// \brief Returns a connection to the pool, or closes it if it is not
  /// reusable or the pool is full.
  /// \param MaxIdle maximum number of idle connections to the target
  void release(const base::target_id &Target,
               std::shared_ptr<net::http_channel> Channel, std::size_t MaxIdle,
               base::boot_time Now);

  /// \brief Closes the idle connections to a target.
  void closeIdle(const base::target_id &Target);

  /// \brief Closes idle connections that are no longer reusable.
  void sweep(base::boot_time Now);

private:
  boost::asio::io_context &Loop;
  net::response_memory &Memory;
  std::unordered_map<base::target_id,
                     std::vector<std::shared_ptr<net::http_channel>>>
      IdleChannels;
};

} // namespace skylarkdyke::gateway::detail

#endif
