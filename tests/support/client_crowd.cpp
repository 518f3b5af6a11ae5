#include "support/client_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace test_support {

using namespace std::chrono_literals;

/// A peer that reads nothing for this long does not read on.
static constexpr std::chrono::milliseconds BlockedTime{3000};
/// Longest wait for the start of a response.
static constexpr std::chrono::milliseconds ResponseWait{5000};

client_crowd::client_crowd(const skylarkdyke::base::endpoint &Peer,
                           std::size_t Count, int ReceiveBuffer) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  inet_pton(AF_INET, Peer.Address.c_str(), &Address.sin_addr);
  for (std::size_t I = 0; I < Count; ++I) {
    connection Connection;
    Connection.Socket =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (ReceiveBuffer > 0)
      setsockopt(Connection.Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
    Connection.Failed =
        connect(Connection.Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0 &&
        errno != EINPROGRESS;
    Connections.push_back(Connection);
  }
}

client_crowd::~client_crowd() {
  for (const connection &Connection : Connections)
    close(Connection.Socket);
}

/// Returns the bytes of a script from an offset up to the end of the part that
/// the offset is in.
static std::string_view bytesAt(const client_script &Script,
                                std::size_t Offset) {
  if (Offset < Script.Start.size())
    return std::string_view(Script.Start).substr(Offset);
  Offset -= Script.Start.size();
  if (Offset < Script.Unit.size() * Script.UnitCount)
    return std::string_view(Script.Unit).substr(Offset % Script.Unit.size());
  return std::string_view(Script.End)
      .substr(Offset - Script.Unit.size() * Script.UnitCount);
}

/// \return whether any byte was sent
bool client_crowd::sendPiece(connection &Connection,
                             const client_script &Script, std::size_t Piece) {
  const std::size_t SentBefore = Connection.Sent;
  const std::size_t Until = std::min(Connection.Sent + Piece, Script.size());
  while (!Connection.Failed && Connection.Sent < Until) {
    const auto Bytes =
        bytesAt(Script, Connection.Sent).substr(0, Until - Connection.Sent);
    const ssize_t Count =
        ::send(Connection.Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0) {
      Connection.Failed = errno != EAGAIN && errno != EWOULDBLOCK;
      break;
    }
    Connection.Sent += static_cast<std::size_t>(Count);
  }
  return Connection.Sent > SentBefore;
}

void client_crowd::send(const client_script &Script, std::size_t Piece) {
  auto LastProgress = std::chrono::steady_clock::now();
  const auto IsFinished = [&Script](const connection &Connection) {
    return Connection.Failed || Connection.Sent == Script.size();
  };
  while (!std::all_of(Connections.begin(), Connections.end(), IsFinished) &&
         std::chrono::steady_clock::now() < LastProgress + BlockedTime) {
    bool Progress = false;
    for (connection &Connection : Connections)
      Progress = sendPiece(Connection, Script, Piece) || Progress;
    if (Progress)
      LastProgress = std::chrono::steady_clock::now();
    else
      std::this_thread::sleep_for(1ms);
  }
}

void client_crowd::sendInTurn(const client_script &Script) {
  for (connection &Connection : Connections) {
    pollfd Writable{Connection.Socket, POLLOUT, 0};
    poll(&Writable, 1, static_cast<int>(ResponseWait.count()));
    sendPiece(Connection, Script, Script.size());
    pollfd Readable{Connection.Socket, POLLIN, 0};
    poll(&Readable, 1, static_cast<int>(ResponseWait.count()));
  }
}

} // namespace test_support
