#include "skylarkdyke/base/clock.hpp"

#include <ctime>

namespace skylarkdyke::base {

boot_clock::time_point boot_clock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

boot_time toBootTime(wall_time Deadline) noexcept {
  return boot_clock::now() + std::chrono::duration_cast<boot_clock::duration>(
                                 Deadline - std::chrono::system_clock::now());
}

wall_time toWallTime(boot_time Deadline) noexcept {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<wall_time::duration>(Deadline -
                                                         boot_clock::now());
}

} // namespace skylarkdyke::base
