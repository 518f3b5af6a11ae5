#include "operators/detail/change.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"
#include "skylarkdyke/config/submission.hpp"
#include "skylarkdyke/config/validate.hpp"
#include "skylarkdyke/steering/ramp.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <utility>

namespace skylarkdyke::operators::detail {

using config::drain_action;
using config::drain_scope;
using float_seconds = std::chrono::duration<double>;

/// Weights are computed in floating point; a hundredth of a percentage point is
/// below any cap.
static constexpr double WeightError = 1e-4;

const config::drain *findDrain(const config::document &Document,
                               drain_scope Scope, const std::string &Name) {
  const auto Found =
      std::find_if(Document.Drains.begin(), Document.Drains.end(),
                   [&](const config::drain &Drain) {
                     return Drain.Scope == Scope && Drain.Name == Name;
                   });
  return Found == Document.Drains.end() ? nullptr : &*Found;
}

static base::wall_time startOf(const config::document &Document,
                               const drain_request &Request,
                               base::wall_time Now) {
  if (Request.Start)
    return *Request.Start;
  if (Request.Scope == drain_scope::Target)
    return Now;
  const double Weight =
      steering::ramp(Document).weight(Request.Scope, Request.Name, Now);
  const double Moved =
      Request.Action == drain_action::Leave ? 1 - Weight : Weight;
  const double Rate = Document.ShiftCapPercentPerSecond / 100;
  if (Moved < WeightError || Rate <= 0)
    return Now + StartDelay;
  // The ramp then has the weight of the other one now.
  return Now - std::chrono::duration_cast<base::wall_time::duration>(
                   float_seconds(Moved / Rate));
}

void putDrain(config::document &Document, const drain_request &Request,
              base::wall_time Now) {
  config::drain Drain;
  Drain.Scope = Request.Scope;
  Drain.Name = Request.Name;
  Drain.Action = Request.Action;
  Drain.Start = startOf(Document, Request, Now);
  for (config::drain &Old : Document.Drains) {
    if (Old.Scope == Drain.Scope && Old.Name == Drain.Name) {
      // A drain that goes the same way already is left as it is.
      if (Old.Action != Drain.Action || Request.Start)
        Old = Drain;
      return;
    }
  }
  Document.Drains.push_back(std::move(Drain));
}

namespace {

using scope_key = std::pair<drain_scope, std::string>;

} // namespace

/// Place of a scope's drain, or of the list if the document has none.
static std::string placeOf(const config::document &Document,
                           const scope_key &Scope) {
  for (std::size_t I = 0; I < Document.Drains.size(); ++I)
    if (Document.Drains[I].Scope == Scope.first &&
        Document.Drains[I].Name == Scope.second)
      return "/drains/" + std::to_string(I) + "/start";
  return "/drains";
}

static bool exists(const config::document &Document, const scope_key &Scope) {
  for (const config::region &Region : Document.Regions) {
    if (Scope.first == drain_scope::Region && Region.Name.str() == Scope.second)
      return true;
    for (const base::domain_name &Domain : Region.Domains)
      if (Scope.first == drain_scope::Domain && Domain.str() == Scope.second)
        return true;
  }
  return false;
}

static std::string percent(double Weight) {
  return std::to_string(std::lround(Weight * 100)) + "%";
}

base::findings checkShifts(const config::document &Old,
                           const config::document &New, base::wall_time Now) {
  std::set<scope_key> Scopes;
  for (const config::document *Document : {&Old, &New})
    for (const config::drain &Drain : Document->Drains)
      if (Drain.Scope != drain_scope::Target)
        Scopes.emplace(Drain.Scope, Drain.Name);
  const steering::ramp Before(Old);
  const steering::ramp After(New);
  const double Largest =
      std::min(Old.ShiftCapPercentPerSecond, New.ShiftCapPercentPerSecond) /
          100 +
      WeightError;
  base::findings Findings;
  for (const scope_key &Scope : Scopes) {
    const double From = Before.weight(Scope.first, Scope.second, Now);
    const double To = After.weight(Scope.first, Scope.second, Now);
    if (std::abs(From - To) <= Largest || !exists(Old, Scope) ||
        !exists(New, Scope))
      continue;
    Findings.push_back(
        {placeOf(New, Scope),
         "would move the traffic of " +
             std::string(config::toString(Scope.first)) + " '" + Scope.second +
             "' from " + percent(From) + " to " + percent(To) +
             " at once, above the shift cap; use the drain form, which chooses "
             "a start that continues from the present weight"});
  }
  return Findings;
}

base::findings checkChange(const config::document *Current,
                           const config::document &Change,
                           const base::operator_name &Operator,
                           base::wall_time Now) {
  const config::document Base =
      Current == nullptr ? config::document() : *Current;
  // The real id is drawn by the store's client; this one only has to be valid.
  const config::document Next =
      config::nextDocument(Base, Change, {"check", Operator, Now});
  base::findings Findings = config::validate(Next);
  if (Current == nullptr)
    return Findings;
  for (base::findings &More : std::array{config::validateChange(Base, Next),
                                         checkShifts(Base, Next, Now)})
    Findings.insert(Findings.end(), More.begin(), More.end());
  return Findings;
}

namespace {

/// Logs how a submission ended.
struct result_log {
  void operator()(const store::accepted &Result) const {
    SKYLARKDYKE_LOG(INFO, ChangeAccepted)
        << "version " << Result.Version << " by " << Operator;
  }
  void operator()(const store::refused_document &Result) const {
    SKYLARKDYKE_LOG(INFO, ChangeRefused)
        << Result.Findings.size() << " findings, by " << Operator;
  }
  void operator()(const store::conflict &Result) const {
    SKYLARKDYKE_LOG(INFO, ChangeConflict)
        << "by " << Operator << ", version " << Result.Version << " by "
        << Result.SubmittedBy.str() << " came first";
  }
  void operator()(const store::unknown_submission &Result) const {
    SKYLARKDYKE_LOG(WARNING, ChangeUnknown)
        << "submission " << Result.SubmissionId << " by " << Operator << ": "
        << Result.Reason;
  }
  void operator()(const store::unavailable &Result) const {
    SKYLARKDYKE_LOG(WARNING, ChangeUnavailable)
        << "by " << Operator << ": " << Result.Reason;
  }

  const std::string &Operator;
};

} // namespace

static store::submit_result decideChange(const dependencies &Entry,
                                         const config::document &Change,
                                         std::uint64_t ExpectedVersion,
                                         const base::operator_name &Operator) {
  const auto Current = Entry.Document();
  const std::uint64_t Version = Current ? Current->Version : 0;
  if (ExpectedVersion > Version)
    return store::unavailable{
        "this entry has version " + std::to_string(Version) +
        " in force and cannot check a change of version " +
        std::to_string(ExpectedVersion) + " yet; try again in a few seconds"};
  if (ExpectedVersion == Version) {
    base::findings Findings =
        checkChange(Current.get(), Change, Operator, Entry.WallNow());
    if (!Findings.empty())
      return store::refused_document{std::move(Findings)};
  }
  return Entry.Submit(Change, ExpectedVersion, Operator);
}

store::submit_result submitChange(const dependencies &Entry,
                                  const config::document &Change,
                                  std::uint64_t ExpectedVersion,
                                  const base::operator_name &Operator) {
  store::submit_result Result =
      decideChange(Entry, Change, ExpectedVersion, Operator);
  std::visit(result_log{Operator.str()}, Result);
  return Result;
}

config::document emptyDocument() {
  config::document Document;
  Document.Version = 1;
  Document.SubmissionId = "first";
  Document.SubmittedBy = base::operator_name("first");
  return Document;
}

} // namespace skylarkdyke::operators::detail
