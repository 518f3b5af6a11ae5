#include "skylarkdyke/base/cbor_structure.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkdyke::base {

namespace {

/// Maximum nesting depth. A heartbeat with its member list has three levels.
constexpr std::size_t MaxDepth = 8;

/// Major types of RFC 8949, section 3.1.
enum major_type : unsigned {
  Unsigned = 0,
  Negative = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7,
};

/// Scans the heads of all data items of one CBOR item, without recursion.
class scanner {
public:
  scanner(std::string_view Input, std::uint64_t MaxItems)
      : Input(Input), MaxItems(MaxItems) {}

  const char *scan() {
    RemainingItems[0] = 1;
    while (Depth > 0) {
      if (RemainingItems[Depth - 1] == 0) {
        --Depth;
        continue;
      }
      --RemainingItems[Depth - 1];
      if (++Items > MaxItems)
        return "has too many items";
      if (const char *Reason = scanItem())
        return Reason;
    }
    return Position == Input.size() ? nullptr : "has bytes after its end";
  }

private:
  const char *scanItem() {
    if (Position == Input.size())
      return "is truncated";
    const auto InitialByte = static_cast<unsigned char>(Input[Position++]);
    const unsigned Major = InitialByte >> 5U;
    std::uint64_t Argument = InitialByte & 0x1FU;
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
    return scanContent(Major, Argument);
  }

  const char *scanContent(unsigned Major, std::uint64_t Argument) {
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
      RemainingItems[Depth++] = Major == Map ? 2 * Argument : Argument;
      return nullptr;
    case Tag:
      return "has a tag";
    default:
      return nullptr;
    }
  }

  std::string_view Input;
  std::uint64_t MaxItems;
  std::size_t Position = 0;
  std::uint64_t Items = 0;
  /// Number of items that are still expected at each nesting level.
  std::array<std::uint64_t, MaxDepth> RemainingItems{};
  std::size_t Depth = 1;
};

} // namespace

const char *checkCborStructure(std::string_view Bytes,
                               std::uint64_t MaxItems) noexcept {
  return scanner(Bytes, MaxItems).scan();
}

} // namespace skylarkdyke::base
