#ifndef SKYLARKDYKE_NET_DETAIL_REQUEST_BODY_HPP
#define SKYLARKDYKE_NET_DETAIL_REQUEST_BODY_HPP

#include <boost/beast/core/buffers_range.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace skylarkdyke::net::detail {

/// \brief Body of a request that is being received.
///
/// A body of unknown length is collected in segments: a string that grows holds
/// its bytes twice while it moves them.
class received_body {
public:
  /// \brief Allocates the memory of a body of known length. The pages of a
  /// large one are only used as bytes arrive.
  void reserve(std::size_t Length) { Bytes.reserve(Length); }

  void append(const char *Data, std::size_t Size);

  /// \brief Returns the number of bytes allocated.
  std::size_t allocatedBytes() const { return Allocated + Bytes.capacity(); }

  std::size_t size() const { return Size; }

  /// \brief Returns the whole body, and leaves this one empty.
  std::string take();

private:
  std::string Bytes;
  /// What follows Bytes. All but the last one are full.
  std::vector<std::string> Segments;
  std::size_t Allocated = 0;
  std::size_t Size = 0;
};

/// \brief Body type for the parser of Boost.Beast.
struct request_body {
  using value_type = received_body;

  class reader {
  public:
    template <class Header> reader(Header &, value_type &Body) : Body(Body) {}
    // Beast requires the names of these functions.
    // NOLINTBEGIN
    template <class Length>
    void init(const Length &, boost::system::error_code &Failure) {
      Failure = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Bytes, boost::system::error_code &Failure) {
      Failure = {};
      const std::size_t OldSize = Body.size();
      for (const auto Part : boost::beast::buffers_range_ref(Bytes))
        Body.append(static_cast<const char *>(Part.data()), Part.size());
      return Body.size() - OldSize;
    }
    void finish(boost::system::error_code &Failure) { Failure = {}; }
    // NOLINTEND

  private:
    value_type &Body;
  };
};

} // namespace skylarkdyke::net::detail

#endif
