#ifndef SKYLARKDYKE_TESTS_SUPPORT_CLIENT_CROWD_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_CLIENT_CROWD_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace test_support {

/// \brief Bytes that a client of a crowd sends.
struct client_script {
  std::string Start;
  /// Sent this number of times after the start.
  std::string Unit;
  std::size_t UnitCount = 0;
  std::string End;

  std::size_t size() const {
    return Start.size() + Unit.size() * UnitCount + End.size();
  }
};

/// \brief Clients that send the same bytes at the same time and leave their
/// connections open until the crowd goes out of scope.
class client_crowd {
public:
  /// \param ReceiveBuffer bytes that each client accepts without reading; the
  /// default of the system if 0
  client_crowd(const skylarkdyke::base::endpoint &Peer, std::size_t Count,
               int ReceiveBuffer = 0);
  ~client_crowd();
  client_crowd(const client_crowd &) = delete;
  client_crowd &operator=(const client_crowd &) = delete;

  /// \brief Sends the script on all connections, piece by piece in turn. Ends
  /// once each connection has sent it, has failed or blocks for good.
  /// \param Piece bytes that a client sends before it is the turn of the next
  void send(const client_script &Script, std::size_t Piece);

  /// \brief Sends the script on one connection after the other, and waits after
  /// each until the peer has begun to answer or has closed the connection.
  void sendInTurn(const client_script &Script);

private:
  struct connection {
    int Socket = -1;
    std::size_t Sent = 0;
    bool Failed = false;
  };

  static bool sendPiece(connection &Connection, const client_script &Script,
                        std::size_t Piece);

  std::vector<connection> Connections;
};

} // namespace test_support

#endif
