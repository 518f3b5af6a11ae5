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

/// Load of a document's regions and links after its drains.
struct flow {
  std::map<base::service_name, slots_by_region> Slots;
  std::map<base::region_name, double> Requests;
  std::map<link_key, double> LinkBits;
  /// Busy slots by service and region.
  std::map<base::service_name, std::map<base::region_name, double>> Busy;
  double Total = 0;
  double Unserved = 0;
};

} // namespace

static void addArrival(flow &Flow, const service_load &Load,
                       const base::region_name &Region, double Share) {
  if (Share <= 0)
    return;
  Flow.Requests[Region] += Load.RequestsPerSecond * Share;
  Flow.Busy[Load.Service][Region] += Load.BusySlots * Share;
  if (Region == Load.Origin)
    return;
  Flow.LinkBits[{Load.Origin, Region}] += Load.RequestBitsPerSecond * Share;
  Flow.LinkBits[{Region, Load.Origin}] += Load.AnswerBitsPerSecond * Share;
}

static void addLoad(flow &Flow, const service_load &Load) {
  Flow.Total += Load.RequestsPerSecond;
  const slots_by_region &Slots = Flow.Slots[Load.Service];
  std::uint64_t Own = 0;
  std::uint64_t Elsewhere = 0;
  for (const auto &[Region, Count] : Slots)
    (Region == Load.Origin ? Own : Elsewhere) += Count;
  if (Own + Elsewhere == 0) {
    Flow.Unserved += Load.RequestsPerSecond;
    return;
  }
  double Kept = Own == 0 ? 0 : 1;
  if (Own > 0 && Elsewhere > 0 && Load.BusySlots > static_cast<double>(Own))
    Kept = static_cast<double>(Own) / Load.BusySlots;
  addArrival(Flow, Load, Load.Origin, Kept);
  for (const auto &[Region, Count] : Slots)
    if (Region != Load.Origin)
      addArrival(Flow, Load, Region,
                 (1 - Kept) * static_cast<double>(Count) /
                     static_cast<double>(Elsewhere));
}

static flow flowOf(const document &Document,
                   const std::vector<service_load> &Loads) {
  flow Flow;
  const leaving_scopes Leaving(Document);
  const domain_regions Regions = regionsOfDomains(Document);
  for (const target &Target : Document.Targets) {
    const auto Region = Regions.find(Target.Domain);
    if (Region != Regions.end() && !Leaving.contains(Target))
      Flow.Slots[Target.Service][Region->second] += Target.Slots;
  }
  for (const service_load &Load : Loads)
    addLoad(Flow, Load);
  return Flow;
}

template <typename Map, typename Key>
static typename Map::mapped_type valueOf(const Map &Values, const Key &At) {
  const auto Found = Values.find(At);
  return Found == Values.end() ? typename Map::mapped_type{} : Found->second;
}

static std::uint64_t slotsIn(const flow &Flow,
                             const base::region_name &Region) {
  std::uint64_t Sum = 0;
  for (const auto &[Service, Slots] : Flow.Slots)
    Sum += valueOf(Slots, Region);
  return Sum;
}

static std::string rounded(double Number) {
  return std::to_string(std::llround(Number));
}

static std::vector<std::string> overloadsOf(const flow &Flow,
                                            const region &Region) {
  std::vector<std::string> Reasons;
  const double Requests = valueOf(Flow.Requests, Region.Name);
  if (Requests > static_cast<double>(Region.CapPerSecond))
    Reasons.push_back(rounded(Requests) +
                      " requests/s would arrive, the cap is " +
                      std::to_string(Region.CapPerSecond));
  for (const auto &[Service, Busy] : Flow.Busy) {
    const double Needed = valueOf(Busy, Region.Name);
    const std::uint64_t Slots =
        valueOf(valueOf(Flow.Slots, Service), Region.Name);
    if (Needed > static_cast<double>(Slots))
      Reasons.push_back(Service.str() + " would need " + rounded(Needed) +
                        " slots, " + std::to_string(Slots) + " remain");
  }
  return Reasons;
}

static region_effect effectOn(const region &Region, const flow &Before,
                              const flow &After) {
  region_effect Effect;
  Effect.Region = Region.Name;
  Effect.CapPerSecond = Region.CapPerSecond;
  Effect.SlotsBefore = slotsIn(Before, Region.Name);
  Effect.SlotsAfter = slotsIn(After, Region.Name);
  Effect.RequestsPerSecondBefore = valueOf(Before.Requests, Region.Name);
  Effect.RequestsPerSecondAfter = valueOf(After.Requests, Region.Name);
  if (After.Total > 0) {
    Effect.LoadShareBefore = Effect.RequestsPerSecondBefore / Before.Total;
    Effect.LoadShareAfter = Effect.RequestsPerSecondAfter / After.Total;
  }
  Effect.Overloads = overloadsOf(After, Region);
  return Effect;
}

static std::vector<leaving_target> leavingTargets(const document &Old,
                                                  const document &New) {
  const leaving_scopes LeavingBefore(Old);
  const leaving_scopes LeavingAfter(New);
  std::map<base::target_id, const target *> Remaining;
  for (const target &Target : New.Targets)
    Remaining.emplace(Target.Id, &Target);
  std::vector<leaving_target> Leaving;
  for (const target &Target : Old.Targets) {
    if (LeavingBefore.contains(Target))
      continue;
    const auto Found = Remaining.find(Target.Id);
    if (Found == Remaining.end())
      Leaving.push_back({Target.Id, Target.Service, true});
    else if (LeavingAfter.contains(*Found->second))
      Leaving.push_back({Target.Id, Target.Service, false});
  }
  return Leaving;
}

static std::vector<drain_effect> newDrains(const document &Old,
                                           const document &New) {
  const auto KeyOf = [](const drain &Drain) {
    return std::make_tuple(Drain.Scope, Drain.Name, Drain.Action, Drain.Start);
  };
  std::set<decltype(KeyOf(std::declval<drain>()))> Known;
  for (const drain &Drain : Old.Drains)
    Known.insert(KeyOf(Drain));
  const std::chrono::duration<double> WholeRamp(100.0 /
                                                New.ShiftCapPercentPerSecond);
  std::vector<drain_effect> Effects;
  for (const drain &Drain : New.Drains)
    if (Known.count(KeyOf(Drain)) == 0)
      Effects.push_back(
          {Drain,
           Drain.Scope == drain_scope::Target
               ? std::chrono::milliseconds(0)
               : std::chrono::ceil<std::chrono::milliseconds>(WholeRamp)});
  return Effects;
}

change_preview preview(const document &Old, const document &New,
                       const std::vector<service_load> &Loads) {
  const flow Before = flowOf(Old, Loads);
  const flow After = flowOf(New, Loads);
  change_preview Preview;
  for (const region &Region : New.Regions)
    Preview.Regions.push_back(effectOn(Region, Before, After));
  for (const link &Link : New.Links) {
    link_effect Effect;
    Effect.From = Link.From;
    Effect.To = Link.To;
    Effect.CapBitsPerSecond = Link.CapBitsPerSecond;
    Effect.BitsPerSecondBefore =
        valueOf(Before.LinkBits, link_key(Link.From, Link.To));
    Effect.BitsPerSecondAfter =
        valueOf(After.LinkBits, link_key(Link.From, Link.To));
    Effect.IsOverloaded =
        Effect.BitsPerSecondAfter > static_cast<double>(Link.CapBitsPerSecond);
    Preview.Links.push_back(Effect);
  }
  Preview.LeavingTargets = leavingTargets(Old, New);
  Preview.Drains = newDrains(Old, New);
  Preview.UnservedPerSecond = After.Unserved;
  return Preview;
}

} // namespace skylarkdyke::config
