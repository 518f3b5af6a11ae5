#include "net/detail/request_body.hpp"

#include <algorithm>
#include <utility>

namespace skylarkdyke::net::detail {

/// Size up to which a body of unknown length is one string.
static constexpr std::size_t FirstSegmentBytes = 65536;
/// Size of a segment. The allocator returns blocks of this size to the system
/// when they are freed.
static constexpr std::size_t SegmentBytes = 524288;

void received_body::append(const char *Data, std::size_t Size) {
  this->Size += Size;
  const std::size_t Capacity = std::max(Bytes.capacity(), FirstSegmentBytes);
  if (Segments.empty()) {
    const std::size_t First = std::min(Size, Capacity - Bytes.size());
    Bytes.append(Data, First);
    Data += First;
    Size -= First;
  }
  while (Size > 0) {
    if (Segments.empty() || Segments.back().size() == SegmentBytes) {
      Segments.emplace_back().reserve(SegmentBytes);
      Allocated += SegmentBytes;
    }
    std::string &Last = Segments.back();
    const std::size_t Part = std::min(Size, SegmentBytes - Last.size());
    Last.append(Data, Part);
    Data += Part;
    Size -= Part;
  }
}

std::string received_body::take() {
  Bytes.reserve(Size);
  for (std::string &Segment : Segments) {
    Bytes += Segment;
    std::string().swap(Segment);
  }
  Segments.clear();
  Allocated = 0;
  Size = 0;
  return std::exchange(Bytes, {});
}

} // namespace skylarkdyke::net::detail
