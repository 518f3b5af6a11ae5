#ifndef SKYLARKDYKE_TESTS_SUPPORT_RAW_CLIENT_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_RAW_CLIENT_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <string>

namespace test_support {

/// \brief Blocking TCP client that sends and receives plain bytes.
class raw_client {
public:
  explicit raw_client(const skylarkdyke::base::endpoint &Peer);
  ~raw_client();
  raw_client(const raw_client &) = delete;
  raw_client &operator=(const raw_client &) = delete;

  void send(const std::string &Bytes) const;

  /// \brief Reads what has arrived, without waiting.
  std::string receive() const;

  /// \brief Whether the peer closed or reset the connection and everything was
  /// read.
  bool isClosed() const;

  /// \brief Closes the connection.
  void close();

private:
  int Socket;
};

} // namespace test_support

#endif
