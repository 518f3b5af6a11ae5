#ifndef SKYLARKDYKE_ENTRY_DETAIL_CONTROL_LOOP_HPP
#define SKYLARKDYKE_ENTRY_DETAIL_CONTROL_LOOP_HPP

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace skylarkdyke::entry::detail {

/// \brief Thread that calls a function at an interval, and sooner when woken.
class control_loop {
public:
  control_loop(std::chrono::milliseconds Interval, std::function<void()> Tick);
  ~control_loop();

  void start();
  /// \brief Calls the function as soon as possible.
  void wake();
  /// \brief Ends the thread after a running call.
  void stop();

private:
  void run();

  std::chrono::milliseconds Interval;
  std::function<void()> Tick;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Woken = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace skylarkdyke::entry::detail

#endif
