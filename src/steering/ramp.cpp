#include "skylarkdyke/steering/ramp.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkdyke::steering {

using float_seconds = std::chrono::duration<double>;

static double finalWeight(config::drain_action Action) {
  return Action == config::drain_action::Leave ? 0 : 1;
}

/// Weight before the first drain that the document still lists. A return
/// without an earlier leave means that the leave was dropped from the document.
static double initialWeight(config::drain_action FirstAction) {
  return 1 - finalWeight(FirstAction);
}

ramp::ramp(const config::document &Document)
    : RatePerSecond(Document.ShiftCapPercentPerSecond / 100) {
  for (const config::region &Region : Document.Regions)
    for (const base::domain_name &Domain : Region.Domains)
      RegionOf.emplace(Domain, Region.Name);
  for (const config::drain &Drain : Document.Drains)
    Steps[{Drain.Scope, Drain.Name}].push_back({Drain.Start, Drain.Action, 0});
  for (auto &[Key, OfScope] : Steps) {
    std::stable_sort(OfScope.begin(), OfScope.end(),
                     [](const step &Left, const step &Right) {
                       return Left.Start < Right.Start;
                     });
    OfScope.front().WeightAtStart = initialWeight(OfScope.front().Action);
    for (std::size_t I = 1; I < OfScope.size(); ++I)
      OfScope[I].WeightAtStart =
          after(OfScope[I - 1], Key.first, OfScope[I].Start);
  }
}

double ramp::after(const step &Step, config::drain_scope Scope,
                   base::wall_time Now) const {
  if (Scope == config::drain_scope::Target)
    return finalWeight(Step.Action);
  const float_seconds Since = Now - Step.Start;
  const double Moved = std::max(0.0, RatePerSecond * Since.count());
  return Step.Action == config::drain_action::Leave
             ? std::max(0.0, Step.WeightAtStart - Moved)
             : std::min(1.0, Step.WeightAtStart + Moved);
}

double ramp::weight(const config::target &Target, base::wall_time Now) const {
  using config::drain_scope;
  double Weight =
      std::min(weight(drain_scope::Target, Target.Id.str(), Now),
               weight(drain_scope::Domain, Target.Domain.str(), Now));
  const auto Region = RegionOf.find(Target.Domain);
  if (Region != RegionOf.end())
    Weight = std::min(Weight,
                      weight(drain_scope::Region, Region->second.str(), Now));
  return Weight;
}

double ramp::weight(config::drain_scope Scope, const std::string &Name,
                    base::wall_time Now) const {
  const auto OfScope = Steps.find({Scope, Name});
  if (OfScope == Steps.end())
    return 1;
  const std::vector<step> &All = OfScope->second;
  const auto Next = std::upper_bound(
      All.begin(), All.end(), Now,
      [](base::wall_time Time, const step &Step) { return Time < Step.Start; });
  if (Next == All.begin())
    return All.front().WeightAtStart;
  return after(*std::prev(Next), Scope, Now);
}

std::optional<base::wall_time> ramp::completeAt(config::drain_scope Scope,
                                                const std::string &Name) const {
  const auto OfScope = Steps.find({Scope, Name});
  if (OfScope == Steps.end())
    return std::nullopt;
  const step &Last = OfScope->second.back();
  if (Scope == config::drain_scope::Target)
    return Last.Start;
  if (RatePerSecond <= 0)
    return std::nullopt;
  const double Distance = Last.Action == config::drain_action::Leave
                              ? Last.WeightAtStart
                              : 1 - Last.WeightAtStart;
  return Last.Start + std::chrono::ceil<base::wall_time::duration>(
                          float_seconds(Distance / RatePerSecond));
}

} // namespace skylarkdyke::steering
