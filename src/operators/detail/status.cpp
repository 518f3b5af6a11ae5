#include "operators/detail/status.hpp"

#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"
#include "skylarkdyke/steering/ramp.hpp"

#include <algorithm>
#include <charconv>

namespace skylarkdyke::operators::detail {

using nlohmann::json;
using namespace std::chrono_literals;
using float_seconds = std::chrono::duration<double>;

double headroom::remaining() const { return std::max(0.0, Cap - Used); }

double headroom::usedPart() const { return Cap > 0 ? Used / Cap : 0; }

bool drain_status::isEmpty() const {
  return Drain.Action == config::drain_action::Leave && Weight <= 0 &&
         Remaining == 0;
}

std::optional<std::uint64_t> parseHex(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Value, 16);
  if (Text.empty() || Text.size() > 16 || Failure != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

namespace {

struct cap_name {
  std::string operator()(const caps::region_cap &Cap) const {
    return "region " + Cap.Region.str();
  }
  std::string operator()(const caps::link_cap &Cap) const {
    return "link " + Cap.From.str() + " to " + Cap.To.str();
  }
};

} // namespace

std::string nameOf(const caps::cap_id &Cap) {
  return std::visit(cap_name(), Cap);
}

std::size_t countInForce(const std::vector<entries::member> &Members,
                         std::uint64_t Version) {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Member) {
        return Member.ConfigVersion >= Version;
      }));
}

static std::vector<headroom>
readHeadroom(const config::document &Document,
             const std::vector<config::service_load> &Loads) {
  const config::change_preview Present =
      config::preview(Document, Document, Loads);
  std::vector<headroom> All;
  for (const config::region_effect &Region : Present.Regions)
    All.push_back({nameOf(caps::region_cap{Region.Region}),
                   static_cast<double>(Region.CapPerSecond),
                   Region.RequestsPerSecondBefore, false});
  for (const config::link_effect &Link : Present.Links)
    All.push_back({nameOf(caps::link_cap{Link.From, Link.To}),
                   static_cast<double>(Link.CapBitsPerSecond),
                   Link.BitsPerSecondBefore, true});
  return All;
}

static bool isInScope(const config::drain &Drain, const config::target &Target,
                      const config::domain_regions &Regions) {
  switch (Drain.Scope) {
  case config::drain_scope::Target:
    return Target.Id.str() == Drain.Name;
  case config::drain_scope::Domain:
    return Target.Domain.str() == Drain.Name;
  case config::drain_scope::Region: {
    const auto Region = Regions.find(Target.Domain);
    return Region != Regions.end() && Region->second.str() == Drain.Name;
  }
  }
  return false;
}

static double progressOf(const drain_status &Status, base::wall_time Now) {
  if (!Status.CompleteAt || Now < Status.Drain.Start)
    return 0;
  const float_seconds Whole = *Status.CompleteAt - Status.Drain.Start;
  const float_seconds Passed = Now - Status.Drain.Start;
  return Whole.count() <= 0 ? 1 : std::min(1.0, Passed / Whole);
}

static std::vector<drain_status>
readDrains(const config::document &Document,
           const std::map<base::target_id, unsigned> &SlotsInUse,
           base::wall_time Now) {
  const steering::ramp Ramp(Document);
  const config::domain_regions Regions = config::regionsOfDomains(Document);
  std::vector<drain_status> All;
  for (const config::drain &Drain : Document.Drains) {
    drain_status Status;
    Status.Drain = Drain;
    Status.Weight = Ramp.weight(Drain.Scope, Drain.Name, Now);
    Status.Age = std::chrono::floor<std::chrono::seconds>(Now - Drain.Start);
    Status.CompleteAt = Ramp.completeAt(Drain.Scope, Drain.Name);
    Status.Progress = progressOf(Status, Now);
    for (const config::target &Target : Document.Targets) {
      const auto Used = SlotsInUse.find(Target.Id);
      if (Used != SlotsInUse.end() && isInScope(Drain, Target, Regions))
        Status.Remaining += Used->second;
    }
    Status.IsStuck = Drain.Action == config::drain_action::Leave &&
                     Status.Remaining > 0 && Status.CompleteAt &&
                     Now > *Status.CompleteAt + StuckAfter;
    All.push_back(std::move(Status));
  }
  return All;
}

status readStatus(const dependencies &Entry) {
  status Status;
  Status.At = Entry.WallNow();
  Status.Document = Entry.Document();
  Status.Members = Entry.Members();
  Status.CapStates = Entry.CapStates();
  Status.Blocked = Entry.Blocked();
  Status.StoreDownSince = Entry.StoreDownSince();
  if (Status.Document) {
    const auto Loads = Entry.Loads();
    Status.HasLoads = !Loads.empty();
    Status.Headroom = readHeadroom(*Status.Document, Loads);
    Status.Drains = readDrains(*Status.Document, Entry.SlotsInUse(), Status.At);
  }
  Status.Alarms = findAlarms(Status);
  return Status;
}

namespace {

/// Derives the alarms of one status.
class alarm_finder {
public:
  explicit alarm_finder(const status &Status) : Status(Status) {}

  std::vector<alarm> run() {
    findConfiguration();
    findStore();
    findEntries();
    findCaps();
    findDrains();
    findBlocked();
    return std::move(Alarms);
  }

private:
  void add(std::string Name, std::string What, std::string Meaning,
           std::string Action) {
    Alarms.push_back({std::move(Name), std::move(What), std::move(Meaning),
                      std::move(Action)});
  }

  void findConfiguration() {
    if (!Status.Document)
      add("No configuration", "This entry has no configuration in force.",
          "The entry serves no callers.",
          "If the deployment is new, submit the first document under Whole "
          "document. Otherwise wait for the store or another entry; if this "
          "lasts longer than a minute, call the platform team.");
  }

  void findStore() {
    if (!Status.StoreDownSince)
      return;
    add("Store unavailable",
        "The store has not answered since " +
            config::formatTime(*Status.StoreDownSince) + ".",
        "Traffic goes on with the configuration in force. No change can be "
        "submitted.",
        "Call the platform team. Do not restart entries. See the page Store "
        "outage.");
  }

  void findEntries() {
    const std::uint64_t Newest = newestVersion();
    for (const entries::member &Member : Status.Members) {
      const std::string Who = "Entry " + Member.Name.str();
      if (Member.Leaving)
        continue;
      if (!Member.Reachable)
        add("Entry not reachable", Who + " does not answer this entry.",
            "Callers use other entries. Its part of every cap may be unused.",
            "Open the console of another entry. If that one cannot reach it "
            "either, ask the platform team whether the instance was "
            "destroyed; if so, confirm that under Seats.");
      else if (!Member.Ready)
        add("Entry not ready", Who + " is not ready.",
            "It takes no callers yet.",
            "Wait a minute after a start. After that, read its log.");
      else if (Member.ConfigVersion < Newest)
        add("Entry behind",
            Who + " has version " + std::to_string(Member.ConfigVersion) +
                " in force, the newest is " + std::to_string(Newest) + ".",
            "It steers by older rules. A new version is in force everywhere "
            "within 5 s.",
            "Reload this page. If it is still behind after a minute, check "
            "its connection to the store and to other entries.");
    }
  }

  std::uint64_t newestVersion() const {
    std::uint64_t Newest = Status.Document ? Status.Document->Version : 0;
    for (const entries::member &Member : Status.Members)
      Newest = std::max(Newest, Member.ConfigVersion);
    return Newest;
  }

  void findCaps() {
    for (const headroom &Cap : Status.Headroom)
      if (Cap.usedPart() >= WarnAtCapPart)
        add("Cap nearly used",
            "The " + Cap.Name + " uses " +
                std::to_string(static_cast<int>(Cap.usedPart() * 100)) +
                "% of its cap.",
            "Above the cap, requests are refused as not run.",
            "Find out which service grew. Raise the cap only if the region or "
            "link can carry more.");
    for (const caps::cap_state &Cap : Status.CapStates)
      if (Cap.Refused > 0)
        add("Cap reached",
            "This entry refused requests within the last second, because of "
            "the cap of the " +
                nameOf(Cap.Cap) + ".",
            "Callers are told that these requests were not run, and try again.",
            "Compare with the headroom of all entries. If the cap as a whole "
            "has headroom left, wait: entries lend each other unused share "
            "within 2 s. Otherwise raise the cap if the region or link can "
            "carry more.");
    if (Status.Document && !Status.HasLoads)
      add("Load unknown", "No entry has reported load.",
          "The headroom and the previews on these pages are not reliable. "
          "Caps are kept nevertheless.",
          "Reload this page after 10 s. Make no large change until load is "
          "shown.");
  }

  void findDrains() {
    for (const drain_status &Drain : Status.Drains)
      if (Drain.IsStuck)
        add("Drain not finished",
            "The " + std::string(config::toString(Drain.Drain.Scope)) + " " +
                Drain.Drain.Name + " still runs " +
                std::to_string(Drain.Remaining) + " requests.",
            "It gets no new work, but is not empty.",
            "Do not stop its instances. Look which service still runs there, "
            "and ask its owners.");
  }

  void findBlocked() {
    if (!Status.Blocked.empty())
      add("Requests blocked",
          std::to_string(Status.Blocked.size()) +
              " requests that crashed targets are blocked.",
          "Their callers are told that they were not run. All other requests "
          "go on.",
          "See Blocked requests, and tell the owners of the service.");
  }

  const status &Status;
  std::vector<alarm> Alarms;
};

} // namespace

std::vector<alarm> findAlarms(const status &Status) {
  return alarm_finder(Status).run();
}

static json memberJson(const entries::member &Member) {
  return {{"name", Member.Name.str()},
          {"incarnation", base::toString(Member.Incarnation)},
          {"region", Member.Region.str()},
          {"domain", Member.Domain.str()},
          {"address", base::toString(Member.CallerAddress)},
          {"version", Member.ConfigVersion},
          {"ready", Member.Ready},
          {"leaving", Member.Leaving},
          {"reachable", Member.Reachable}};
}

static json headroomJson(const headroom &Cap) {
  return {{"name", Cap.Name},
          {"unit", Cap.IsLink ? "bits_per_second" : "requests_per_second"},
          {"cap", Cap.Cap},
          {"used", Cap.Used},
          {"remaining", Cap.remaining()}};
}

static json capJson(const caps::cap_state &Cap) {
  return {{"name", nameOf(Cap.Cap)},
          {"whole", Cap.CapLimit},
          {"share", Cap.Share},
          {"used", Cap.Used},
          {"refused", Cap.Refused}};
}

static json drainJson(const drain_status &Drain) {
  json Item = {{"scope", config::toString(Drain.Drain.Scope)},
               {"name", Drain.Drain.Name},
               {"action", config::toString(Drain.Drain.Action)},
               {"start", config::formatTime(Drain.Drain.Start)},
               {"weight", Drain.Weight},
               {"progress", Drain.Progress},
               {"age_seconds", Drain.Age.count()},
               {"remaining_requests", Drain.Remaining},
               {"empty", Drain.isEmpty()}};
  if (Drain.CompleteAt)
    Item["complete_at"] = config::formatTime(*Drain.CompleteAt);
  return Item;
}

template <typename Item>
static json listJson(const std::vector<Item> &Items,
                     json (*Encode)(const Item &)) {
  json List = json::array();
  for (const Item &Each : Items)
    List.push_back(Encode(Each));
  return List;
}

static json alarmJson(const alarm &Alarm) {
  return {{"name", Alarm.Name},
          {"what", Alarm.What},
          {"meaning", Alarm.Meaning},
          {"action", Alarm.Action}};
}

json toJson(const status &Status) {
  json Body = {{"at", config::formatTime(Status.At)},
               {"version", Status.Document ? Status.Document->Version : 0},
               {"alarms", listJson(Status.Alarms, &alarmJson)},
               {"entries", listJson(Status.Members, &memberJson)},
               {"load_known", Status.HasLoads},
               {"headroom", listJson(Status.Headroom, &headroomJson)},
               {"own_caps", listJson(Status.CapStates, &capJson)},
               {"drains", listJson(Status.Drains, &drainJson)},
               {"blocked_requests", Status.Blocked.size()}};
  if (Status.Document) {
    Body["submitted_by"] = Status.Document->SubmittedBy.str();
    Body["submitted_at"] = config::formatTime(Status.Document->SubmittedAt);
  }
  if (Status.StoreDownSince)
    Body["store_down_since"] = config::formatTime(*Status.StoreDownSince);
  return Body;
}

} // namespace skylarkdyke::operators::detail
