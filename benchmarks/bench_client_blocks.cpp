// Memory, build time and lookup rate of the client block table on one core,
// beside one hash table per prefix length as the straightforward alternative.

#include "skylarkdyke/steering/client_blocks.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <exception>
#include <malloc.h>
#include <random>
#include <string>
#include <unordered_map>

using namespace skylarkdyke;

/// Processor time of this process; unlike elapsed time it leaves out the time
/// in which other processes had the core.
static std::chrono::duration<double> cpuTime() {
  return std::chrono::duration<double>(static_cast<double>(std::clock()) /
                                       CLOCKS_PER_SEC);
}

static constexpr unsigned Seed = 20261204;
static constexpr int RegionCount = 27;
static constexpr std::size_t AddressCount = 1U << 20;
static constexpr int Rounds = 9;

static std::string dotted(std::uint32_t Address) {
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%u.%u.%u.%u", Address >> 24,
                Address >> 16 & 255U, Address >> 8 & 255U, Address & 255U);
  return Text.data();
}

/// Blocks of /12 to /24, mostly long ones as in public routing tables.
static std::vector<config::client_block> makeBlocks(std::size_t Count) {
  std::mt19937 Random(Seed);
  std::discrete_distribution<unsigned> Length(
      {1, 1, 1, 1, 5, 2, 3, 5, 8, 8, 12, 10, 55});
  std::vector<config::client_block> Blocks;
  Blocks.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const unsigned Bits = 12 + Length(Random);
    const std::uint32_t Address = Random() & ~0U << (32 - Bits);
    Blocks.push_back(
        {dotted(Address) + "/" + std::to_string(Bits),
         base::region_name("r" + std::to_string(Random() % RegionCount))});
  }
  return Blocks;
}

/// Half of the addresses are at random, half within blocks.
static std::vector<std::uint32_t>
makeAddresses(const std::vector<config::client_block> &Blocks) {
  std::mt19937 Random(Seed + 1);
  std::vector<std::uint32_t> Addresses(AddressCount);
  for (std::size_t I = 0; I < AddressCount; ++I) {
    Addresses[I] = Random();
    if (I % 2 == 0) {
      const auto &Block = Blocks[Random() % Blocks.size()];
      const auto Prefix = *steering::parsePrefix(Block.Prefix);
      Addresses[I] = Prefix.Address | Addresses[I] >> Prefix.Length;
    }
  }
  return Addresses;
}

/// The alternative: looks the address up in the table of each length, longest
/// first.
class tables_by_length {
public:
  explicit tables_by_length(const std::vector<config::client_block> &Blocks) {
    for (const auto &Block : Blocks) {
      const auto Prefix = *steering::parsePrefix(Block.Prefix);
      const auto Region =
          std::find(Regions.begin(), Regions.end(), Block.Region);
      const auto Index = static_cast<std::uint16_t>(Region - Regions.begin());
      if (Region == Regions.end())
        Regions.push_back(Block.Region);
      Tables[Prefix.Length][Prefix.Address] = Index;
    }
  }

  const base::region_name *find(std::uint32_t Address) const {
    for (unsigned Length = 32; Length > 0; --Length) {
      const auto &Table = Tables[Length];
      if (Table.empty())
        continue;
      const auto Found = Table.find(Address & ~0U << (32 - Length));
      if (Found != Table.end())
        return &Regions[Found->second];
    }
    return nullptr;
  }

private:
  std::vector<base::region_name> Regions;
  std::array<std::unordered_map<std::uint32_t, std::uint16_t>, 33> Tables;
};

static std::size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

template <typename Table>
static void measure(const char *Name,
                    const std::vector<config::client_block> &Blocks,
                    const std::vector<std::uint32_t> &Addresses) {
  const std::size_t HeapBefore = heapBytes();
  const auto BuildStart = cpuTime();
  const Table Built(Blocks);
  const std::chrono::duration<double, std::milli> BuildTime =
      cpuTime() - BuildStart;
  const std::size_t Heap = heapBytes() - HeapBefore;
  std::array<double, Rounds> Rates{};
  std::size_t Hits = 0;
  for (double &Rate : Rates) {
    const auto Start = cpuTime();
    for (const std::uint32_t Address : Addresses)
      Hits += Built.find(Address) != nullptr ? 1 : 0;
    const std::chrono::duration<double> Time = cpuTime() - Start;
    Rate = static_cast<double>(Addresses.size()) / Time.count();
  }
  std::sort(Rates.begin(), Rates.end());
  std::printf("%8zu  %-14s %9.2f %9.1f %14.1f %9.1f%%\n", Blocks.size(), Name,
              static_cast<double>(Heap) / 1e6, BuildTime.count(),
              Rates[Rounds / 2] / 1e6,
              100.0 * static_cast<double>(Hits) /
                  static_cast<double>(Addresses.size() * Rounds));
}

static void run() {
  std::printf("  blocks  table             MB heap  build ms  M lookups/s "
              "(median of %d)  hits\n",
              Rounds);
  for (const std::size_t Count : {1000U, 10000U, 100000U, 550000U}) {
    const auto Blocks = makeBlocks(Count);
    const auto Addresses = makeAddresses(Blocks);
    measure<steering::client_blocks>("ranges", Blocks, Addresses);
    measure<tables_by_length>("hash/length", Blocks, Addresses);
  }
}

int main() {
  try {
    run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "benchmark failed: %s\n", Error.what());
    return 1;
  }
}
