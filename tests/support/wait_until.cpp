#include "support/wait_until.hpp"

#include <thread>

namespace test_support {

bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

bool eventually(const std::function<bool()> &Condition) {
  return waitUntil(Condition, std::chrono::seconds(5));
}

} // namespace test_support
