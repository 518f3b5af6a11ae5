#ifndef SKYLARKDYKE_NET_DETAIL_RESPONSE_STATUS_HPP
#define SKYLARKDYKE_NET_DETAIL_RESPONSE_STATUS_HPP

namespace skylarkdyke::net::detail {

/// \brief Returns whether a number is a status that a response to a request may
/// have: 100 to 599, but not 101, as no request asks for another protocol.
inline bool isResponseStatus(unsigned Status) {
  constexpr unsigned MinStatus = 100;
  constexpr unsigned MaxStatus = 599;
  constexpr unsigned SwitchingProtocols = 101;
  return Status >= MinStatus && Status <= MaxStatus &&
         Status != SwitchingProtocols;
}

} // namespace skylarkdyke::net::detail

#endif
