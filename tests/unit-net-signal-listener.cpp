#include "skylarkdyke/net/signal_listener.hpp"

#include <csignal>
#include <optional>
#include <thread>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(net_signal_listener) {
  struct handled_signal {
    int Signal;
    base::boot_time ArrivedAt;
  };
  boost::asio::io_context Loop;
  std::vector<handled_signal> Handled;
  std::optional<net::signal_listener> Listener;

  void setup() override {
    Listener.emplace(Loop, std::initializer_list<int>{SIGUSR1, SIGUSR2},
                     [this](int Signal, base::boot_time ArrivedAt) {
                       Handled.push_back({Signal, ArrivedAt});
                     });
  }
  void runUntilHandled(std::size_t Count) {
    const auto Deadline = base::boot_clock::now() + 5s;
    while (Handled.size() < Count && base::boot_clock::now() < Deadline)
      Loop.run_one_for(100ms);
    LONGS_EQUAL(Count, Handled.size());
  }
  void teardown() override {
    Listener.reset();
    Loop.restart();
    Loop.poll();
  }
};

// Guards against a busy loop that takes the time at which it handles a signal
// for the time of its arrival.
TEST(net_signal_listener, TellsWhenASignalArrivedAtABusyLoop) {
  const auto Before = base::boot_clock::now();
  std::raise(SIGUSR1);
  const auto After = base::boot_clock::now();
  std::this_thread::sleep_for(10ms);
  runUntilHandled(1);
  CHECK(Before <= Handled[0].ArrivedAt);
  CHECK(Handled[0].ArrivedAt <= After);
}

TEST(net_signal_listener, DeliversAllSignalsInTheirOrder) {
  std::raise(SIGUSR1);
  std::raise(SIGUSR2);
  std::raise(SIGUSR1);
  runUntilHandled(3);
  LONGS_EQUAL(SIGUSR1, Handled[0].Signal);
  LONGS_EQUAL(SIGUSR2, Handled[1].Signal);
  LONGS_EQUAL(SIGUSR1, Handled[2].Signal);
}
