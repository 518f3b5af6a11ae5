#include "support/free_port.hpp"

#include <arpa/inet.h>
#include <mutex>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace test_support {

static std::uint16_t bindAnyPort() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound = bind(Socket, Generic, Size) == 0 &&
                     getsockname(Socket, Generic, &Size) == 0;
  close(Socket);
  if (!Bound)
    throw std::runtime_error("no free port");
  return ntohs(Address.sin_port);
}

std::uint16_t freePort() {
  static std::mutex Mutex;
  static std::set<std::uint16_t> Used;
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::uint16_t Port = bindAnyPort();
  while (!Used.insert(Port).second)
    Port = bindAnyPort();
  return Port;
}

} // namespace test_support
