#include "support/placer_fleet.hpp"

#include <algorithm>
#include <optional>

namespace test_support {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

static constexpr auto Step = 10ms;
/// How often and for how long a request waits for a cold target, as in
/// gateway/detail/exchange.
static constexpr int MaxWaits = 3;
static constexpr auto MaxWait = 150ms;

static const base::region_name North("north");
static const base::region_name South("south");
static const base::domain_name NorthA("north-a");
static const base::domain_name SouthA("south-a");

static routing::target makeTarget(const std::string &Id) {
  routing::target Target;
  Target.Id = base::target_id(Id);
  Target.Service = base::service_name("stock");
  Target.Address = {"10.0.0.1", 80};
  Target.Domain = NorthA;
  Target.Slots = 5;
  Target.StartedAtMs = 1;
  return Target;
}

placer_fleet::entry::entry(const base::region_name &Region)
    : Registry({{NorthA, North}, {SouthA, South}}), Placer(Registry, Region) {}

static placement::rate_holder holderOf(std::size_t Index,
                                       fleet_knowledge Knowledge) {
  placement::rate_holder Holder{(Index + 1) * 0x9E3779B97F4A7C15U, 0.1, {}};
  if (Knowledge == fleet_knowledge::Complete ||
      (Knowledge == fleet_knowledge::DemandAtSome && Index % 10 == 0))
    Holder.WeightByService["stock"] = 5;
  return Holder;
}

placer_fleet::placer_fleet(std::size_t LocalEntries, std::size_t OtherEntries,
                           unsigned Seed, fleet_knowledge Knowledge)
    : Random(Seed) {
  Route.Name = "route";
  Route.Repeatability = routing::repeatability::Idempotent;
  Route.Timeout = 1500ms;
  Service.Name = base::service_name("stock");
  Service.ColdTime = 3s;
  Service.ColdRequestsPerSecond = ColdRate;
  for (std::size_t I = 0; I < LocalEntries + OtherEntries; ++I) {
    Entries.emplace_back(I < LocalEntries ? North : South);
    setParts(I, LocalEntries, OtherEntries, Knowledge);
  }
}

void placer_fleet::setParts(std::size_t Index, std::size_t LocalEntries,
                            std::size_t OtherEntries,
                            fleet_knowledge Knowledge) {
  placement::rate_division Division;
  const bool IsLocal = Index < LocalEntries;
  const std::size_t First = IsLocal ? 0 : LocalEntries;
  const std::size_t Last = IsLocal ? LocalEntries : LocalEntries + OtherEntries;
  for (std::size_t I = First; I < Last; ++I)
    if (I != Index)
      Division.Others.push_back(holderOf(I, Knowledge));
  Division.Own = holderOf(Index, Knowledge);
  if (LocalEntries > 0 || Knowledge == fleet_knowledge::JustStarted)
    Division.RegionsWithEntries.insert(North);
  if (OtherEntries > 0 || Knowledge == fleet_knowledge::JustStarted)
    Division.RegionsWithEntries.insert(South);
  if (Knowledge == fleet_knowledge::JustStarted)
    Division.Own = {Division.Own.Seed, 0, {}};
  Division.UsesOtherRegions = Knowledge == fleet_knowledge::Complete;
  Entries[Index].Placer.setRateDivision(std::move(Division));
}

void placer_fleet::addTarget(const std::string &Id, milliseconds ColdTime) {
  routing::target Target = makeTarget(Id);
  Target.RemainingColdTime = ColdTime;
  for (entry &Entry : Entries)
    Entry.Registry.upsert(Target, Now);
  Targets[Id].ColdFrom = Now;
  Targets[Id].ColdUntil = Now + ColdTime;
}

void placer_fleet::removeTarget(const std::string &Id) {
  for (entry &Entry : Entries) {
    Entry.Registry.remove(base::target_id(Id), Now);
    Entry.Registry.sweep(Now);
  }
}

void placer_fleet::setClockSkew(milliseconds MaxSkew) {
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    auto Division = Entries[I].Placer.rateDivision();
    Division.SlotOrigin = base::boot_time{} + MaxSkew * (I % 3) / 2;
    Entries[I].Placer.setRateDivision(std::move(Division));
  }
}

void placer_fleet::turnCold(const std::string &Id, milliseconds ColdTime,
                            milliseconds MaxDelay) {
  Targets[Id].ColdFrom = Now;
  Targets[Id].ColdUntil = Now + ColdTime;
  for (std::size_t I = 0; I < Entries.size(); ++I)
    News.emplace(Now + MaxDelay * (I % 3) / 2, std::pair(I, Id));
}

placement::placement_query placer_fleet::makeQuery() {
  return {&Route,       &Service,    Random() * 0x9E3779B97F4A7C15U,
          Now + 1500ms, Now + 600ms, {}};
}

void placer_fleet::place(const waiting_request &Request) {
  entry &Entry = Entries[Request.Entry];
  const auto Result = Entry.Placer.choose(Request.Query, Now);
  if (const auto *Chosen = std::get_if<placement::chosen_target>(&Result)) {
    Targets[Chosen->Id.str()].Sends.push_back(Now);
    Entry.Registry.beginSend(Chosen->Id, Now);
    Entry.Registry.endSend(Chosen->Id, placement::send_result::Answered, 0ms,
                           Now);
    return;
  }
  const auto &None = std::get<placement::no_target>(Result);
  if (None.Reason == placement::no_target_reason::ColdLimit &&
      Request.Waits < MaxWaits && None.RetryAfter < MaxWait)
    Waiting.emplace(
        Now + None.RetryAfter,
        waiting_request{Request.Entry, Request.Query, Request.Waits + 1});
  else
    Refusals.push_back(None.RetryAfter);
}

void placer_fleet::run(milliseconds Duration, double RequestsPerSecond) {
  std::bernoulli_distribution Arrives(
      RequestsPerSecond * std::chrono::duration<double>(Step).count());
  for (const auto End = Now + Duration; Now < End; Now += Step) {
    for (; !News.empty() && News.begin()->first <= Now;
         News.erase(News.begin())) {
      const auto &[Index, Id] = News.begin()->second;
      Entries[Index].Registry.recordCold(
          placement::incarnationOf(makeTarget(Id)), Targets[Id].ColdUntil, Now);
    }
    while (!Waiting.empty() && Waiting.begin()->first <= Now) {
      const waiting_request Request = Waiting.begin()->second;
      Waiting.erase(Waiting.begin());
      place(Request);
    }
    for (std::size_t I = 0; I < Entries.size(); ++I)
      if (Arrives(Random))
        place({I, makeQuery(), 0});
  }
}

/// Returns the greatest number of times within one second, of those from a time
/// on and before another one.
static int mostWithinASecond(const std::vector<base::boot_time> &Times,
                             base::boot_time From, base::boot_time Until) {
  int Most = 0;
  for (auto First = std::lower_bound(Times.begin(), Times.end(), From);
       First != Times.end() && *First < Until; ++First)
    Most = std::max(
        Most, static_cast<int>(std::lower_bound(First, Times.end(),
                                                std::min(*First + 1s, Until)) -
                               First));
  return Most;
}

int placer_fleet::mostInASecondWhileCold(const std::string &Id) const {
  const target &Target = Targets.at(Id);
  return mostWithinASecond(Target.Sends, Target.ColdFrom, Target.ColdUntil);
}

int placer_fleet::mostInASecond(const std::string &Id) const {
  return mostWithinASecond(Targets.at(Id).Sends, base::boot_time{},
                           base::boot_time::max());
}

int placer_fleet::sentTo(const std::string &Id) const {
  return static_cast<int>(Targets.at(Id).Sends.size());
}

} // namespace test_support
