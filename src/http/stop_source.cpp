#include "skylarkdyke/http/stop_source.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace skylarkdyke::http {

stop_source::stop_source() {
  std::array<int, 2> Sockets{};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, Sockets.data()) != 0)
    throw std::system_error(errno, std::generic_category(), "socketpair");
  Watched = Sockets[0];
  Other = Sockets[1];
}

stop_source::~stop_source() {
  close(Watched);
  close(Other);
}

void stop_source::stop() noexcept { shutdown(Other, SHUT_RDWR); }

} // namespace skylarkdyke::http
