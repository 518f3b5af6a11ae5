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
  void teardown() override {
    Listener.reset();
    Loop.restart();
    Loop.poll();
  }
};

// Guards against a busy loop that takes the time at which it handles a signal
// for the time of its arrival.
TEST(net_signal_listener, TellsWhenASignalArrivedAtABusyLoop) {
  std::raise(SIGUSR1);
  const auto Raised = base::boot_clock::now();
  std::this_thread::sleep_for(30ms);
  Loop.run_for(5ms);
  LONGS_EQUAL(1, Handled.size());
  CHECK(Handled[0].ArrivedAt <= Raised);
  CHECK(Raised - Handled[0].ArrivedAt < 20ms);
}

TEST(net_signal_listener, DeliversAllSignalsInTheirOrder) {
  std::raise(SIGUSR1);
  std::raise(SIGUSR2);
  std::raise(SIGUSR1);
  Loop.run_for(5ms);
  LONGS_EQUAL(3, Handled.size());
  LONGS_EQUAL(SIGUSR1, Handled[0].Signal);
  LONGS_EQUAL(SIGUSR2, Handled[1].Signal);
  LONGS_EQUAL(SIGUSR1, Handled[2].Signal);
}
