#include "skylarkdyke/steering/ramp.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkdyke::steering {

using float_seconds = std::chrono::duration<double>;

static double finalWeight(config::drain_action Action) {
  return Action == config::drain_action::Leave ? 0 : 1;
}

/// Weight before the first drain in the document. A return without an earlier
/// leave means that the leave has been removed from the document, so the weight
/// starts at 0.
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
  for (auto &[Key, ScopeSteps] : Steps) {
    std::stable_sort(ScopeSteps.begin(), ScopeSteps.end(),
                     [](const step &Left, const step &Right) {
                       return Left.Start < Right.Start;
                     });
    ScopeSteps.front().WeightAtStart = initialWeight(ScopeSteps.front().Action);
    for (std::size_t I = 1; I < ScopeSteps.size(); ++I)
      ScopeSteps[I].WeightAtStart =
          weightAfter(ScopeSteps[I - 1], Key.first, ScopeSteps[I].Start);
  }
}

double ramp::weightAfter(const step &Step, config::drain_scope Scope,
                         base::wall_time Now) const {
  if (Scope == config::drain_scope::Target)
    return finalWeight(Step.Action);
  const float_seconds Elapsed = Now - Step.Start;
  const double Change = std::max(0.0, RatePerSecond * Elapsed.count());
  return Step.Action == config::drain_action::Leave
             ? std::max(0.0, Step.WeightAtStart - Change)
             : std::min(1.0, Step.WeightAtStart + Change);
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
  const auto ScopeSteps = Steps.find({Scope, Name});
  if (ScopeSteps == Steps.end())
    return 1;
  const std::vector<step> &Ordered = ScopeSteps->second;
  const auto Next = std::upper_bound(
      Ordered.begin(), Ordered.end(), Now,
      [](base::wall_time Time, const step &Step) { return Time < Step.Start; });
  if (Next == Ordered.begin())
    return Ordered.front().WeightAtStart;
  return weightAfter(*std::prev(Next), Scope, Now);
}

std::optional<base::wall_time> ramp::completeAt(config::drain_scope Scope,
                                                const std::string &Name) const {
  const auto ScopeSteps = Steps.find({Scope, Name});
  if (ScopeSteps == Steps.end())
    return std::nullopt;
  const step &Last = ScopeSteps->second.back();
  if (Scope == config::drain_scope::Target)
    return Last.Start;
  if (RatePerSecond <= 0)
    return std::nullopt;
  const double Remaining = Last.Action == config::drain_action::Leave
                               ? Last.WeightAtStart
                               : 1 - Last.WeightAtStart;
  return Last.Start + std::chrono::ceil<base::wall_time::duration>(
                          float_seconds(Remaining / RatePerSecond));
}

} // namespace skylarkdyke::steering
