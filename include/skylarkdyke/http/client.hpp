#ifndef SKYLARKDYKE_HTTP_CLIENT_HPP
#define SKYLARKDYKE_HTTP_CLIENT_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace skylarkdyke::http {

/// Largest head of an answer, interim answers (1xx) included, in bytes. Also
/// the largest line of the chunked coding and the largest trailers.
inline constexpr std::size_t MaxAnswerHeaderBytes = 8192;

/// \brief Why an exchange brought no whole response.
enum class exchange_fault {
  ConnectRefused,
  ConnectTimeout,
  ClosedWithoutAnswer,
  Truncated,
  DeadlinePassed,
  CallerGone,
  Malformed,
  TooLarge,
  /// Bytes of a head, or of a body of unknown length, beyond the limits.
  Endless,
  /// The pool's bound on connections to the peer is reached.
  ConnectionLimit,
};

/// \brief Failure of an exchange.
struct exchange_error {
  exchange_fault Fault;
  /// True only if no byte of the request reached the socket, so that the peer
  /// cannot have run it.
  bool NothingSent;
};

/// \brief Name of a fault for logs and metrics, in snake case.
const char *toString(exchange_fault Fault);

/// \brief Limits of one exchange.
struct exchange_limits {
  base::boot_time Deadline;
  /// Largest body. Head and body, with all of the chunked coding, take at most
  /// MaxAnswerHeaderBytes more.
  std::size_t MaxAnswerBytes;
  /// Socket of the caller; its closing ends the exchange. -1: none.
  int CallerSocket = -1;
  /// Nothing is sent after this instant.
  base::boot_time SendBy = base::boot_time::max();
};

/// \brief Sets the source address of all connections that this process opens
/// from now on. \param Address IPv4 address of this machine; empty lets the
/// system choose
void setSourceAddress(const std::string &Address);

/// \brief One kept-open HTTP/1.1 connection (Boost.Beast) that never sends a
/// request twice by itself.
///
/// After any failed exchange the connection is closed and not usable again, so
/// a late answer can never be taken for the answer to a later request. Not
/// thread-safe: one exchange at a time.
class connection {
public:
  ~connection();
  connection(connection &&) noexcept;
  connection &operator=(connection &&) noexcept;

  /// \brief Opens a connection.
  /// \param Peer address to connect to
  /// \param Deadline instant by which it must be open
  /// \return the connection, or an error with NothingSent set
  static base::result<connection, exchange_error>
  open(const base::endpoint &Peer, base::boot_time Deadline);

  /// \brief Sends a request and reads its whole response.
  /// \param Request the request; Host and Content-Length are added
  /// \param Limits deadline, size and caller socket
  /// \return the whole response, or the reason why there is none
  base::result<response, exchange_error>
  exchange(const request &Request, const exchange_limits &Limits);

  /// \brief Tells whether another exchange can be tried on this connection:
  /// the last one was complete, and the peer has neither closed the connection
  /// nor sent anything since.
  bool isReusable() const noexcept;

private:
  struct impl;
  explicit connection(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

/// \brief Tells whether the peer of a socket has closed it, without consuming
/// data. \param Socket a connected socket; a negative one counts as open
bool isClosedByPeer(int Socket);

/// \brief Opens a connection, makes one exchange and closes it.
/// \return the whole response, or the reason why there is none
base::result<response, exchange_error> fetch(const base::endpoint &Peer,
                                             const request &Request,
                                             const exchange_limits &Limits);

} // namespace skylarkdyke::http

#endif
