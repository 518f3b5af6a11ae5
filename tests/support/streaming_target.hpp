#ifndef SKYLARKDYKE_TESTS_SUPPORT_STREAMING_TARGET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_STREAMING_TARGET_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace test_support {

/// \brief Part of a response.
struct response_step {
  std::string Bytes;
  /// Pause before the bytes are sent.
  std::chrono::milliseconds Pause{0};
};

/// \brief What a streaming target does with the connection after its script.
enum class response_end { Keep, Close, Reset };

/// \brief Stand-in for a target that answers every request with the same steps,
/// on a thread of its own. All calls are thread-safe.
class streaming_target {
public:
  streaming_target();
  ~streaming_target();
  streaming_target(const streaming_target &) = delete;
  streaming_target &operator=(const streaming_target &) = delete;

  skylarkdyke::base::endpoint address() const;

  /// \brief Replaces the script for the requests to come. "{id}" in the first
  /// step is replaced by the id of the request.
  void setScript(std::vector<response_step> Steps, response_end End);

  /// \brief Number of requests received.
  unsigned runs() const;

  /// \brief Number of bytes that the kernel took, over all connections.
  std::size_t sentBytes() const;

  /// \brief Number of responses during which the peer closed the connection.
  unsigned cutByPeer() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace test_support

#endif
