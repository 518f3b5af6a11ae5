#include "operators/detail/console_impl.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkdyke::operators {

using namespace detail;
using nlohmann::json;

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

} // namespace skylarkdyke::operators
