#include "entry/detail/control_loop.hpp"

namespace skylarkdyke::entry::detail {

control_loop::control_loop(std::chrono::milliseconds Interval,
                           std::function<void()> Tick)
    : Interval(Interval), Tick(std::move(Tick)) {}

control_loop::~control_loop() { stop(); }

void control_loop::start() {
  Thread = std::thread([this] { run(); });
}

void control_loop::wake() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Woken = true;
  }
  Changed.notify_all();
}

void control_loop::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void control_loop::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Woken = false;
    Lock.unlock();
    Tick();
    Lock.lock();
    Changed.wait_for(Lock, Interval, [this] { return Woken || Stopping; });
  }
}

} // namespace skylarkdyke::entry::detail
