#ifndef SKYLARKDYKE_INSTANCES_INSTANCE_POLLER_HPP
#define SKYLARKDYKE_INSTANCES_INSTANCE_POLLER_HPP

#include "skylarkdyke/instances/client.hpp"

#include <chrono>
#include <functional>
#include <memory>

namespace skylarkdyke::instances {

/// Pause between two reads of the list.
inline constexpr std::chrono::milliseconds PollPeriod{2000};

/// \brief The last list that was read.
struct instance_snapshot {
  instance_list List;
  base::boot_time ReadAt;
};

/// \brief Thread that polls the platform's list of instances.
class instance_poller {
public:
  /// Called from the poller's thread with each list that was read.
  using list_hook = std::function<void(const instance_list &)>;

  /// \param Platform address of the platform's HTTP API
  /// \param OnList may be empty; must not block
  explicit instance_poller(const base::endpoint &Platform,
                           list_hook OnList = {},
                           std::chrono::milliseconds Period = PollPeriod);
  ~instance_poller();

  /// \brief Starts the thread.
  void start();

  /// \brief Ends a waiting call and the thread, within 1 s.
  void stop();

  /// \brief The last list, however old; null before the first one. While the
  /// platform is away the list stays as it was. Thread-safe.
  std::shared_ptr<const instance_snapshot> latest() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::instances

#endif
