#include "operators/detail/console_impl.hpp"

#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkdyke::operators {

using namespace detail;
using nlohmann::json;

static html previewButton() {
  html Text;
  return Text << "<p><button>Preview this change</button> Nothing is submitted "
                 "yet.</p></form>\n";
}

page console::impl::formPage(const visit &Visit, const form &Form,
                             const config::document &Document,
                             const base::findings &Findings) {
  static const parameters NoValues;
  const bool IsRepeated = !Findings.empty();
  html Body;
  Body << "<p>" << Form.Intro << "</p>\n"
       << formHead(Visit, "/console/" + Form.Name, Document.Version)
       << renderFields(Form, Document, IsRepeated ? Visit.values() : NoValues,
                       Findings)
       << previewButton();
  return makePage(Form.Title, Body, IsRepeated ? 422 : 200);
}

static html scopeOptions(const config::document &Document,
                         const std::string &Chosen) {
  html Text;
  const auto Add = [&](config::drain_scope Scope, const std::string &Name) {
    const std::string Value = formatScope(Scope, Name);
    Text << "<option value=\"" << Value << "\"";
    if (Value == Chosen)
      Text << " selected";
    Text << ">" << config::toString(Scope) << " " << Name << "</option>";
  };
  for (const config::region &Region : Document.Regions) {
    Add(config::drain_scope::Region, Region.Name.str());
    for (const base::domain_name &Domain : Region.Domains)
      Add(config::drain_scope::Domain, Domain.str());
  }
  for (const config::target &Target : Document.Targets)
    Add(config::drain_scope::Target, Target.Id.str());
  return Text;
}

static html findingsAt(const base::findings &Findings,
                       const std::string &Location) {
  html Text;
  for (const base::finding &Finding : Findings)
    if (Finding.Location == Location)
      Text << "<span class=\"finding\">" << Finding.Reason << "</span>";
  return Text;
}

page console::impl::drainPage(const visit &Visit,
                              const config::document &Document,
                              const base::findings &Findings) {
  static const std::vector<std::string> Fields = {"/scope", "/action",
                                                  "/start"};
  base::findings Others;
  std::copy_if(Findings.begin(), Findings.end(), std::back_inserter(Others),
               [](const base::finding &Finding) {
                 return std::find(Fields.begin(), Fields.end(),
                                  Finding.Location) == Fields.end();
               });
  const bool IsReturn = valueOf(Visit.values(), "action") == "return";
  html Body;
  Body << "<p>A drain moves traffic away step by step, at the shift cap, until "
          "the target, failure domain or region is empty. Running requests end "
          "normally. A return moves traffic back the same way. A single target "
          "stops or starts at once.</p>\n"
       << renderFindings(Others)
       << formHead(Visit, "/console/drain", Document.Version)
       << "<p><label>What: <select name=\"scope\">"
       << scopeOptions(Document, valueOf(Visit.values(), "scope"))
       << "</select></label>" << findingsAt(Findings, "/scope")
       << "</p>\n<p><label>Action: <select name=\"action\">"
          "<option value=\"leave\">leave: move traffic away</option>"
          "<option value=\"return\"";
  if (IsReturn)
    Body << " selected";
  Body << ">return: move traffic back</option></select></label>"
       << findingsAt(Findings, "/action")
       << "</p>\n<p><label>Start: <input name=\"start\" value=\""
       << valueOf(Visit.values(), "start") << "\"></label>"
       << "<span class=\"help\">Leave this empty to start right after you "
          "submit. A later start is a UTC time such as 2026-12-04T05:30:00Z."
          "</span>"
       << findingsAt(Findings, "/start") << "</p>\n"
       << previewButton();
  return makePage("Drain or return", Body, Findings.empty() ? 200 : 422);
}

page console::impl::drainForm(const visit &Visit) {
  const auto Document = current();
  return Document ? drainPage(Visit, *Document, {}) : noDocumentPage();
}

page console::impl::documentPage(const visit &Visit, std::uint64_t Version,
                                 const std::string &Text,
                                 const base::findings &Findings) {
  html Body;
  Body << "<p>The whole configuration as JSON, for changes that no other form "
          "makes. The fields version, submission_id, submitted_by, "
          "submitted_at and recent_submissions are set by the system; what you "
          "enter there has no effect.</p>\n"
       << renderFindings(Findings)
       << formHead(Visit, "/console/document", Version)
       << "<textarea name=\"text\">" << Text << "</textarea>\n"
       << previewButton();
  return makePage("Whole document", Body, Findings.empty() ? 200 : 422);
}

page console::impl::documentForm(const visit &Visit) {
  const auto Document = current();
  const config::document Shown = Document ? *Document : emptyDocument();
  return documentPage(Visit, Document ? Document->Version : 0,
                      json::parse(config::encode(Shown)).dump(1), {});
}

/// Refuses a form that was made on another version than the one in force.
std::optional<page> console::impl::conflictPage(const visit &Visit) {
  const auto Version = parseVersion(valueOf(Visit.values(), "version"));
  const auto Document = current();
  const std::uint64_t InForce = Document ? Document->Version : 0;
  if (Version == InForce)
    return std::nullopt;
  if (!Document || !Version || *Version > InForce)
    return errorPage(problem_code::NoConfiguration,
                     "This entry does not have the version that you edited in "
                     "force yet. Wait a few seconds and send the form again.");
  store::conflict Conflict;
  Conflict.SubmittedBy = Document->SubmittedBy;
  Conflict.Version = InForce;
  const auto Base = recall(*Version);
  Conflict.IsBaseKnown = Base != nullptr;
  if (Base)
    Conflict.Changes = config::difference(*Base, *Document);
  return makePage("Another change came first", conflictBody(Conflict), 412);
}

page console::impl::previewPage(const visit &Visit,
                                const previewed_change &Change) {
  const auto Current = current();
  const config::document Base = Current ? *Current : config::document();
  const auto Loads = Entry.Loads();
  html Body;
  Body << previewBody(config::preview(Base, Change.Document, Loads),
                      config::difference(Base, Change.Document),
                      !Loads.empty());
  if (Change.StartsOnSubmit)
    Body << "<p>The shift starts right after you submit, not at the time when "
            "this page was made.</p>\n";
  Body << "<h2>Submit</h2><form method=\"post\" action=\"/console/submit\">"
       << Guard.changeFields(Change, Visit.Operator)
       << "<p><button>Submit this change of version " << Change.Version
       << "</button> To change nothing, leave this page.</p></form>\n";
  return makePage("Preview", Body);
}

page console::impl::postForm(const visit &Visit, const form &Form) {
  if (auto Conflict = conflictPage(Visit))
    return *std::move(Conflict);
  const auto Document = current();
  if (!Document)
    return noDocumentPage();
  form_result Result = applyForm(Form, *Document, Visit.values());
  if (Result.Findings.empty())
    Result.Findings =
        mapToRows(Result, checkChange(Document.get(), Result.Document,
                                      Visit.Operator, Entry.WallNow()));
  if (!Result.Findings.empty())
    return formPage(Visit, Form, *Document, Result.Findings);
  return previewPage(Visit, {Result.Document, Document->Version, std::nullopt});
}

/// Reads the drain form; its findings have the fields of the form as places.
static drain_request readDrain(const parameters &Values,
                               base::findings &Findings) {
  auto Request = parseScope(valueOf(Values, "scope"));
  if (!Request)
    Findings.push_back({"/scope", "choose what to drain or return"});
  drain_request Read = Request.value_or(drain_request());
  const std::string Action = valueOf(Values, "action");
  if (Action == "return")
    Read.Action = config::drain_action::Return;
  else if (Action != "leave")
    Findings.push_back({"/action", "must be leave or return"});
  const std::string Start = valueOf(Values, "start");
  if (!Start.empty()) {
    Read.Start = config::parseTime(Start);
    if (!Read.Start)
      Findings.push_back(
          {"/start", "must be a UTC time such as 2026-12-04T05:30:00Z"});
  }
  return Read;
}

page console::impl::postDrain(const visit &Visit) {
  if (auto Conflict = conflictPage(Visit))
    return *std::move(Conflict);
  const auto Document = current();
  if (!Document)
    return noDocumentPage();
  base::findings Findings;
  const drain_request Request = readDrain(Visit.values(), Findings);
  if (!Findings.empty())
    return drainPage(Visit, *Document, Findings);
  previewed_change Change{*Document, Document->Version, std::nullopt};
  putDrain(Change.Document, Request, Entry.WallNow());
  if (!Request.Start)
    Change.StartsOnSubmit = Request;
  Findings = checkChange(Document.get(), Change.Document, Visit.Operator,
                         Entry.WallNow());
  for (base::finding &Finding : Findings) {
    // The form has no row for the drain, so its findings go to its fields.
    const std::size_t Slash = Finding.Location.rfind('/');
    if (Finding.Location.rfind("/drains/", 0) == 0)
      Finding.Location =
          Finding.Location.substr(Slash) == "/start" ? "/start" : "/scope";
  }
  return Findings.empty() ? previewPage(Visit, Change)
                          : drainPage(Visit, *Document, Findings);
}

page console::impl::postDocument(const visit &Visit) {
  if (auto Conflict = conflictPage(Visit))
    return *std::move(Conflict);
  const auto Document = current();
  const std::uint64_t Version = Document ? Document->Version : 0;
  const std::string Text = valueOf(Visit.values(), "text");
  const auto Decoded = config::decode(Text);
  const base::findings Findings =
      Decoded ? checkChange(Document.get(), Decoded.value(), Visit.Operator,
                            Entry.WallNow())
              : Decoded.error();
  if (!Findings.empty())
    return documentPage(Visit, Version, Text, Findings);
  return previewPage(Visit, {Decoded.value(), Version, std::nullopt});
}

} // namespace skylarkdyke::operators
