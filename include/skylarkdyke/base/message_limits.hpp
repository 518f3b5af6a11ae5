#ifndef SKYLARKDYKE_BASE_MESSAGE_LIMITS_HPP
#define SKYLARKDYKE_BASE_MESSAGE_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace skylarkdyke::base {

/// \brief Limits on the size of the messages from a peer and on the time to
/// wait for them.
struct message_limits {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1048576;
  /// Time limit to receive the header of a request, from its first byte.
  std::chrono::milliseconds HeaderTimeout{3000};
  /// How long a connection may stay open without a request.
  std::chrono::milliseconds IdleTimeout{15000};
};

} // namespace skylarkdyke::base

#endif
