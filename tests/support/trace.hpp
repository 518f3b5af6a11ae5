#ifndef SKYLARKDYKE_TESTS_SUPPORT_TRACE_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_TRACE_HPP

#include "skylarkdyke/base/clock.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace test_support {

/// \brief What happened, or went wrong, at a time.
struct timed_line {
  skylarkdyke::base::wall_time At;
  std::string Text;
};

/// \brief Collects lines from several threads.
class trace {
public:
  void add(std::string Text) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Lines.push_back({std::chrono::system_clock::now(), std::move(Text)});
  }

  std::vector<timed_line> lines() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Lines;
  }

private:
  mutable std::mutex Mutex;
  std::vector<timed_line> Lines;
};

} // namespace test_support

#endif
