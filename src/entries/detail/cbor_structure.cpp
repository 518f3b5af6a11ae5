#include "entries/detail/cbor_structure.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkdyke::entries::detail {

namespace {

/// A heartbeat with its member list nests three levels.
constexpr std::size_t MaxDepth = 8;
/// Bounds the parsed form to a few megabytes.
constexpr std::uint64_t MaxItems = 65536;

/// Major types of RFC 8949, section 3.1.
enum major : unsigned {
  Unsigned = 0,
  Negative = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7,
};

class scanner {
public:
  explicit scanner(std::string_view Input) : Input(Input) {}

  const char *run() {
    Open[0] = 1;
    while (Depth > 0) {
      if (Open[Depth - 1] == 0) {
        --Depth;
        continue;
      }
      --Open[Depth - 1];
      if (++Items > MaxItems)
        return "has too many items";
      if (const char *Reason = item())
        return Reason;
    }
    return Position == Input.size() ? nullptr : "has bytes after its end";
  }

private:
  const char *item() {
    if (Position == Input.size())
      return "is truncated";
    const auto Head = static_cast<unsigned char>(Input[Position++]);
    const unsigned Major = Head >> 5U;
    std::uint64_t Argument = Head & 0x1FU;
    if (Argument > 27)
      return "has an indefinite length or a reserved head";
    if (Argument >= 24) {
      const std::size_t Width = std::size_t{1} << (Argument - 24);
      if (Input.size() - Position < Width)
        return "is truncated";
      Argument = 0;
      for (std::size_t Index = 0; Index < Width; ++Index)
        Argument = Argument << 8U |
                   static_cast<unsigned char>(Input[Position + Index]);
      Position += Width;
    }
    return body(Major, Argument);
  }

  const char *body(unsigned Major, std::uint64_t Argument) {
    switch (Major) {
    case Bytes:
    case Text:
      if (Argument > Input.size() - Position)
        return "is truncated";
      Position += static_cast<std::size_t>(Argument);
      return nullptr;
    case Array:
    case Map:
      if (Argument > MaxItems)
        return "has too many items";
      if (Depth == MaxDepth)
        return "is nested too deeply";
      Open[Depth++] = Major == Map ? 2 * Argument : Argument;
      return nullptr;
    case Tag:
      return "has a tag";
    default:
      return nullptr;
    }
  }

  std::string_view Input;
  std::size_t Position = 0;
  std::uint64_t Items = 0;
  /// Items still to come at each open level.
  std::array<std::uint64_t, MaxDepth> Open{};
  std::size_t Depth = 1;
};

} // namespace

const char *checkCborStructure(std::string_view Bytes) noexcept {
  return scanner(Bytes).run();
}

} // namespace skylarkdyke::entries::detail
