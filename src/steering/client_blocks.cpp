#include "skylarkdyke/steering/client_blocks.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <tuple>
#include <unordered_map>

namespace skylarkdyke::steering {

static constexpr unsigned AddressBits = 32;
static constexpr unsigned OctetBits = 8;
static constexpr unsigned UpperBits = 16;
static constexpr std::uint32_t LastAddress =
    std::numeric_limits<std::uint32_t>::max();

/// Parses a decimal number without sign or leading zero at the start of Text
/// and removes it from Text.
static std::optional<unsigned> consumeNumber(std::string_view &Text,
                                             unsigned Max) {
  unsigned Number = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  const auto Digits = static_cast<std::size_t>(End - Text.data());
  if (Error != std::errc() || Number > Max ||
      (Digits > 1 && Text.front() == '0'))
    return std::nullopt;
  Text.remove_prefix(Digits);
  return Number;
}

std::optional<std::uint32_t> parseAddress(std::string_view Text) {
  std::uint32_t Address = 0;
  for (int Octet = 0; Octet < 4; ++Octet) {
    if (Octet > 0) {
      if (Text.empty() || Text.front() != '.')
        return std::nullopt;
      Text.remove_prefix(1);
    }
    const auto Number = consumeNumber(Text, 255);
    if (!Number)
      return std::nullopt;
    Address = Address << OctetBits | *Number;
  }
  if (!Text.empty())
    return std::nullopt;
  return Address;
}

static std::uint32_t netmask(unsigned Length) {
  return Length == 0 ? 0 : LastAddress << (AddressBits - Length);
}

std::optional<ipv4_prefix> parsePrefix(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const auto Address = parseAddress(Text.substr(0, Slash));
  Text.remove_prefix(Slash + 1);
  const auto Length = consumeNumber(Text, AddressBits);
  if (!Address || !Length || !Text.empty())
    return std::nullopt;
  return ipv4_prefix{*Address & netmask(*Length), *Length};
}

namespace {

struct parsed_block {
  ipv4_prefix Prefix;
  std::uint16_t Region;

  std::uint32_t lastAddress() const {
    return Prefix.Address | ~netmask(Prefix.Length);
  }
};

/// Assigns consecutive numbers from 1 to region names and appends each new name
/// to a list.
class region_numbering {
public:
  explicit region_numbering(std::vector<base::region_name> &Regions)
      : Regions(Regions) {}

  std::uint16_t numberOf(const base::region_name &Region) {
    const auto [Position, IsNew] = Numbers.try_emplace(
        Region, static_cast<std::uint16_t>(Regions.size() + 1));
    if (IsNew)
      Regions.push_back(Region);
    return Position->second;
  }

private:
  std::vector<base::region_name> &Regions;
  std::unordered_map<base::region_name, std::uint16_t> Numbers;
};

} // namespace

/// Parses the blocks and sorts them by first address, wider blocks first.
static std::vector<parsed_block>
parseBlocks(const std::vector<config::client_block> &Blocks,
            std::vector<base::region_name> &Regions) {
  region_numbering Numbers(Regions);
  std::vector<parsed_block> Parsed;
  Parsed.reserve(Blocks.size());
  for (const config::client_block &Block : Blocks)
    if (const auto Prefix = parsePrefix(Block.Prefix))
      Parsed.push_back({*Prefix, Numbers.numberOf(Block.Region)});
  std::stable_sort(Parsed.begin(), Parsed.end(),
                   [](const parsed_block &Left, const parsed_block &Right) {
                     return std::tie(Left.Prefix.Address, Left.Prefix.Length) <
                            std::tie(Right.Prefix.Address, Right.Prefix.Length);
                   });
  return Parsed;
}

client_blocks::client_blocks(const std::vector<config::client_block> &Blocks) {
  // Stack of the nested blocks that contain the current address, innermost
  // last.
  std::vector<parsed_block> Enclosing;
  const auto PopInnermost = [&] {
    const std::uint32_t Last = Enclosing.back().lastAddress();
    Enclosing.pop_back();
    if (Last != LastAddress)
      addRange(Last + 1,
               Enclosing.empty() ? region_index{0} : Enclosing.back().Region);
  };
  addRange(0, 0);
  for (const parsed_block &Block : parseBlocks(Blocks, Regions)) {
    while (!Enclosing.empty() &&
           Enclosing.back().lastAddress() < Block.Prefix.Address)
      PopInnermost();
    addRange(Block.Prefix.Address, Block.Region);
    Enclosing.push_back(Block);
  }
  while (!Enclosing.empty())
    PopInnermost();
  Starts.shrink_to_fit();
  RangeRegions.shrink_to_fit();
  indexUpperBits();
}

void client_blocks::addRange(std::uint32_t Start, region_index Region) {
  if (!Starts.empty() && Starts.back() == Start) {
    Starts.pop_back();
    RangeRegions.pop_back();
  }
  if (!Starts.empty() && RangeRegions.back() == Region)
    return;
  Starts.push_back(Start);
  RangeRegions.push_back(Region);
}

void client_blocks::indexUpperBits() {
  constexpr std::size_t Values = std::size_t{1} << UpperBits;
  FirstRange.resize(Values + 1);
  std::size_t Range = 0;
  for (std::size_t Value = 0; Value < Values; ++Value) {
    while (Range < Starts.size() && Starts[Range] >> UpperBits < Value)
      ++Range;
    FirstRange[Value] = static_cast<std::uint32_t>(Range);
  }
  FirstRange[Values] = static_cast<std::uint32_t>(Starts.size());
}

const base::region_name *client_blocks::find(std::uint32_t Address) const {
  const std::uint32_t Upper = Address >> UpperBits;
  const auto Begin = Starts.begin() + FirstRange[Upper];
  const auto End = Starts.begin() + FirstRange[Upper + 1];
  // If no range with these upper bits starts at or before the address, the
  // address belongs to the range before Begin. That range exists because the
  // first one starts at address 0.
  const auto Next = std::upper_bound(Begin, End, Address);
  const region_index Region =
      RangeRegions[static_cast<std::size_t>(Next - Starts.begin()) - 1];
  return Region == 0 ? nullptr : &Regions[Region - std::size_t{1}];
}

const base::region_name *client_blocks::find(std::string_view Address) const {
  const auto Parsed = parseAddress(Address);
  return Parsed ? find(*Parsed) : nullptr;
}

std::size_t client_blocks::memoryBytes() const {
  return Starts.capacity() * sizeof(std::uint32_t) +
         RangeRegions.capacity() * sizeof(region_index) +
         FirstRange.capacity() * sizeof(std::uint32_t) +
         Regions.capacity() * sizeof(base::region_name);
}

} // namespace skylarkdyke::steering
