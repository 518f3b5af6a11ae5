#include "skylarkdyke/operators/console.hpp"

#include "operators/detail/actions.hpp"
#include "operators/detail/change.hpp"
#include "operators/detail/form.hpp"
#include "operators/detail/form_guard.hpp"
#include "operators/detail/pages.hpp"
#include "operators/detail/problem.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"
#include "skylarkdyke/config/submission.hpp"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace skylarkdyke::operators {

using namespace detail;
using nlohmann::json;

/// Versions whose changes a conflict can name; as many as a document remembers
/// submissions.
static constexpr std::size_t MaxRemembered = config::MaxRecentSubmissions;

namespace {

/// One request on its way through the console.
struct visit {
  const http::server_request &Request;
  const base::operator_name &Operator;

  const parameters &values() const { return Request.Parameters; }
};

} // namespace

struct console::impl {
  using page_handler = page (impl::*)(const visit &);
  using document_ptr = std::shared_ptr<const config::document>;

  explicit impl(const dependencies &Entry) : Entry(Entry) {}

  page get(const visit &Visit);
  page post(const visit &Visit);
  page postForm(const visit &Visit, const form &Form);

  page overview(const visit &);
  page headroomPage(const visit &);
  page inForce(const visit &Visit);
  page submission(const visit &Visit);
  page blocked(const visit &Visit);
  page seats(const visit &Visit);
  page drainForm(const visit &Visit);
  page documentForm(const visit &Visit);

  page postDrain(const visit &Visit);
  page postDocument(const visit &Visit);
  page submit(const visit &Visit);
  page release(const visit &Visit);
  page destroyed(const visit &Visit);

  page formPage(const visit &Visit, const form &Form,
                const config::document &Document,
                const base::findings &Findings);
  page drainPage(const visit &Visit, const config::document &Document,
                 const base::findings &Findings);
  page documentPage(const visit &Visit, std::uint64_t Version,
                    const std::string &Text, const base::findings &Findings);
  page previewPage(const visit &Visit, const previewed_change &Change);
  std::optional<page> conflictPage(const visit &Visit);

  page resultPage(const visit &Visit, const previewed_change &Change,
                  const store::submit_result &Result);

  html formHead(const visit &Visit, const std::string &Path,
                std::uint64_t Version) const;

  /// The document in force, remembered for later conflicts.
  document_ptr current();
  document_ptr recall(std::uint64_t Version);

  const dependencies &Entry;
  form_guard Guard;
  std::mutex Mutex;
  std::map<std::uint64_t, document_ptr> Remembered;
};

static page makePage(std::string Title, html Body, int Status = 200) {
  page Page;
  Page.Status = Status;
  Page.Title = std::move(Title);
  Page.Body = std::move(Body);
  return Page;
}

static page errorPage(problem_code Code, const std::string &Detail) {
  html Body;
  Body << "<p class=\"bad\">" << Detail << "</p><p>Error " << number(Code)
       << "</p>\n";
  return makePage(titleOf(Code), Body, statusOf(Code));
}

static page noDocumentPage() {
  return errorPage(problem_code::NoConfiguration,
                   "This entry has no configuration in force. If the "
                   "deployment is new, submit the first document under Whole "
                   "document.");
}

console::impl::document_ptr console::impl::current() {
  document_ptr Document = Entry.Document();
  if (Document) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Remembered.emplace(Document->Version, Document);
    if (Remembered.size() > MaxRemembered)
      Remembered.erase(Remembered.begin());
  }
  return Document;
}

console::impl::document_ptr console::impl::recall(std::uint64_t Version) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Remembered.find(Version);
  return Found == Remembered.end() ? nullptr : Found->second;
}

html console::impl::formHead(const visit &Visit, const std::string &Path,
                             std::uint64_t Version) const {
  html Head;
  return Head << "<form method=\"post\" action=\"" << Path << "\">"
              << Guard.tokenField(Visit.Operator)
              << "<input type=\"hidden\" name=\"version\" value=\"" << Version
              << "\">\n";
}

static html previewButton() {
  html Text;
  return Text << "<p><button>Preview this change</button> Nothing is submitted "
                 "yet.</p></form>\n";
}

page console::impl::overview(const visit &) {
  return makePage("Overview", overviewBody(readStatus(Entry)));
}

page console::impl::headroomPage(const visit &) {
  return makePage("Headroom", headroomBody(readStatus(Entry)));
}

page console::impl::inForce(const visit &Visit) {
  const auto Version = parseVersion(valueOf(Visit.values(), "version"));
  if (!Version)
    return errorPage(problem_code::NoSuchResource,
                     "The address of this page names no version.");
  const auto Members = Entry.Members();
  page Page =
      makePage("Where the change is in force", inForceBody(Members, *Version));
  if (!isInForceEverywhere(Members, *Version))
    Page.RefreshPath = "/console/in-force?version=" + std::to_string(*Version);
  return Page;
}

/// Follows a submission whose result is unknown. It is decided as soon as a
/// later version than the one it was made on is in force.
page console::impl::submission(const visit &Visit) {
  const std::string Id = valueOf(Visit.values(), "id");
  const auto Base = parseVersion(valueOf(Visit.values(), "base"));
  const auto Document = current();
  if (!Base || Id.empty())
    return errorPage(problem_code::NoSuchResource,
                     "The address of this page names no submission.");
  html Body;
  if (Document && config::hasSubmission(*Document, Id)) {
    Body << "<p class=\"good\"><b>Accepted.</b> Your change is in force as "
            "version "
         << *Base + 1 << ".</p>\n"
         << inForceBody(Entry.Members(), *Base + 1);
    return makePage("Accepted", Body);
  }
  if (Document && Document->Version > *Base + config::MaxRecentSubmissions) {
    Body
        << "<p class=\"wait\"><b>Not known any more.</b> More changes followed "
           "than the configuration remembers. Compare the configuration in "
           "force with what you wanted.</p>\n";
    return makePage("Result not known", Body);
  }
  if (Document && Document->Version > *Base) {
    Body << "<p class=\"bad\"><b>Not accepted.</b> "
         << Document->SubmittedBy.str() << " submitted version "
         << Document->Version
         << ", and your change is not part of it. Open the form again and "
            "repeat your change if it is still right.</p>\n";
    return makePage("Not accepted", Body);
  }
  Body << "<p class=\"wait\"><b>Not known yet.</b> Neither your change nor "
          "another one is in force so far. This page loads itself again. Do "
          "not submit the change again.</p>\n";
  page Page = makePage("Result not known yet", Body);
  // The id comes from the address, so only its own alphabet goes back there.
  if (Id.find_first_not_of("0123456789abcdefABCDEF-") == std::string::npos)
    Page.RefreshPath =
        "/console/submission?id=" + Id + "&base=" + std::to_string(*Base);
  return Page;
}

page console::impl::blocked(const visit &Visit) {
  html Body;
  Body << "<p>A request that crashed targets twice is blocked for 10 minutes. "
          "Its callers are told that it was not run. Release it only when the "
          "owners of the service say that the fault is mended. A release "
          "holds at this entry; repeat it in the console of each other entry "
          "that still lists the request.</p>\n"
       << blockedTable(Entry.Blocked(), Guard.tokenField(Visit.Operator));
  return makePage("Blocked requests", Body);
}

page console::impl::seats(const visit &Visit) {
  html Body;
  Body << "<p>Each running entry holds one seat, its part of every cap. The "
          "seat of an entry that stopped without releasing it stays unused "
          "for 24 hours, unless you free it here.</p><p class=\"bad\">Free a "
          "seat only if the platform team confirmed that its instance is "
          "destroyed. If the instance still runs, the caps can be exceeded."
          "</p>\n"
       << seatsTable(Entry.Seats(), Guard.tokenField(Visit.Operator));
  return makePage("Seats", Body);
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
                       const std::string &Place) {
  html Text;
  for (const base::finding &Finding : Findings)
    if (Finding.Place == Place)
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
                                  Finding.Place) == Fields.end();
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
  Conflict.By = Document->SubmittedBy;
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
    const std::size_t Slash = Finding.Place.rfind('/');
    if (Finding.Place.rfind("/drains/", 0) == 0)
      Finding.Place =
          Finding.Place.substr(Slash) == "/start" ? "/start" : "/scope";
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

/// Chooses the start of a drain anew, as of now.
static void restartDrain(previewed_change &Change,
                         const config::document &Current, base::wall_time Now) {
  const drain_request &Request = *Change.StartsOnSubmit;
  auto &Drains = Change.Document.Drains;
  Drains.erase(std::remove_if(Drains.begin(), Drains.end(),
                              [&Request](const config::drain &Drain) {
                                return Drain.Scope == Request.Scope &&
                                       Drain.Name == Request.Name;
                              }),
               Drains.end());
  if (const config::drain *Old =
          findDrain(Current, Request.Scope, Request.Name))
    Drains.push_back(*Old);
  putDrain(Change.Document, Request, Now);
}

page console::impl::submit(const visit &Visit) {
  auto Change = Guard.readChange(Visit.values(), Visit.Operator);
  if (!Change) {
    SKYLARKDYKE_LOG(WARNING, FormRejected)
        << "a change that was not previewed, by " << Visit.Operator.str();
    return errorPage(problem_code::NotPreviewed,
                     "This change was not previewed here, or the entry was "
                     "restarted since. Nothing was submitted. Open the form "
                     "again and preview your change.");
  }
  const auto Current = current();
  if (Change->StartsOnSubmit && Current && Current->Version == Change->Version)
    restartDrain(*Change, *Current, Entry.WallNow());
  return resultPage(
      Visit, *Change,
      submitChange(Entry, Change->Document, Change->Version, Visit.Operator));
}

namespace {

/// Renders how a submission ended.
struct result_renderer {
  page operator()(const store::accepted &Result) const {
    html Body;
    Body << "<p class=\"good\"><b>Accepted</b> as version " << Result.Version
         << ".</p>\n"
         << inForceBody(Entry.Members(), Result.Version);
    page Page = makePage("Accepted", Body);
    Page.RefreshPath =
        "/console/in-force?version=" + std::to_string(Result.Version);
    return Page;
  }

  page operator()(const store::refused_document &Result) const {
    html Body;
    Body << "<p class=\"bad\"><b>Refused.</b> Nothing was changed.</p>\n<p>"
            "<b>What to do:</b> open the form again, correct these fields and "
            "preview your change.</p>\n"
         << refusedTable(Change.Document, Result.Findings);
    return makePage("Refused", Body, statusOf(problem_code::DocumentRefused));
  }

  page operator()(const store::conflict &Result) const {
    return makePage("Another change came first", conflictBody(Result),
                    statusOf(problem_code::VersionConflict));
  }

  page operator()(const store::unknown_submission &Result) const {
    const std::string Follow = "/console/submission?id=" + Result.SubmissionId +
                               "&base=" + std::to_string(Change.Version);
    html Body;
    Body
        << "<p class=\"wait\"><b>The result is not known.</b> The store did "
           "not confirm your change ("
        << Result.Reason
        << "). It may be in force now, later or never.</p>\n<p><b>What happens "
           "next:</b> <a href=\""
        << Follow
        << "\">this page</a> follows your change until it is decided, and is "
           "loaded by itself. Do not submit the change again before.</p>\n";
    page Page = makePage("Result not known yet", Body, 202);
    Page.RefreshPath = Follow;
    return Page;
  }

  page operator()(const store::unavailable &Result) const {
    html Body;
    Body << "<p class=\"bad\"><b>Not submitted.</b> Nothing was changed, and "
            "traffic goes on with the configuration in force. Reason: "
         << Result.Reason
         << "</p>\n<p><b>What to do:</b> wait a minute and use the button. If "
            "it fails again, call the platform team.</p>\n"
            "<form method=\"post\" action=\"/console/submit\">"
         << Fields
         << "<p><button>Submit this change again</button></p></form>\n";
    return makePage("Not submitted", Body,
                    statusOf(problem_code::StoreUnavailable));
  }

  const dependencies &Entry;
  const previewed_change &Change;
  const html &Fields;
};

} // namespace

page console::impl::resultPage(const visit &Visit,
                               const previewed_change &Change,
                               const store::submit_result &Result) {
  const html Fields = Guard.changeFields(Change, Visit.Operator);
  return std::visit(result_renderer{Entry, Change, Fields}, Result);
}

page console::impl::release(const visit &Visit) {
  const auto Fingerprint = parseHex(valueOf(Visit.values(), "fingerprint"));
  if (!Fingerprint || !releaseBlock(Entry, *Fingerprint, Visit.Operator))
    return errorPage(problem_code::NotBlocked,
                     "This request is not blocked here any more; the block may "
                     "have ended by itself.");
  page Page = blocked(Visit);
  html Body;
  Page.Body = Body << "<p class=\"good\">Released at this entry.</p>\n"
                   << Page.Body;
  return Page;
}

namespace {

/// Renders how the confirmation of a destroyed instance ended.
struct seat_renderer {
  html operator()(const store::written &) const {
    html Text;
    return Text << "<p class=\"good\"><b>Freed.</b> Another entry can take "
                   "this seat now.</p>\n";
  }
  html operator()(const store::refused &) const {
    html Text;
    return Text << "<p class=\"bad\"><b>Nothing was changed.</b> The seat is "
                   "not held by that instance any more. Look at the table."
                   "</p>\n";
  }
  html operator()(const store::unavailable &Result) const {
    html Text;
    return Text << "<p class=\"bad\"><b>Nothing was changed.</b> The store "
                   "does not answer: "
                << Result.Reason << "</p>\n";
  }
  html operator()(const store::unknown_effect &Result) const {
    html Text;
    return Text << "<p class=\"wait\"><b>The result is not known</b> ("
                << Result.Reason
                << "). Load the page Seats in a minute. If the seat is still "
                   "held by the same instance, free it again.</p>\n";
  }
};

struct seat_status_code {
  int operator()(const store::written &) const { return 200; }
  int operator()(const store::refused &) const { return 409; }
  int operator()(const store::unavailable &) const { return 503; }
  int operator()(const store::unknown_effect &) const { return 202; }
};

} // namespace

page console::impl::destroyed(const visit &Visit) {
  const auto Seat = parseVersion(valueOf(Visit.values(), "seat"));
  const auto Holder = parseHex(valueOf(Visit.values(), "incarnation"));
  if (!Seat || *Seat > UINT32_MAX || !Holder)
    return errorPage(problem_code::BodyInvalid,
                     "The form names no seat. Open the page Seats again.");
  if (valueOf(Visit.values(), "sure") != "yes")
    return errorPage(problem_code::BodyInvalid,
                     "Nothing was changed. Tick the box to confirm that the "
                     "instance is destroyed.");
  const store::write_result Result =
      confirmSeat(Entry, static_cast<unsigned>(*Seat),
                  base::incarnation_id{*Holder}, Visit.Operator);
  page Page = seats(Visit);
  Page.Status = std::visit(seat_status_code(), Result);
  Page.Body = std::visit(seat_renderer(), Result) << Page.Body;
  return Page;
}

static const form *findForm(const std::string &Path) {
  for (const form &Form : documentForms())
    if (Path == "/console/" + Form.Name)
      return &Form;
  return nullptr;
}

static page notFound() {
  return errorPage(problem_code::NoSuchResource,
                   "There is no such page. Use the links above.");
}

page console::impl::get(const visit &Visit) {
  static const std::map<std::string, page_handler> Pages = {
      {"/", &impl::overview},
      {"/console", &impl::overview},
      {"/console/", &impl::overview},
      {"/console/headroom", &impl::headroomPage},
      {"/console/in-force", &impl::inForce},
      {"/console/submission", &impl::submission},
      {"/console/drain", &impl::drainForm},
      {"/console/document", &impl::documentForm},
      {"/console/poisoned", &impl::blocked},
      {"/console/seats", &impl::seats},
  };
  if (const form *Form = findForm(Visit.Request.Path)) {
    const auto Document = current();
    return Document ? formPage(Visit, *Form, *Document, {}) : noDocumentPage();
  }
  const auto Found = Pages.find(Visit.Request.Path);
  return Found == Pages.end() ? notFound() : (this->*Found->second)(Visit);
}

page console::impl::post(const visit &Visit) {
  static const std::map<std::string, page_handler> Pages = {
      {"/console/drain", &impl::postDrain},
      {"/console/document", &impl::postDocument},
      {"/console/submit", &impl::submit},
      {"/console/poisoned/release", &impl::release},
      {"/console/seats/destroyed", &impl::destroyed},
  };
  const std::string &Path = Visit.Request.Path;
  const form *Form = findForm(Path);
  const auto Found = Pages.find(Path);
  if (Form == nullptr && Found == Pages.end())
    return notFound();
  const bool IsLarge = Form != nullptr || Path == "/console/document" ||
                       Path == "/console/submit";
  if (Visit.Request.Message.Body.size() >
      (IsLarge ? MaxFormBytes : MaxSmallFormBytes))
    return errorPage(problem_code::BodyTooLarge, "The form is too large.");
  if (!Guard.hasToken(Visit.values(), Visit.Operator)) {
    SKYLARKDYKE_LOG(WARNING, FormRejected)
        << Path << " without the token of " << Visit.Operator.str();
    return errorPage(problem_code::FormExpired,
                     "Nothing was changed. This form was not made by this "
                     "entry for you, or the entry was restarted since. Open "
                     "the form again.");
  }
  return Form != nullptr ? postForm(Visit, *Form)
                         : (this->*Found->second)(Visit);
}

console::console(const dependencies &Entry)
    : Impl(std::make_unique<impl>(Entry)) {}

console::~console() = default;

http::response console::handle(const http::server_request &Request,
                               const base::operator_name &Operator) {
  const visit Visit{Request, Operator};
  const std::string &Method = Request.Message.Method;
  page Page;
  if (Method == "GET" || Method == "HEAD")
    Page = Impl->get(Visit);
  else if (Method == "POST")
    Page = Impl->post(Visit);
  else
    Page = errorPage(problem_code::MethodNotAllowed,
                     "Pages take GET, forms take POST.");
  Page.Operator = Operator.str();
  return render(Page);
}

} // namespace skylarkdyke::operators
