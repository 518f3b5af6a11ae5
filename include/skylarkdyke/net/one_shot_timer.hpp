#ifndef SKYLARKDYKE_NET_ONE_SHOT_TIMER_HPP
#define SKYLARKDYKE_NET_ONE_SHOT_TIMER_HPP

#include "skylarkdyke/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace skylarkdyke::net {

/// \brief Timer that runs a callback once, unless it is set again, cancelled or
/// destroyed before the callback runs.
///
/// A plain Asio timer does not guarantee this: a wait whose time has passed
/// can no longer be cancelled, and its handler still runs after the handlers
/// that were queued before it. Not thread-safe: all calls must come from the
/// thread of the event loop.
class one_shot_timer {
public:
  explicit one_shot_timer(boost::asio::io_context &Loop);
  ~one_shot_timer();
  one_shot_timer(const one_shot_timer &) = delete;
  one_shot_timer &operator=(const one_shot_timer &) = delete;

  /// \brief Runs the callback at the given time, at once if it has passed, and
  /// never from within this call. Replaces a callback that was set before.
  void set(base::boot_time Until, std::function<void()> Callback);

  /// \brief Discards the callback. Does nothing if none is set.
  void cancel();

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace skylarkdyke::net

#endif
