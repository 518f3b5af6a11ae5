#include "gateway/detail/channel_pool.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

/// Maximum number of idle connections that an entry keeps to one target.
static constexpr std::size_t MaxIdlePerTarget = 16;

std::size_t idleConnectionLimit(std::optional<unsigned> MaxConnections,
                                unsigned EntryCount) {
  if (!MaxConnections)
    return MaxIdlePerTarget;
  const std::size_t Share = *MaxConnections / std::max(1U, EntryCount);
  return std::clamp(Share, std::size_t{1}, MaxIdlePerTarget);
}

std::shared_ptr<net::http_channel>
channel_pool::acquire(const base::target_id &Target,
                      const base::endpoint &Address, base::boot_time Now) {
  auto &Channels = IdleChannels[Target];
  while (!Channels.empty()) {
    auto Channel = std::move(Channels.back());
    Channels.pop_back();
    if (Channel->isReusable(Now))
      return Channel;
    Channel->close();
  }
  return open(Address);
}

std::shared_ptr<net::http_channel>
channel_pool::open(const base::endpoint &Address) const {
  return net::http_channel::create(Loop, Address, Memory);
}

void channel_pool::release(const base::target_id &Target,
                           std::shared_ptr<net::http_channel> Channel,
                           std::size_t MaxIdle, base::boot_time Now) {
  auto &Channels = IdleChannels[Target];
  if (Channel->isReusable(Now) && !Channel->sawUnexpectedBytes() &&
      Channels.size() < MaxIdle)
    Channels.push_back(std::move(Channel));
  else
    Channel->close();
}

void channel_pool::closeIdle(const base::target_id &Target) {
  const auto Found = IdleChannels.find(Target);
  if (Found == IdleChannels.end())
    return;
  for (const auto &Channel : Found->second)
    Channel->close();
  IdleChannels.erase(Found);
}

void channel_pool::sweep(base::boot_time Now) {
  for (auto It = IdleChannels.begin(); It != IdleChannels.end();) {
    auto &Channels = It->second;
    const auto FirstUnusable = std::stable_partition(
        Channels.begin(), Channels.end(),
        [Now](const auto &Channel) { return Channel->isReusable(Now); });
    std::for_each(FirstUnusable, Channels.end(),
                  [](const auto &Channel) { Channel->close(); });
    Channels.erase(FirstUnusable, Channels.end());
    It = Channels.empty() ? IdleChannels.erase(It) : std::next(It);
  }
}

} // namespace skylarkdyke::gateway::detail
