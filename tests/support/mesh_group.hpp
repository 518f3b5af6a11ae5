#ifndef SKYLARKDYKE_TESTS_SUPPORT_MESH_GROUP_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_MESH_GROUP_HPP

#include "skylarkdyke/entries/mesh.hpp"
#include "support/wait_until.hpp"

#include <functional>
#include <string>

namespace test_support {

/// \brief Settings of a mesh on a free loopback port with a new incarnation.
skylarkdyke::entries::mesh_settings meshSettings(const std::string &Name);

/// \brief Number of members of a mesh that are reachable.
std::size_t reachableMembers(const skylarkdyke::entries::mesh &Mesh);

/// \brief A peer that speaks the protocol by hand over a blocking socket, to
/// send what a mesh never sends.
class raw_peer {
public:
  /// \brief Connects and ends the WebSocket handshake.
  explicit raw_peer(const skylarkdyke::base::endpoint &To);
  ~raw_peer();
  raw_peer(const raw_peer &) = delete;
  raw_peer &operator=(const raw_peer &) = delete;

  /// \brief Sends a binary frame; the peer may have closed already.
  void sendFrame(const std::string &Payload) const;

  /// \brief Sends a frame head that announces a payload, without the payload.
  void sendHead(std::uint64_t PayloadBytes) const;

  void sendMessage(const skylarkdyke::entries::message &Message) const;

  /// \brief Reads until the other side closes.
  /// \return false if it does not close within 5 s
  bool isClosedByPeer() const;

private:
  int Socket;
};

} // namespace test_support

#endif
