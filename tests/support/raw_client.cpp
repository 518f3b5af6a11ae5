#include "support/raw_client.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace test_support {

raw_client::raw_client(const skylarkdyke::base::endpoint &Peer)
    : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  inet_pton(AF_INET, Peer.Address.c_str(), &Address.sin_addr);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0)
    close();
}

raw_client::~raw_client() { close(); }

void raw_client::close() {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

void raw_client::send(const std::string &Bytes) const {
  const ssize_t Sent = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  (void)Sent;
}

std::string raw_client::receive() const {
  std::string All;
  std::array<char, 4096> Part{};
  ssize_t Count = 0;
  while ((Count = recv(Socket, Part.data(), Part.size(), MSG_DONTWAIT)) > 0)
    All.append(Part.data(), static_cast<std::size_t>(Count));
  return All;
}

bool raw_client::isClosed() const {
  char Byte = 0;
  const ssize_t Count = recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace test_support
