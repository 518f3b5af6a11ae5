#include "operators/detail/pages.hpp"

#include "operators/detail/actions.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"

#include <algorithm>

namespace skylarkdyke::operators::detail {

using nlohmann::json;

static html alarmList(const std::vector<alarm> &Alarms) {
  html Text;
  if (Alarms.empty())
    return Text << "<p class=\"good\">No alarms.</p>\n";
  for (const alarm &Alarm : Alarms)
    Text << "<div class=\"alarm\"><b>" << Alarm.Name << ".</b> " << Alarm.What
         << "<br><b>What it means:</b> " << Alarm.Meaning
         << "<br><b>What to do:</b> " << Alarm.Action << "</div>\n";
  return Text;
}

static std::string stateOf(const entries::member &Member) {
  if (Member.Leaving)
    return "leaving";
  if (!Member.Reachable)
    return "not reachable";
  return Member.Ready ? "ready" : "not ready";
}

html entriesTable(const std::vector<entries::member> &Members) {
  html Text;
  Text << "<table><tr><th>Entry</th><th>Region</th><th>Failure domain</th>"
          "<th>State</th><th>Version in force</th></tr>\n";
  for (const entries::member &Member : Members)
    Text << "<tr><td>" << Member.Name.str() << "</td><td>"
         << Member.Region.str() << "</td><td>" << Member.Domain.str()
         << "</td><td>" << stateOf(Member) << "</td><td>"
         << Member.ConfigVersion << "</td></tr>\n";
  return Text << "</table>\n";
}

static std::string amount(const headroom &Cap, double Value) {
  return Cap.IsLink ? formatBits(Value) : formatRequests(Value);
}

static html headroomTable(const status &Status) {
  html Text;
  if (!Status.HasLoads)
    Text << "<p class=\"wait\">No entry has reported load, so the use below "
            "is not known.</p>\n";
  Text << "<table><tr><th>Region or link</th><th>Used</th><th>Cap</th>"
          "<th>Remaining</th><th>Used part</th></tr>\n";
  for (const headroom &Cap : Status.Headroom) {
    Text << "<tr><td>" << Cap.Name << "</td><td>" << amount(Cap, Cap.Used)
         << "</td><td>" << amount(Cap, Cap.Cap) << "</td><td>"
         << amount(Cap, Cap.remaining()) << "</td><td>"
         << formatPercent(Cap.usedPart());
    if (Cap.usedPart() >= WarnAtCapPart)
      Text << " <b>nearly used</b>";
    Text << "</td></tr>\n";
  }
  return Text << "</table>\n";
}

static std::string drainState(const drain_status &Drain) {
  if (Drain.Age.count() < 0)
    return "starts in " + std::to_string(-Drain.Age.count()) + " s";
  if (Drain.Progress < 1)
    return formatPercent(Drain.Progress) + " of the way";
  if (Drain.Drain.Action == config::drain_action::Return)
    return "has returned";
  return Drain.isEmpty() ? "empty: its instances may be stopped"
                         : "waits for running requests";
}

static html drainsTable(const std::vector<drain_status> &Drains) {
  html Text;
  if (Drains.empty())
    return Text << "<p>No drains.</p>\n";
  Text << "<table><tr><th>What</th><th>Action</th><th>State</th>"
          "<th>Weight</th><th>Remaining requests</th><th>Since start</th>"
          "</tr>\n";
  for (const drain_status &Drain : Drains)
    Text << "<tr><td>" << config::toString(Drain.Drain.Scope) << " "
         << Drain.Drain.Name << "</td><td>"
         << config::toString(Drain.Drain.Action) << "</td><td>"
         << drainState(Drain) << "</td><td>" << formatPercent(Drain.Weight)
         << "</td><td>" << Drain.Remaining << "</td><td>"
         << std::max<std::chrono::seconds::rep>(0, Drain.Age.count())
         << " s</td></tr>\n";
  return Text << "</table>\n";
}

html overviewBody(const status &Status) {
  html Text;
  Text << "<h2>Alarms</h2>\n" << alarmList(Status.Alarms);
  if (Status.Document)
    Text << "<p>Version " << Status.Document->Version
         << " is in force here, submitted by "
         << Status.Document->SubmittedBy.str() << " at "
         << config::formatTime(Status.Document->SubmittedAt) << ".</p>\n";
  Text << "<h2>Drains</h2>\n"
       << drainsTable(Status.Drains) << "<h2>Headroom</h2>\n"
       << headroomTable(Status) << "<h2>Entries</h2>\n"
       << entriesTable(Status.Members);
  return Text;
}

static std::string capAmount(const caps::cap_id &Cap, std::uint64_t Value) {
  const auto Number = static_cast<double>(Value);
  return std::holds_alternative<caps::link_cap>(Cap) ? formatBits(Number)
                                                     : formatRequests(Number);
}

html headroomBody(const status &Status) {
  html Text;
  Text << "<p>Headroom is what a region or link can still take before its cap "
          "is reached.</p><h2>All entries together</h2>\n"
       << headroomTable(Status)
       << "<h2>This entry's share</h2><p>Every cap is divided among the "
          "entries, which lend each other what they do not use. A request that "
          "finds no share left is refused as not run.</p>\n"
          "<table><tr><th>Region or link</th><th>Share</th><th>Used</th>"
          "<th>Refused in the last second</th></tr>\n";
  for (const caps::cap_state &Cap : Status.CapStates)
    Text << "<tr><td>" << nameOf(Cap.Cap) << "</td><td>"
         << capAmount(Cap.Cap, Cap.Share) << "</td><td>"
         << capAmount(Cap.Cap, Cap.Used) << "</td><td>"
         << capAmount(Cap.Cap, Cap.Refused) << "</td></tr>\n";
  return Text << "</table>\n";
}

bool isInForceEverywhere(const std::vector<entries::member> &Members,
                         std::uint64_t Version) {
  return std::all_of(Members.begin(), Members.end(), [&](const auto &Member) {
    return !Member.Reachable || Member.ConfigVersion >= Version;
  });
}

html inForceBody(const std::vector<entries::member> &Members,
                 std::uint64_t Version) {
  html Text;
  const std::size_t Count = countInForce(Members, Version);
  if (Count == Members.size())
    Text << "<p class=\"good\">Version " << Version
         << " is in force at all entries.</p>\n";
  else
    Text << "<p class=\"wait\">Version " << Version << " is in force at "
         << Count << " of " << Members.size()
         << " entries. It reaches the others within 5 s; one that is not "
            "reachable gets it when it is back, and serves no callers that "
            "this entry knows of.</p>\n";
  return Text << entriesTable(Members);
}

html changesTable(const std::vector<config::field_change> &Changes) {
  html Text;
  if (Changes.empty())
    return Text << "<p>No field differs.</p>\n";
  Text << "<table><tr><th>Field</th><th>Before</th><th>After</th></tr>\n";
  for (const config::field_change &Change : Changes)
    Text << "<tr><td>" << Change.Path << "</td><td>"
         << (Change.Before.empty() ? std::string("(none)") : Change.Before)
         << "</td><td>"
         << (Change.After.empty() ? std::string("(none)") : Change.After)
         << "</td></tr>\n";
  return Text << "</table>\n";
}

/// What would be overloaded, before anything else on the page.
static html previewWarnings(const config::change_preview &Preview) {
  html Items;
  for (const config::region_effect &Region : Preview.Regions)
    for (const std::string &Reason : Region.Overloads)
      Items << "<li>Region " << Region.Region.str() << ": " << Reason
            << "</li>";
  for (const config::link_effect &Link : Preview.Links)
    if (Link.IsOverloaded)
      Items << "<li>Link " << Link.From.str() << " to " << Link.To.str()
            << " would need more than its cap.</li>";
  if (Preview.UnservedPerSecond > 0)
    Items << "<li>No target would be left for "
          << formatRequests(Preview.UnservedPerSecond) << ".</li>";
  html Text;
  if (Items.empty())
    return Text << "<p class=\"good\">Nothing would be overloaded at the "
                   "present load.</p>\n";
  return Text << "<div class=\"bad\"><b>This change would overload:</b><ul>"
              << Items
              << "</ul>Caps hold, so requests above them would be refused. Do "
                 "not submit unless you intend this.</div>\n";
}

static html regionEffects(const config::change_preview &Preview) {
  html Text;
  Text << "<h2>Regions</h2><table><tr><th>Region</th><th>Load before</th>"
          "<th>Load after</th><th>Cap</th><th>Slots before</th>"
          "<th>Slots after</th></tr>\n";
  for (const config::region_effect &Region : Preview.Regions)
    Text << "<tr><td>" << Region.Region.str() << "</td><td>"
         << formatRequests(Region.RequestsPerSecondBefore) << "</td><td>"
         << formatRequests(Region.RequestsPerSecondAfter) << "</td><td>"
         << formatRequests(static_cast<double>(Region.CapPerSecond))
         << "</td><td>" << Region.SlotsBefore << "</td><td>"
         << Region.SlotsAfter << "</td></tr>\n";
  return Text << "</table>\n";
}

static html linkEffects(const config::change_preview &Preview) {
  html Text;
  Text << "<h2>Links</h2><table><tr><th>From</th><th>To</th>"
          "<th>Load before</th><th>Load after</th><th>Cap</th></tr>\n";
  for (const config::link_effect &Link : Preview.Links)
    Text << "<tr><td>" << Link.From.str() << "</td><td>" << Link.To.str()
         << "</td><td>" << formatBits(Link.BitsPerSecondBefore) << "</td><td>"
         << formatBits(Link.BitsPerSecondAfter) << "</td><td>"
         << formatBits(static_cast<double>(Link.CapBitsPerSecond))
         << "</td></tr>\n";
  return Text << "</table>\n";
}

static html targetEffects(const config::change_preview &Preview) {
  html Text;
  if (!Preview.Drains.empty())
    Text << "<h2>Shifts</h2><ul>";
  for (const config::drain_effect &Drain : Preview.Drains) {
    Text << "<li>" << config::toString(Drain.Drain.Scope) << " "
         << Drain.Drain.Name << ", " << config::toString(Drain.Drain.Action)
         << ": ";
    if (Drain.Drain.Scope == config::drain_scope::Target)
      Text << "takes effect as soon as the change is in force, within 5 s";
    else
      Text << "starts at " << config::formatTime(Drain.Drain.Start)
           << ", a whole ramp takes " << (Drain.Ramp.count() + 999) / 1000
           << " s";
    Text << "</li>";
  }
  if (!Preview.Drains.empty())
    Text << "</ul>\n";
  if (Preview.LeavingTargets.empty())
    return Text;
  Text << "<h2>Targets that leave</h2><ul>";
  for (const config::leaving_target &Target : Preview.LeavingTargets) {
    Text << "<li>" << Target.Id.str() << " (" << Target.Service.str() << ")";
    if (Target.IsRemoved)
      Text << " <b>is removed: it gets no new work at once, without a "
              "ramp</b>";
    Text << "</li>";
  }
  return Text << "</ul>\n";
}

html previewBody(const config::change_preview &Preview,
                 const std::vector<config::field_change> &Changes,
                 bool HasLoads) {
  html Text;
  Text << "<p>Nothing has been submitted yet.</p>\n";
  if (!HasLoads)
    Text << "<p class=\"wait\">No entry has reported load, so this page cannot "
            "tell what would be overloaded.</p>\n";
  else
    Text << previewWarnings(Preview);
  return Text << "<h2>Changed fields</h2>\n"
              << changesTable(Changes) << targetEffects(Preview)
              << regionEffects(Preview) << linkEffects(Preview);
}

html conflictBody(const store::conflict &Conflict) {
  html Text;
  Text << "<p class=\"bad\"><b>Not accepted: another change came first.</b> ";
  if (Conflict.SubmittedBy.empty())
    Text << "Another operator submitted it.";
  else
    Text << Conflict.SubmittedBy.str() << " submitted version "
         << Conflict.Version << ".";
  Text << " Nothing of your change is in force.</p>\n<p><b>What to do:</b> "
          "look at the fields below, open the form again and repeat your "
          "change if it is still right.</p>\n";
  if (!Conflict.IsBaseKnown && Conflict.Changes.empty())
    return Text << "<p>The version that you edited is not known here any more, "
                   "so this page cannot tell which fields changed.</p>\n";
  if (!Conflict.IsBaseKnown)
    Text << "<p>The version that you edited is not known here any more. The "
            "table compares your change with the configuration in force.</p>\n";
  return Text << changesTable(Conflict.Changes);
}

html refusedTable(const config::document &Submitted,
                  const base::findings &Findings) {
  const json Root = json::parse(config::encode(Submitted));
  html Text;
  Text << "<table><tr><th>Field</th><th>Your value</th><th>Finding</th></tr>\n";
  for (const base::finding &Finding : Findings) {
    std::string Value;
    // Places of missing fields and of the whole document have no value.
    if (!Finding.Location.empty() && Finding.Location.front() == '/') {
      const json::json_pointer Location(Finding.Location);
      if (Root.contains(Location))
        Value = Root.at(Location).dump();
    }
    Text << "<tr><td>" << Finding.Location << "</td><td>" << Value
         << "</td><td class=\"finding\">" << Finding.Reason << "</td></tr>\n";
  }
  return Text << "</table>\n";
}

html blockedTable(const std::vector<poison::blocked_request> &Blocked,
                  const html &TokenField) {
  html Text;
  if (Blocked.empty())
    return Text << "<p class=\"good\">No request is blocked.</p>\n";
  Text << "<table><tr><th>Service</th><th>Request</th><th>Crashes</th>"
          "<th>Blocked until</th><th>Release</th></tr>\n";
  for (const poison::blocked_request &Request : Blocked)
    Text << "<tr><td>" << Request.Service.str() << "</td><td>"
         << Request.Summary << "</td><td>" << Request.Crashes << "</td><td>"
         << config::formatTime(base::toWallTime(Request.BlockedUntil))
         << "</td><td><form method=\"post\" "
            "action=\"/console/poisoned/release\">"
         << TokenField << "<input type=\"hidden\" name=\"fingerprint\" value=\""
         << poison::toString(Request.Fingerprint)
         << "\"><button>Release</button></form></td></tr>\n";
  return Text << "</table>\n";
}

static html seatForm(unsigned Seat, const store::seat_record &Record,
                     const html &TokenField) {
  html Text;
  return Text << "<form method=\"post\" action=\"/console/seats/destroyed\">"
              << TokenField << "<input type=\"hidden\" name=\"seat\" value=\""
              << Seat
              << "\"><input type=\"hidden\" name=\"incarnation\" value=\""
              << base::toString(Record.Incarnation)
              << "\"><label><input type=\"checkbox\" name=\"sure\" "
                 "value=\"yes\"> The platform team confirmed that this "
                 "instance is destroyed</label> <button>Free the seat</button>"
                 "</form>";
}

html seatsTable(const std::vector<seat_status> &Seats, const html &TokenField) {
  html Text;
  Text << "<table><tr><th>Seat</th><th>State</th><th>Entry</th>"
          "<th>Renewals</th><th>Free</th></tr>\n";
  for (const seat_status &Seat : Seats) {
    Text << "<tr><td>" << Seat.Seat << "</td>";
    if (const auto *Record = std::get_if<store::seat_record>(&Seat.Record)) {
      Text << "<td>" << toString(Record->State);
      if (!Record->ReleasedBy.empty())
        Text << " (" << Record->ReleasedBy.str() << ")";
      Text << "</td><td>" << Record->Entry.str() << "</td><td>"
           << Record->Renewals << "</td><td>";
      if (Record->State == store::seat_state::Held)
        Text << seatForm(Seat.Seat, *Record, TokenField);
      Text << "</td>";
    } else if (const auto *Failure =
                   std::get_if<store::unavailable>(&Seat.Record)) {
      Text << "<td colspan=\"4\">not known: " << Failure->Reason << "</td>";
    } else {
      Text << "<td colspan=\"4\">never used</td>";
    }
    Text << "</tr>\n";
  }
  return Text << "</table>\n";
}

} // namespace skylarkdyke::operators::detail
