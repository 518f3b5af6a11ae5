#include "skylarkdyke/config/preview.hpp"

#include "skylarkdyke/config/scope.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace skylarkdyke::config {

using slots_by_region = std::map<base::region_name, std::uint64_t>;
using link_key = std::pair<base::region_name, base::region_name>;

namespace {

/// Distribution of the observed load over the regions and links of a document
/// after its drains.
struct load_distribution {
  /// Slots of the remaining targets by service and region.
  std::map<base::service_name, slots_by_region> Slots;
  /// Requests per second by serving region.
  std::map<base::region_name, double> Requests;
  /// Bits per second by link.
  std::map<link_key, double> LinkBits;
  /// Busy slots by service and region.
  std::map<base::service_name, std::map<base::region_name, double>> Busy;
  /// Requests per second of all services.
  double TotalRequests = 0;
  /// Requests per second of services without a target.
  double UnservedRequests = 0;
};

} // namespace

/// Adds the fraction Share of a load to the region that serves it and to the
/// links between that region and the origin.
static void addServedLoad(load_distribution &Distribution,
                          const service_load &Load,
                          const base::region_name &Region, double Share) {
  if (Share <= 0)
    return;
  Distribution.Requests[Region] += Load.RequestsPerSecond * Share;
  Distribution.Busy[Load.Service][Region] += Load.BusySlots * Share;
  if (Region == Load.Origin)
    return;
  Distribution.LinkBits[{Load.Origin, Region}] +=
      Load.RequestBitsPerSecond * Share;
  Distribution.LinkBits[{Region, Load.Origin}] +=
      Load.AnswerBitsPerSecond * Share;
}

/// Distributes one load over the regions with slots for its service.
static void addLoad(load_distribution &Distribution, const service_load &Load) {
  Distribution.TotalRequests += Load.RequestsPerSecond;
  const slots_by_region &Slots = Distribution.Slots[Load.Service];
  std::uint64_t LocalSlots = 0;
  std::uint64_t RemoteSlots = 0;
  for (const auto &[Region, Count] : Slots)
    (Region == Load.Origin ? LocalSlots : RemoteSlots) += Count;
  if (LocalSlots + RemoteSlots == 0) {
    Distribution.UnservedRequests += Load.RequestsPerSecond;
    return;
  }
  double LocalShare = LocalSlots == 0 ? 0 : 1;
  if (LocalSlots > 0 && RemoteSlots > 0 &&
      Load.BusySlots > static_cast<double>(LocalSlots))
    LocalShare = static_cast<double>(LocalSlots) / Load.BusySlots;
  addServedLoad(Distribution, Load, Load.Origin, LocalShare);
  for (const auto &[Region, Count] : Slots)
    if (Region != Load.Origin)
      addServedLoad(Distribution, Load, Region,
                    (1 - LocalShare) * static_cast<double>(Count) /
                        static_cast<double>(RemoteSlots));
}

static load_distribution distribute(const document &Document,
                                    const std::vector<service_load> &Loads) {
  load_distribution Distribution;
  const drained_scopes Drained(Document);
  const domain_regions Regions = regionsOfDomains(Document);
  for (const target &Target : Document.Targets) {
    const auto Region = Regions.find(Target.Domain);
    if (Region != Regions.end() && !Drained.contains(Target))
      Distribution.Slots[Target.Service][Region->second] += Target.Slots;
  }
  for (const service_load &Load : Loads)
    addLoad(Distribution, Load);
  return Distribution;
}

/// Returns the value under a key, or a default value if there is none.
template <typename Map, typename Key>
static typename Map::mapped_type valueOrDefault(const Map &Values,
                                                const Key &Wanted) {
  const auto Found = Values.find(Wanted);
  return Found == Values.end() ? typename Map::mapped_type{} : Found->second;
}

static std::uint64_t countSlots(const load_distribution &Distribution,
                                const base::region_name &Region) {
  std::uint64_t Sum = 0;
  for (const auto &[Service, Slots] : Distribution.Slots)
    Sum += valueOrDefault(Slots, Region);
  return Sum;
}

static std::string formatRounded(double Number) {
  return std::to_string(std::llround(Number));
}

static std::vector<std::string>
describeOverloads(const load_distribution &Distribution, const region &Region) {
  std::vector<std::string> Reasons;
  const double Requests = valueOrDefault(Distribution.Requests, Region.Name);
  if (Requests > static_cast<double>(Region.CapPerSecond))
    Reasons.push_back(formatRounded(Requests) +
                      " requests/s would arrive, the cap is " +
                      std::to_string(Region.CapPerSecond));
  for (const auto &[Service, Busy] : Distribution.Busy) {
    const double Needed = valueOrDefault(Busy, Region.Name);
    const std::uint64_t Slots = valueOrDefault(
        valueOrDefault(Distribution.Slots, Service), Region.Name);
    if (Needed > static_cast<double>(Slots))
      Reasons.push_back(Service.str() + " would need " + formatRounded(Needed) +
                        " slots, " + std::to_string(Slots) + " remain");
  }
  return Reasons;
}

static region_effect makeRegionEffect(const region &Region,
                                      const load_distribution &Before,
                                      const load_distribution &After) {
  region_effect Effect;
  Effect.Region = Region.Name;
  Effect.CapPerSecond = Region.CapPerSecond;
  Effect.SlotsBefore = countSlots(Before, Region.Name);
  Effect.SlotsAfter = countSlots(After, Region.Name);
  Effect.RequestsPerSecondBefore = valueOrDefault(Before.Requests, Region.Name);
  Effect.RequestsPerSecondAfter = valueOrDefault(After.Requests, Region.Name);
  if (After.TotalRequests > 0) {
    Effect.LoadShareBefore =
        Effect.RequestsPerSecondBefore / Before.TotalRequests;
    Effect.LoadShareAfter = Effect.RequestsPerSecondAfter / After.TotalRequests;
  }
  Effect.Overloads = describeOverloads(After, Region);
  return Effect;
}

static std::vector<leaving_target> findLeavingTargets(const document &Old,
                                                      const document &New) {
  const drained_scopes DrainedBefore(Old);
  const drained_scopes DrainedAfter(New);
  std::map<base::target_id, const target *> NewTargets;
  for (const target &Target : New.Targets)
    NewTargets.emplace(Target.Id, &Target);
  std::vector<leaving_target> Leaving;
  for (const target &Target : Old.Targets) {
    if (DrainedBefore.contains(Target))
      continue;
    const auto Found = NewTargets.find(Target.Id);
    if (Found == NewTargets.end())
      Leaving.push_back({Target.Id, Target.Service, true});
    else if (DrainedAfter.contains(*Found->second))
      Leaving.push_back({Target.Id, Target.Service, false});
  }
  return Leaving;
}

static std::vector<drain_effect> findChangedDrains(const document &Old,
                                                   const document &New) {
  const auto KeyOf = [](const drain &Drain) {
    return std::make_tuple(Drain.Scope, Drain.Name, Drain.Action, Drain.Start);
  };
  std::set<decltype(KeyOf(std::declval<drain>()))> OldDrains;
  for (const drain &Drain : Old.Drains)
    OldDrains.insert(KeyOf(Drain));
  const std::chrono::duration<double> FullRamp(100.0 /
                                               New.ShiftCapPercentPerSecond);
  std::vector<drain_effect> Effects;
  for (const drain &Drain : New.Drains)
    if (OldDrains.count(KeyOf(Drain)) == 0)
      Effects.push_back(
          {Drain,
           Drain.Scope == drain_scope::Target
               ? std::chrono::milliseconds(0)
               : std::chrono::ceil<std::chrono::milliseconds>(FullRamp)});
  return Effects;
}

change_preview preview(const document &Old, const document &New,
                       const std::vector<service_load> &Loads) {
  const load_distribution Before = distribute(Old, Loads);
  const load_distribution After = distribute(New, Loads);
  change_preview Preview;
  for (const region &Region : New.Regions)
    Preview.Regions.push_back(makeRegionEffect(Region, Before, After));
  for (const link &Link : New.Links) {
    link_effect Effect;
    Effect.From = Link.From;
    Effect.To = Link.To;
    Effect.CapBitsPerSecond = Link.CapBitsPerSecond;
    Effect.BitsPerSecondBefore =
        valueOrDefault(Before.LinkBits, link_key(Link.From, Link.To));
    Effect.BitsPerSecondAfter =
        valueOrDefault(After.LinkBits, link_key(Link.From, Link.To));
    Effect.IsOverloaded =
        Effect.BitsPerSecondAfter > static_cast<double>(Link.CapBitsPerSecond);
    Preview.Links.push_back(Effect);
  }
  Preview.LeavingTargets = findLeavingTargets(Old, New);
  Preview.Drains = findChangedDrains(Old, New);
  Preview.UnservedPerSecond = After.UnservedRequests;
  return Preview;
}

} // namespace skylarkdyke::config
