#include "net/detail/peer_state.hpp"

#include <poll.h>

namespace skylarkdyke::net::detail {

bool hasPeerClosed(int Socket) {
  if (Socket < 0)
    return true;
  // A read would report the end only after the unread bytes.
  pollfd State{Socket, POLLRDHUP, 0};
  return poll(&State, 1, 0) > 0;
}

} // namespace skylarkdyke::net::detail
