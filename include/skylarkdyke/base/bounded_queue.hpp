#ifndef SKYLARKDYKE_BASE_BOUNDED_QUEUE_HPP
#define SKYLARKDYKE_BASE_BOUNDED_QUEUE_HPP

#include "skylarkdyke/base/clock.hpp"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace skylarkdyke::base {

/// \brief Bounded queue between threads. A full queue rejects new items, and
/// the producer decides what to do with them, so that a slow consumer cannot
/// make memory grow. Thread-safe.
template <typename Item> class bounded_queue {
public:
  /// \param Capacity maximum number of queued items
  explicit bounded_queue(std::size_t Capacity) : Items(Capacity) {}

  /// \brief Appends an item.
  /// \return false if the queue is full or closed; the item is then dropped
  bool tryPush(Item Value) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Closed || Items.full())
        return false;
      Items.push_back(std::move(Value));
    }
    NotEmpty.notify_one();
    return true;
  }

  /// \brief Removes the oldest item; waits for one until the deadline.
  /// \return the item, or nothing if the deadline passed or the queue is closed
  /// and empty
  std::optional<Item> popUntil(boot_time Deadline) {
    std::unique_lock<std::mutex> Lock(Mutex);
    NotEmpty.wait_for(Lock, Deadline - boot_clock::now(),
                      [this] { return Closed || !Items.empty(); });
    if (Items.empty())
      return std::nullopt;
    Item Value = std::move(Items.front());
    Items.pop_front();
    return Value;
  }

  /// \brief Closes the queue: new items are rejected, and waiting consumers
  /// wake up.
  void close() {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
  }

  /// \brief Returns whether close() has been called.
  bool isClosed() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Closed;
  }

  /// \brief Returns the number of queued items.
  std::size_t size() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Items.size();
  }

private:
  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  boost::circular_buffer<Item> Items;
  bool Closed = false;
};

} // namespace skylarkdyke::base

#endif
