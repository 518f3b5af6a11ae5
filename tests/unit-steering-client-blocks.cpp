#include "skylarkdyke/steering/client_blocks.hpp"

#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using steering::client_blocks;

static std::string dotted(std::uint32_t Address) {
  std::string Text;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Text += std::to_string(Address >> Shift & 255U) + (Shift > 0 ? "." : "");
  return Text;
}

/// Reference implementation: finds the longest matching prefix by a linear
/// scan.
static const base::region_name *
linearScan(const std::vector<config::client_block> &Blocks,
           std::uint32_t Address) {
  const base::region_name *Found = nullptr;
  unsigned FoundLength = 0;
  for (const auto &Block : Blocks) {
    const auto Prefix = *steering::parsePrefix(Block.Prefix);
    const std::uint64_t Size = std::uint64_t{1} << (32 - Prefix.Length);
    if (Address < Prefix.Address || Address - Prefix.Address >= Size ||
        (Found && Prefix.Length < FoundLength))
      continue;
    Found = &Block.Region;
    FoundLength = Prefix.Length;
  }
  return Found;
}

TEST_GROUP(steering_client_blocks){};

// Guards against clients that are sent to the region of a wider or adjacent
// block, because nested or adjacent prefixes are flattened incorrectly.
TEST(steering_client_blocks, EqualsALinearScan) {
  CHECK(rc::check([] {
    std::vector<config::client_block> Blocks;
    std::vector<std::uint32_t> Addresses{0, 0xffffffffU};
    const int Count = *rc::gen::inRange(0, 60);
    Blocks.reserve(static_cast<std::size_t>(Count));
    // Few distinct address bits make nested and adjacent blocks likely.
    const auto AddressMask =
        *rc::gen::element(0xffffffffU, 0xc0030007U, 0x0001ff03U);
    for (int I = 0; I < Count; ++I) {
      const auto Address = *rc::gen::arbitrary<std::uint32_t>() & AddressMask;
      const auto Length = *rc::gen::inRange(0, 33);
      Blocks.push_back(
          {dotted(Address) + "/" + std::to_string(Length),
           base::region_name(std::to_string(*rc::gen::inRange(0, 4)))});
      const auto First = steering::parsePrefix(Blocks.back().Prefix)->Address;
      const std::uint64_t Size = std::uint64_t{1} << (32 - Length);
      const auto Last = static_cast<std::uint32_t>(First + Size - 1);
      for (const auto Boundary : {Address, First, First - 1, Last, Last + 1})
        Addresses.push_back(Boundary);
    }
    const client_blocks Table(Blocks);
    for (const std::uint32_t Address : Addresses) {
      const auto *Expected = linearScan(Blocks, Address);
      const auto *Found = Table.find(Address);
      RC_ASSERT((Expected == nullptr) == (Found == nullptr));
      if (Found)
        RC_ASSERT(*Found == *Expected);
      RC_ASSERT(Table.find(dotted(Address)) == Found);
    }
  }));
}

// Guards against malformed text that is parsed as a different address.
TEST(steering_client_blocks, RefusesMalformedText) {
  for (const char *Text : {"", "1.2.3", "1.2.3.4.5", "1.2.3.256", "01.2.3.4",
                           "1.2.3.-4", "1.2.3.4 ", "::1", "a.b.c.d"}) {
    CHECK(!steering::parseAddress(Text));
    CHECK(!steering::parsePrefix(std::string(Text) + "/8"));
  }
  for (const char *Text : {"1.2.3.4", "1.2.3.4/", "1.2.3.4/33", "1.2.3.4/8x"})
    CHECK(!steering::parsePrefix(Text));
  LONGS_EQUAL(0x0a000000, steering::parsePrefix("10.1.2.3/8")->Address);
}
