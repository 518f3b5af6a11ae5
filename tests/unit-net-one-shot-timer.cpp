#include "skylarkdyke/net/one_shot_timer.hpp"

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(net_one_shot_timer) {
  boost::asio::io_context Loop;
  std::optional<net::one_shot_timer> Timer{Loop};
  int Expired = 0;

  void setTimer(std::chrono::milliseconds Delay) {
    Timer->set(base::boot_clock::now() + Delay, [this] { ++Expired; });
  }
  /// Queues the handler of the timer behind a handler that runs the action.
  void runWithQueuedHandler(const std::function<void()> &Action) {
    setTimer(1ms);
    boost::asio::steady_timer First(Loop,
                                    std::chrono::steady_clock::time_point{});
    First.async_wait([&](auto) { Action(); });
    std::this_thread::sleep_for(5ms);
    Loop.run_for(20ms);
  }
};

TEST(net_one_shot_timer, RunsItsCallbackOnce) {
  setTimer(1ms);
  Loop.run_for(20ms);
  LONGS_EQUAL(1, Expired);
}

TEST(net_one_shot_timer, CancelDiscardsACallbackThatIsAlreadyQueued) {
  runWithQueuedHandler([this] { Timer->cancel(); });
  LONGS_EQUAL(0, Expired);
}

TEST(net_one_shot_timer, SetReplacesACallbackThatIsAlreadyQueued) {
  runWithQueuedHandler([this] { setTimer(1h); });
  LONGS_EQUAL(0, Expired);
}

TEST(net_one_shot_timer, DestructionDiscardsACallbackThatIsAlreadyQueued) {
  runWithQueuedHandler([this] { Timer.reset(); });
  LONGS_EQUAL(0, Expired);
}
