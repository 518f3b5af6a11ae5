#include "skylarkdyke/placement/send_slots.hpp"

#include "skylarkdyke/placement/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>
#include <xxhash.h>

namespace skylarkdyke::placement {

using std::chrono::nanoseconds;

/// Shortest time in which a slot can be used.
static constexpr std::chrono::milliseconds MinSlotLength{500};
/// Bounds of the interval between slots, so that no odd rate overflows.
static constexpr std::chrono::microseconds MinInterval{1};
static constexpr std::chrono::hours MaxInterval{1};

double rate_holder::weightFor(const base::service_name &Service) const {
  const auto Found = WeightByService.find(Service.str());
  return Found == WeightByService.end() ? DefaultWeight : Found->second;
}

bool operator==(const rate_holder &Left, const rate_holder &Right) {
  return std::tie(Left.Seed, Left.DefaultWeight, Left.WeightByService) ==
         std::tie(Right.Seed, Right.DefaultWeight, Right.WeightByService);
}

double rate_division::ownPart(const base::service_name &Service) const {
  const double OwnWeight = Own.weightFor(Service);
  if (!(OwnWeight > 0))
    return 0;
  double Total = OwnWeight;
  for (const rate_holder &Other : Others)
    Total += Other.weightFor(Service);
  return OwnWeight / Total;
}

/// Combines the weights of a holder service by service.
template <typename Function>
static void combineWeights(rate_holder &Holder, const rate_holder &Other,
                           Function Combine) {
  for (auto &[Service, Weight] : Holder.WeightByService)
    Weight = Combine(Weight, Other.weightFor(base::service_name(Service)));
  for (const auto &[Service, Weight] : Other.WeightByService)
    if (Holder.WeightByService.count(Service) == 0)
      Holder.WeightByService[Service] = Combine(Holder.DefaultWeight, Weight);
  Holder.DefaultWeight = Combine(Holder.DefaultWeight, Other.DefaultWeight);
}

rate_division limitToPrevious(rate_division Next,
                              const rate_division &Previous) {
  combineWeights(Next.Own, Previous.Own, [](double Left, double Right) {
    return std::min(Left, Right);
  });
  std::unordered_map<std::uint64_t, rate_holder *> BySeed;
  for (rate_holder &Other : Next.Others)
    BySeed.emplace(Other.Seed, &Other);
  std::vector<rate_holder> Missing;
  for (const rate_holder &Other : Previous.Others) {
    const auto Found = BySeed.find(Other.Seed);
    if (Found == BySeed.end())
      Missing.push_back(Other);
    else
      combineWeights(*Found->second, Other, [](double Left, double Right) {
        return std::max(Left, Right);
      });
  }
  Next.Others.insert(Next.Others.end(), Missing.begin(), Missing.end());
  Next.RegionsWithEntries.insert(Previous.RegionsWithEntries.begin(),
                                 Previous.RegionsWithEntries.end());
  Next.UsesOtherRegions = Next.UsesOtherRegions && Previous.UsesOtherRegions;
  return Next;
}

static nanoseconds intervalOf(double RequestsPerSecond) {
  const std::chrono::duration<double> Interval(1 / RequestsPerSecond);
  return std::chrono::duration_cast<nanoseconds>(
      std::clamp<std::chrono::duration<double>>(Interval, MinInterval,
                                                MaxInterval));
}

slot_sequence::slot_sequence(base::boot_time Origin, double RequestsPerSecond)
    : Origin(Origin), Interval(intervalOf(RequestsPerSecond)) {}

nanoseconds slot_sequence::length() const {
  return std::max<nanoseconds>(Interval, MinSlotLength);
}

send_slot slot_sequence::at(std::int64_t Index) const {
  const base::boot_time Start = Origin + Index * Interval;
  return {Index, Start, Start + length()};
}

send_slot slot_sequence::firstFrom(base::boot_time Time) const {
  // The origin may lie after the time, so that the quotient may be negative.
  const nanoseconds Elapsed = Time - Origin;
  const std::int64_t Index = Elapsed / Interval;
  return at(Index * Interval < Elapsed ? Index + 1 : Index);
}

send_slot slot_sequence::earliestAt(base::boot_time Now) const {
  return firstFrom(Now - length() + nanoseconds(1));
}

/// Returns whether a slot in a region without entries falls to the own region.
static bool isOwnRegionDrawn(const std::set<base::region_name> &Regions,
                             const base::region_name &OwnRegion,
                             std::uint64_t SlotHash) {
  const auto KeyOf = [SlotHash](const base::region_name &Region) {
    return rendezvousKey(
        SlotHash, XXH3_64bits(Region.str().data(), Region.str().size()), 1);
  };
  const double OwnKey = KeyOf(OwnRegion);
  return std::none_of(
      Regions.begin(), Regions.end(),
      [&](const base::region_name &Region) { return KeyOf(Region) < OwnKey; });
}

bool ownsSlot(const rate_division &Division, const base::region_name &OwnRegion,
              const base::service_name &Service, const slot_target &Target,
              std::int64_t SlotIndex) {
  const double OwnWeight = Division.Own.weightFor(Service);
  if (!(OwnWeight > 0))
    return false;
  const std::uint64_t SlotHash =
      XXH3_64bits_withSeed(&SlotIndex, sizeof(SlotIndex), Target.Seed);
  if (Target.Region != OwnRegion &&
      (!Division.UsesOtherRegions ||
       Division.RegionsWithEntries.count(Target.Region) != 0 ||
       !isOwnRegionDrawn(Division.RegionsWithEntries, OwnRegion, SlotHash)))
    return false;
  const double OwnKey = rendezvousKey(SlotHash, Division.Own.Seed, OwnWeight);
  return std::none_of(Division.Others.begin(), Division.Others.end(),
                      [&](const rate_holder &Other) {
                        return rendezvousKey(SlotHash, Other.Seed,
                                             Other.weightFor(Service)) < OwnKey;
                      });
}

} // namespace skylarkdyke::placement
