#ifndef SKYLARKDYKE_NET_DETAIL_GROWING_BODY_HPP
#define SKYLARKDYKE_NET_DETAIL_GROWING_BODY_HPP

#include <boost/beast/core/buffers_range.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>

namespace skylarkdyke::net::detail {

/// \brief String body that grows with the bytes received. Beast's string_body
/// reserves the whole Content-Length, which a peer may state at will.
struct growing_body {
  using value_type = std::string;

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
