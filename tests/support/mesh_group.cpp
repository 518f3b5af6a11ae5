#include "support/mesh_group.hpp"

#include "skylarkdyke/entries/codec.hpp"
#include "support/free_port.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

entries::mesh_settings meshSettings(const std::string &Name) {
  entries::mesh_settings Settings;
  entries::member &Self = Settings.Self;
  Self.Name = base::entry_name(Name);
  Self.Incarnation = base::generateIncarnation();
  Self.Region = base::region_name("mazowsze");
  Self.Domain = base::domain_name("maz-a");
  Self.CallerAddress = {"127.0.0.1", 1};
  Self.PeerAddress = {"127.0.0.1", freePort()};
  Self.Ready = true;
  return Settings;
}

std::size_t reachableMembers(const entries::mesh &Mesh) {
  const auto All = Mesh.members();
  return static_cast<std::size_t>(std::count_if(
      All.begin(), All.end(), [](const auto &Each) { return Each.Reachable; }));
}

raw_peer::raw_peer(const base::endpoint &To)
    : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
  const timeval Limit{5, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  const int Small = 4096;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Small, sizeof(Small));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Address.c_str(), &Address.sin_addr);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0)
    return;
  const std::string Upgrade =
      "GET /mesh HTTP/1.1\r\nHost: " + base::toString(To) +
      "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n"
      "Sec-WebSocket-Version: 13\r\n\r\n";
  send(Socket, Upgrade.data(), Upgrade.size(), MSG_NOSIGNAL);
  std::string Answer;
  char Next = 0;
  while (Answer.find("\r\n\r\n") == std::string::npos &&
         recv(Socket, &Next, 1, 0) == 1)
    Answer += Next;
}

raw_peer::~raw_peer() { close(Socket); }

void raw_peer::sendHead(std::uint64_t PayloadBytes) const {
  // A final binary frame with a 64-bit length and a mask of zeros, which
  // leaves the payload as it is.
  std::string Head = "\x82\xff";
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Head += static_cast<char>(PayloadBytes >> static_cast<unsigned>(Shift));
  Head.append(4, '\0');
  // websocketpp refuses a length that is not in its shortest form.
  if (PayloadBytes < 126)
    Head = std::string("\x82") + static_cast<char>(0x80U | PayloadBytes) +
           std::string(4, '\0');
  else if (PayloadBytes < 65536)
    Head = std::string("\x82\xfe") + Head.substr(8, 2) + std::string(4, '\0');
  send(Socket, Head.data(), Head.size(), MSG_NOSIGNAL);
}

void raw_peer::sendFrame(const std::string &Payload) const {
  sendHead(Payload.size());
  send(Socket, Payload.data(), Payload.size(), MSG_NOSIGNAL);
}

void raw_peer::sendMessage(const entries::message &Message) const {
  sendFrame(entries::encode(Message));
}

bool raw_peer::isClosedByPeer() const {
  std::array<char, 4096> Buffer{};
  const auto Deadline = base::boot_clock::now() + 5s;
  while (base::boot_clock::now() < Deadline) {
    const auto Got = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Got == 0 || (Got < 0 && errno != EAGAIN))
      return true;
  }
  return false;
}

} // namespace test_support
