#ifndef SKYLARKDYKE_TESTS_SUPPORT_SCRIPTED_TARGET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SCRIPTED_TARGET_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace test_support {

/// \brief Part of a scripted response.
struct scripted_step {
  std::string Bytes;
  /// Pause before the bytes are sent.
  std::chrono::milliseconds Pause{0};
};

/// \brief What a scripted target does with the connection after its script.
enum class scripted_end { Keep, Close, Reset };

/// \brief Stand-in for a target that answers every request with the same steps,
/// on a thread of its own. All calls are thread-safe.
class scripted_target {
public:
  scripted_target();
  ~scripted_target();
  scripted_target(const scripted_target &) = delete;
  scripted_target &operator=(const scripted_target &) = delete;

  skylarkdyke::base::endpoint address() const;

  /// \brief Replaces the script for the requests to come. "{id}" in the first
  /// step is replaced by the id of the request.
  void setScript(std::vector<scripted_step> Steps, scripted_end End);

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
