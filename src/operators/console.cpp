#include "operators/detail/console_impl.hpp"

#include "skylarkdyke/base/event.hpp"

#include <nlohmann/json.hpp>

namespace skylarkdyke::operators {

using namespace detail;
using nlohmann::json;

namespace detail {

page makePage(std::string Title, html Body, int Status) {
  page Page;
  Page.Status = Status;
  Page.Title = std::move(Title);
  Page.Body = std::move(Body);
  return Page;
}

page errorPage(problem_code Code, const std::string &Detail) {
  html Body;
  Body << "<p class=\"bad\">" << Detail << "</p><p>Error " << number(Code)
       << "</p>\n";
  return makePage(titleOf(Code), Body, statusOf(Code));
}

page noDocumentPage() {
  return errorPage(problem_code::NoConfiguration,
                   "This entry has no configuration in force. If the "
                   "deployment is new, submit the first document under Whole "
                   "document.");
}

} // namespace detail

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
