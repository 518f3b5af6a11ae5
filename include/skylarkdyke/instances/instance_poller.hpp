#ifndef SKYLARKDYKE_INSTANCES_INSTANCE_POLLER_HPP
#define SKYLARKDYKE_INSTANCES_INSTANCE_POLLER_HPP

#include "skylarkdyke/instances/client.hpp"

#include <chrono>
#include <functional>
#include <memory>

namespace skylarkdyke::instances {

/// \brief Delay between the end of one read of the list and the next read.
inline constexpr std::chrono::milliseconds PollPeriod{2000};

/// \brief A list of instances with the time at which it was read.
struct instance_snapshot {
  instance_list List;
  /// When the call that returned the list was made.
  base::boot_time ReadAt;
};

/// \brief Background thread that polls the platform's list of instances.
class instance_poller {
public:
  /// \brief Called on the poller's thread with each list that was read.
  using list_callback = std::function<void(const instance_list &)>;

  /// \param Platform address of the platform's HTTP API
  /// \param OnList callback for new lists; may be empty; must not block
  /// \param Period delay between the end of one read and the next read
  explicit instance_poller(const base::endpoint &Platform,
                           list_callback OnList = {},
                           std::chrono::milliseconds Period = PollPeriod);
  ~instance_poller();

  /// \brief Starts the thread.
  void start();

  /// \brief Cancels a pending call and joins the thread, within 1 s.
  void stop();

  /// \brief Returns the last list that was read, or null before the first one.
  /// While the platform is unavailable, the list stays unchanged, whatever its
  /// age. Thread-safe.
  std::shared_ptr<const instance_snapshot> latest() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::instances

#endif
