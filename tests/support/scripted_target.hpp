#ifndef SKYLARKDYKE_TESTS_SUPPORT_SCRIPTED_TARGET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SCRIPTED_TARGET_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <functional>
#include <memory>
#include <string>

namespace test_support {

/// \brief One request that a scripted target has received.
class scripted_request {
public:
  scripted_request(int Socket, std::string Header, unsigned Number)
      : Socket(Socket), Header(std::move(Header)), Number(Number) {}

  /// \brief Value of a header, or nothing.
  std::string field(const std::string &Name) const;
  std::string requestId() const { return field("Skylarkdyke-Request-Id"); }

  /// \brief All lines of the header.
  const std::string &header() const { return Header; }

  /// \brief Length of the body that the header states, or 0.
  std::size_t bodyLength() const;

  /// \brief Path with query.
  std::string path() const;

  /// \brief Requests received before on this connection.
  unsigned earlierRequests() const { return Number; }

  /// \brief Sends exactly these bytes.
  void send(const std::string &Bytes) const;

  /// \brief Sends these bytes again and again until the peer closes the
  /// connection.
  void sendWithoutEnd(const std::string &Bytes) const;

  /// \brief Ends the sending side of the connection, in order.
  void endSending() const;

  /// \brief Ends the connection after the bytes sent so far, or with a reset.
  void close() const;
  void reset() const;

private:
  int Socket;
  std::string Header;
  unsigned Number;
};

/// \brief When a scripted target answers a request.
enum class answer_time {
  AfterBody,
  /// Right after the header. Of a request with a body, nothing more is read,
  /// and the kernel takes little of it.
  AfterHeader,
};

/// \brief TCP server that answers each request with exactly the bytes that a
/// handler sends. Each connection has a thread of its own.
class scripted_target {
public:
  /// \brief Called for each request. It must be thread-safe.
  using handler = std::function<void(const scripted_request &)>;

  explicit scripted_target(handler OnRequest,
                           answer_time Time = answer_time::AfterBody);
  ~scripted_target();
  scripted_target(const scripted_target &) = delete;
  scripted_target &operator=(const scripted_target &) = delete;

  const skylarkdyke::base::endpoint &address() const;

  /// \brief How often a request with this path was received.
  int received(const std::string &Path) const;

  /// \brief Connections accepted so far.
  int connections() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace test_support

#endif
