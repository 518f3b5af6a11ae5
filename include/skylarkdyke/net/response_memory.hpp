#ifndef SKYLARKDYKE_NET_RESPONSE_MEMORY_HPP
#define SKYLARKDYKE_NET_RESPONSE_MEMORY_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <cstddef>
#include <functional>
#include <unordered_set>

namespace skylarkdyke::net {

/// \brief Bounds the memory of the incomplete responses of a process.
///
/// Peers may send without end on many connections at the same time. Once the
/// incomplete responses together exceed the limit, the largest response of the
/// peer that holds the most memory is ended, so that responses of other peers
/// can be completed. Not thread-safe.
class response_memory {
public:
  /// \param Limit maximum number of bytes of all incomplete responses together
  explicit response_memory(std::size_t Limit) : Limit(Limit) {}
  response_memory(const response_memory &) = delete;
  response_memory &operator=(const response_memory &) = delete;

  /// \brief Returns the maximum number of bytes of one response.
  std::size_t maxResponseBytes() const { return Limit / MinLargestResponses; }

  /// \brief Memory of one incomplete response.
  class holding {
  public:
    /// \param Peer sender of the response
    /// \param OnReclaim called if the response must end; it must not change a
    /// holding before it has returned
    holding(response_memory &Memory, base::endpoint Peer,
            std::function<void()> OnReclaim);
    ~holding() { resize(0); }
    holding(const holding &) = delete;
    holding &operator=(const holding &) = delete;

    /// \brief Sets the number of bytes held.
    void resize(std::size_t NewBytes);

  private:
    friend class response_memory;
    response_memory &Memory;
    base::endpoint Peer;
    std::function<void()> OnReclaim;
    std::size_t Bytes = 0;
  };

private:
  /// Number of responses of the maximum size that fit at the same time.
  static constexpr std::size_t MinLargestResponses = 4;

  void reclaimLargest();

  std::size_t Limit;
  std::size_t HeldBytes = 0;
  /// Holdings of more than zero bytes.
  std::unordered_set<holding *> Holdings;
};

} // namespace skylarkdyke::net

#endif
