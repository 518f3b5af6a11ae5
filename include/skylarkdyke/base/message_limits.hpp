#ifndef SKYLARKDYKE_BASE_MESSAGE_LIMITS_HPP
#define SKYLARKDYKE_BASE_MESSAGE_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace skylarkdyke::base {

/// \brief Limits on the size of a message from a peer and on the time to
/// receive it.
struct message_limits {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1048576;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

} // namespace skylarkdyke::base

#endif
