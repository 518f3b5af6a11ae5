#ifndef SKYLARKDYKE_NET_SIGNAL_LISTENER_HPP
#define SKYLARKDYKE_NET_SIGNAL_LISTENER_HPP

#include "skylarkdyke/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <initializer_list>
#include <memory>

namespace skylarkdyke::net {

/// \brief Passes signals of the process to its event loop, each with the time
/// of its arrival.
///
/// The platform measures the grace of a stop from the signal, which a busy
/// loop handles later. Only one listener may exist at a time. Not thread-safe:
/// all calls must come from the thread of the event loop.
class signal_listener {
public:
  using handler = std::function<void(int Signal, base::boot_time ArrivedAt)>;

  /// \param OnSignal called from the event loop
  signal_listener(boost::asio::io_context &Loop,
                  std::initializer_list<int> Signals, handler OnSignal);
  /// \brief Restores the default actions of the signals.
  ~signal_listener();
  signal_listener(const signal_listener &) = delete;
  signal_listener &operator=(const signal_listener &) = delete;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace skylarkdyke::net

#endif
