// Measures how many objects change their first target when targets of a service
// come and go, beside the least possible number, and how far the objects of the
// targets are from their sizes, by four ways of assigning objects to targets.

#include "skylarkdyke/placement/rendezvous.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace skylarkdyke;

namespace {

/// Seeds that each figure is averaged over.
constexpr unsigned Repetitions = 20;
/// Entries of the table, a prime number.
constexpr std::size_t TableSize = 4099;
/// Points at which multi-probe hashing looks for an object.
constexpr unsigned Probes = 21;
/// Objects of a target above its part, with bounded load.
constexpr double LoadBound = 1.25;

struct target {
  std::uint64_t Seed = 0;
  unsigned Slots = 1;
};
using assignment = std::vector<std::uint64_t>;
using method =
    std::function<assignment(const std::vector<target> &, std::size_t)>;

std::uint64_t hashOf(std::uint64_t Value, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(&Value, sizeof(Value), Seed);
}

std::vector<const target *> ranked(const std::vector<target> &Targets,
                                   std::uint64_t Object) {
  std::vector<std::pair<double, const target *>> Keys;
  Keys.reserve(Targets.size());
  for (const target &Target : Targets)
    Keys.emplace_back(
        placement::rendezvousKey(hashOf(Object), Target.Seed, Target.Slots),
        &Target);
  std::sort(Keys.begin(), Keys.end());
  std::vector<const target *> Ranked;
  Ranked.reserve(Targets.size());
  for (const auto &[Key, Target] : Keys)
    Ranked.push_back(Target);
  return Ranked;
}

assignment rendezvous(const std::vector<target> &Targets, std::size_t Objects) {
  assignment Result;
  Result.reserve(Objects);
  for (std::size_t Object = 0; Object < Objects; ++Object)
    Result.push_back(ranked(Targets, Object).front()->Seed);
  return Result;
}

assignment boundedRendezvous(const std::vector<target> &Targets,
                             std::size_t Objects) {
  double Slots = 0;
  for (const target &Target : Targets)
    Slots += Target.Slots;
  std::map<std::uint64_t, double> Load;
  assignment Result;
  Result.reserve(Objects);
  for (std::size_t Object = 0; Object < Objects; ++Object)
    for (const target *Target : ranked(Targets, Object)) {
      const double Bound =
          1 + LoadBound * static_cast<double>(Objects) * Target->Slots / Slots;
      if (Load[Target->Seed] + 1 > Bound)
        continue;
      ++Load[Target->Seed];
      Result.push_back(Target->Seed);
      break;
    }
  return Result;
}

/// Each target in turn takes the next free position of its own permutation, as
/// often as it has slots.
assignment table(const std::vector<target> &Targets, std::size_t Objects) {
  std::vector<std::uint64_t> Positions(TableSize, 0);
  std::vector<std::size_t> Next(Targets.size(), 0);
  std::size_t Filled = 0;
  while (Filled < TableSize)
    for (std::size_t I = 0; I < Targets.size(); ++I)
      for (unsigned Slot = 0; Slot < Targets[I].Slots && Filled < TableSize;) {
        const std::uint64_t Offset = hashOf(1, Targets[I].Seed) % TableSize;
        const std::uint64_t Skip =
            hashOf(2, Targets[I].Seed) % (TableSize - 1) + 1;
        auto &Position = Positions[(Offset + Next[I]++ * Skip) % TableSize];
        if (Position != 0)
          continue;
        Position = Targets[I].Seed;
        ++Filled;
        ++Slot;
      }
  assignment Result;
  Result.reserve(Objects);
  for (std::size_t Object = 0; Object < Objects; ++Object)
    Result.push_back(Positions[hashOf(Object) % TableSize]);
  return Result;
}

/// Looks at several points of a ring and takes the target that lies nearest
/// after one of them; targets stand on the ring once for each slot.
assignment multiProbe(const std::vector<target> &Targets, std::size_t Objects) {
  std::map<std::uint64_t, std::uint64_t> Ring;
  for (const target &Target : Targets)
    for (unsigned Slot = 0; Slot < Target.Slots; ++Slot)
      Ring[hashOf(Slot, Target.Seed)] = Target.Seed;
  assignment Result;
  Result.reserve(Objects);
  for (std::size_t Object = 0; Object < Objects; ++Object) {
    std::uint64_t Nearest = ~std::uint64_t{0};
    std::uint64_t Chosen = 0;
    for (unsigned Probe = 0; Probe < Probes; ++Probe) {
      const std::uint64_t Point = hashOf(Object, Probe + 1);
      auto Found = Ring.lower_bound(Point);
      if (Found == Ring.end())
        Found = Ring.begin();
      if (Found->first - Point < Nearest) {
        Nearest = Found->first - Point;
        Chosen = Found->second;
      }
    }
    Result.push_back(Chosen);
  }
  return Result;
}

double movedPart(const assignment &Before, const assignment &After) {
  std::size_t Moved = 0;
  for (std::size_t Object = 0; Object < Before.size(); ++Object)
    Moved += Before[Object] != After[Object] ? 1 : 0;
  return static_cast<double>(Moved) / static_cast<double>(Before.size());
}

/// Returns the greatest ratio of a target's objects to its part by size.
double greatestLoad(const std::vector<target> &Targets,
                    const assignment &Assigned) {
  double Slots = 0;
  std::map<std::uint64_t, double> Objects;
  for (const target &Target : Targets)
    Slots += Target.Slots;
  for (const std::uint64_t Seed : Assigned)
    ++Objects[Seed];
  double Greatest = 0;
  for (const target &Target : Targets)
    Greatest = std::max(
        Greatest, Objects[Target.Seed] * Slots /
                      (Target.Slots * static_cast<double>(Assigned.size())));
  return Greatest;
}

struct figures {
  double Removal = 0;
  double LeastRemoval = 0;
  double Addition = 0;
  double LeastAddition = 0;
  double TakenBack = 0;
  double Load = 0;
};

figures measure(const method &Method, unsigned TargetCount,
                std::size_t Objects) {
  figures Sum;
  for (unsigned Seed = 1; Seed <= Repetitions; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<target> Targets;
    for (unsigned I = 0; I < TargetCount; ++I)
      Targets.push_back(
          {Random() | 1U, 3 + static_cast<unsigned>(Random() % 7)});
    const assignment Before = Method(Targets, Objects);
    Sum.Load += greatestLoad(Targets, Before);
    auto Fewer = Targets;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(TargetCount / 2));
    const auto RemovedSeed = Targets[TargetCount / 2].Seed;
    Sum.Removal += movedPart(Before, Method(Fewer, Objects));
    Sum.LeastRemoval += static_cast<double>(std::count(
                            Before.begin(), Before.end(), RemovedSeed)) /
                        static_cast<double>(Objects);
    auto More = Targets;
    More.push_back({Random() | 1U, 5});
    const assignment After = Method(More, Objects);
    Sum.Addition += movedPart(Before, After);
    Sum.LeastAddition += static_cast<double>(std::count(
                             After.begin(), After.end(), More.back().Seed)) /
                         static_cast<double>(Objects);
    Sum.TakenBack += movedPart(Before, Method(Targets, Objects));
  }
  const double Count = Repetitions;
  return {Sum.Removal / Count,   Sum.LeastRemoval / Count,
          Sum.Addition / Count,  Sum.LeastAddition / Count,
          Sum.TakenBack / Count, Sum.Load / Count};
}

} // namespace

int main() {
  const std::vector<std::pair<std::string, method>> Methods = {
      {"weighted rendezvous", rendezvous},
      {"the same, bounded load", boundedRendezvous},
      {"table", table},
      {"multi-probe", multiProbe}};
  std::printf("| Targets | Objects | Way | Moved by a removal (least) | Moved "
              "by an addition (least) | Left after taking back | Greatest load "
              "|\n| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto &[TargetCount, Objects] :
       {std::pair<unsigned, std::size_t>{12, 24},
        {12, 72},
        {62, 133},
        {112, 293},
        {540, 523}})
    for (const auto &[Name, Method] : Methods) {
      const figures Result = measure(Method, TargetCount, Objects);
      std::printf("| %u | %zu | %s | %.3f (%.3f) | %.3f (%.3f) | %.3f | %.2f "
                  "|\n",
                  TargetCount, Objects, Name.c_str(), Result.Removal,
                  Result.LeastRemoval, Result.Addition, Result.LeastAddition,
                  Result.TakenBack, Result.Load);
    }
  return 0;
}
