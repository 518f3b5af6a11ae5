#ifndef SKYLARKDYKE_NET_DETAIL_PEER_STATE_HPP
#define SKYLARKDYKE_NET_DETAIL_PEER_STATE_HPP

namespace skylarkdyke::net::detail {

/// \brief Returns whether the peer of a TCP socket has closed its sending side
/// or reset the connection, also while bytes that it sent before are unread.
/// \param Socket native handle; a negative one counts as closed
bool hasPeerClosed(int Socket);

} // namespace skylarkdyke::net::detail

#endif
