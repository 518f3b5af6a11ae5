#include "operators/detail/config_api.hpp"

#include "operators/detail/change.hpp"
#include "operators/detail/preview_json.hpp"
#include "operators/detail/problem.hpp"
#include "operators/detail/status.hpp"
#include "skylarkdyke/config/codec.hpp"

#include <charconv>

namespace skylarkdyke::operators::detail {

using nlohmann::json;

static std::string etagOf(std::uint64_t Version) {
  return '"' + std::to_string(Version) + '"';
}

static http::response noConfiguration() {
  return problem(problem_code::NoConfiguration,
                 "no document has been submitted, or this entry has not "
                 "received it yet; create the first one with PUT and the "
                 "header If-None-Match: *");
}

http::response getConfig(const dependencies &Entry) {
  const auto Document = Entry.Document();
  if (!Document)
    return noConfiguration();
  http::response Response =
      jsonResponse(200, json::parse(config::encode(*Document)));
  Response.Headers["ETag"] = etagOf(Document->Version);
  return Response;
}

namespace {

/// Version that a request expects, or why it cannot be told.
struct expected_version {
  std::uint64_t Version = 0;
  std::optional<http::response> Problem;
};

} // namespace

static expected_version parseEtag(const std::string &Text) {
  expected_version Expected;
  const char *Begin = Text.data() + 1;
  const char *End = Text.data() + Text.size() - 1;
  if (Text.size() >= 3 && Text.front() == '"' && Text.back() == '"') {
    const auto [Rest, Failure] = std::from_chars(Begin, End, Expected.Version);
    if (Failure == std::errc() && Rest == End)
      return Expected;
  }
  Expected.Problem =
      problem(problem_code::VersionInvalid,
              "If-Match must hold the ETag of GET /admin/v1/config, such as "
              "\"7\" with the quotes");
  return Expected;
}

static expected_version expectedVersion(const http::header_map &Headers) {
  if (const auto IfMatch = http::findHeader(Headers, "If-Match"))
    return parseEtag(*IfMatch);
  if (http::findHeader(Headers, "If-None-Match") == "*")
    return {};
  expected_version Expected;
  Expected.Problem =
      problem(problem_code::VersionRequired,
              "send the header If-Match with the ETag of the document that you "
              "edited, so that no other change is overwritten");
  return Expected;
}

static http::response refusal(const base::findings &Findings) {
  return problem(problem_code::DocumentRefused,
                 "nothing was changed; correct all findings and submit again",
                 {{"findings", toJson(Findings)}});
}

namespace {

/// Answers a submission.
struct result_response {
  http::response operator()(const store::accepted &Result) const {
    const auto Members = Entry.Members();
    http::response Response = jsonResponse(
        200, {{"result", "accepted"},
              {"version", Result.Version},
              {"entries", Members.size()},
              {"in_force", countInForce(Members, Result.Version)}});
    Response.Headers["ETag"] = etagOf(Result.Version);
    return Response;
  }

  http::response operator()(const store::refused_document &Result) const {
    return refusal(Result.Findings);
  }

  http::response operator()(const store::conflict &Result) const {
    const std::string SubmittedBy = Result.SubmittedBy.empty()
                                        ? "another operator"
                                        : Result.SubmittedBy.str();
    return problem(
        problem_code::VersionConflict,
        "nothing was changed; " + SubmittedBy +
            " submitted another change first: read the document again and "
            "repeat your change on it",
        {{"changes", toJson(Result.Changes)},
         {"changes_since_expected_version", Result.IsBaseKnown},
         {"by", Result.SubmittedBy.str()},
         {"version", Result.Version}});
  }

  http::response operator()(const store::unknown_submission &Result) const {
    return jsonResponse(
        202,
        {{"result", "unknown"},
         {"submission_id", Result.SubmissionId},
         {"reason", Result.Reason},
         {"explanation",
          "the store did not confirm the change; it may be in force now, later "
          "or never. Do not submit it again before GET /admin/v1/config shows "
          "a higher version: the change was accepted if submission_id stands "
          "in recent_submissions there, and was not if another version came "
          "instead"}});
  }

  http::response operator()(const store::unavailable &Result) const {
    http::response Response =
        problem(problem_code::StoreUnavailable,
                "nothing was changed; traffic goes on with the configuration "
                "in force: " +
                    Result.Reason);
    Response.Headers["Retry-After"] = "5";
    return Response;
  }

  const dependencies &Entry;
};

} // namespace

http::response putConfig(const dependencies &Entry,
                         const http::server_request &Request,
                         const base::operator_name &Operator) {
  const expected_version Expected = expectedVersion(Request.Message.Headers);
  if (Expected.Problem)
    return *Expected.Problem;
  const auto Change = config::decode(Request.Message.Body);
  if (!Change)
    return refusal(Change.error());
  return std::visit(
      result_response{Entry},
      submitChange(Entry, Change.value(), Expected.Version, Operator));
}

http::response previewConfig(const dependencies &Entry,
                             const http::server_request &Request,
                             const base::operator_name &Operator) {
  const auto Change = config::decode(Request.Message.Body);
  if (!Change)
    return refusal(Change.error());
  const auto Current = Entry.Document();
  const base::findings Findings =
      checkChange(Current.get(), Change.value(), Operator, Entry.WallNow());
  if (!Findings.empty())
    return refusal(Findings);
  const config::document Base = Current ? *Current : config::document();
  json Body = toJson(config::preview(Base, Change.value(), Entry.Loads()));
  Body["version"] = Base.Version;
  Body["changes"] = toJson(config::difference(Base, Change.value()));
  http::response Response = jsonResponse(200, Body);
  Response.Headers["ETag"] = etagOf(Base.Version);
  return Response;
}

/// Reads a drain of the form {"scope","name","action"[,"start"]} by the rules
/// of the document's codec.
static base::result<drain_request, base::findings>
parseDrain(const std::string &Body) {
  const json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object())
    return base::findings{{"", "the body must be a JSON object"}};
  // Writing JSON recurses, so the depth of what a client sent is bounded first.
  for (const auto &[Key, Value] : Parsed.items())
    if (Value.is_structured())
      return base::findings{{"/" + Key, "must be a string"}};
  json Document = json::parse(config::encode(emptyDocument()));
  json Drain = Parsed;
  const bool HasStart = Parsed.contains("start");
  if (!HasStart)
    Drain["start"] = config::formatTime(base::wall_time());
  Document["drains"] = json::array({Drain});
  auto Decoded = config::decode(
      Document.dump(-1, ' ', false, json::error_handler_t::replace));
  if (!Decoded) {
    base::findings Findings = Decoded.error();
    for (base::finding &Finding : Findings)
      if (Finding.Location.rfind("/drains/0", 0) == 0)
        Finding.Location.erase(0, std::string("/drains/0").size());
    return Findings;
  }
  const config::drain &Read = Decoded.value().Drains.front();
  drain_request Request{Read.Scope, Read.Name, Read.Action, std::nullopt};
  if (HasStart)
    Request.Start = Read.Start;
  return Request;
}

http::response postDrain(const dependencies &Entry,
                         const http::server_request &Request,
                         const base::operator_name &Operator) {
  const auto Drain = parseDrain(Request.Message.Body);
  if (!Drain)
    return refusal(Drain.error());
  const auto Current = Entry.Document();
  if (!Current)
    return noConfiguration();
  std::uint64_t Version = Current->Version;
  if (http::findHeader(Request.Message.Headers, "If-Match")) {
    const expected_version Expected = expectedVersion(Request.Message.Headers);
    if (Expected.Problem)
      return *Expected.Problem;
    Version = Expected.Version;
  }
  config::document Change = *Current;
  putDrain(Change, Drain.value(), Entry.WallNow());
  return std::visit(result_response{Entry},
                    submitChange(Entry, Change, Version, Operator));
}

} // namespace skylarkdyke::operators::detail
