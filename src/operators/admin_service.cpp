#include "skylarkdyke/operators/admin_service.hpp"

#include "operators/detail/actions.hpp"
#include "operators/detail/config_api.hpp"
#include "operators/detail/problem.hpp"
#include "operators/detail/status.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/operators/authenticator.hpp"
#include "skylarkdyke/operators/console.hpp"

#include <algorithm>
#include <charconv>

namespace skylarkdyke::operators {

using detail::jsonResponse;
using detail::problem;
using nlohmann::json;

http::server_limits adminServerLimits() {
  http::server_limits Limits;
  // A few operators, scrapers of metrics and scripts.
  Limits.MaxConnections = 64;
  Limits.MaxBodyBytes = MaxFormBytes;
  return Limits;
}

struct admin_service::impl {
  using handler = http::response (impl::*)(const http::server_request &,
                                           const base::operator_name &);

  /// One resource of the API with the handler of each method.
  struct route {
    /// Parts of the path; "*" stands for any one.
    std::vector<std::string> Parts;
    std::map<std::string, handler> Methods;
  };

  impl(dependencies Given, std::vector<settings::operator_settings> Operators)
      : Entry(std::move(Given)), Authenticator(std::move(Operators)),
        Pages(Entry), Routes(makeRoutes()) {}

  static std::vector<route> makeRoutes();

  http::response serve(const http::server_request &Request,
                       const base::operator_name &Operator);
  http::response dispatch(const route &Route,
                          const http::server_request &Request,
                          const base::operator_name &Operator);

  http::response config(const http::server_request &,
                        const base::operator_name &) {
    return detail::getConfig(Entry);
  }
  http::response submit(const http::server_request &Request,
                        const base::operator_name &Operator) {
    return detail::putConfig(Entry, Request, Operator);
  }
  http::response preview(const http::server_request &Request,
                         const base::operator_name &Operator) {
    return detail::previewConfig(Entry, Request, Operator);
  }
  http::response drain(const http::server_request &Request,
                       const base::operator_name &Operator) {
    return detail::postDrain(Entry, Request, Operator);
  }
  http::response status(const http::server_request &,
                        const base::operator_name &) {
    return jsonResponse(200, detail::toJson(detail::readStatus(Entry)));
  }
  http::response poisoned(const http::server_request &,
                          const base::operator_name &);
  http::response release(const http::server_request &Request,
                         const base::operator_name &Operator);
  http::response seats(const http::server_request &,
                       const base::operator_name &);
  http::response destroyed(const http::server_request &Request,
                           const base::operator_name &Operator);
  http::response metrics(const http::server_request &,
                         const base::operator_name &);

  dependencies Entry;
  authenticator Authenticator;
  console Pages;
  std::vector<route> Routes;
};

static std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::size_t Begin = 0;
  while (Begin < Path.size()) {
    const std::size_t End = std::min(Path.find('/', Begin), Path.size());
    if (End > Begin)
      Parts.push_back(Path.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

std::vector<admin_service::impl::route> admin_service::impl::makeRoutes() {
  return {
      {{"admin", "v1", "config"},
       {{"GET", &impl::config}, {"PUT", &impl::submit}}},
      {{"admin", "v1", "config", "preview"}, {{"POST", &impl::preview}}},
      {{"admin", "v1", "status"}, {{"GET", &impl::status}}},
      {{"admin", "v1", "drains"}, {{"POST", &impl::drain}}},
      {{"admin", "v1", "poisoned"}, {{"GET", &impl::poisoned}}},
      {{"admin", "v1", "poisoned", "*", "release"}, {{"POST", &impl::release}}},
      {{"admin", "v1", "seats"}, {{"GET", &impl::seats}}},
      {{"admin", "v1", "seats", "*", "destroyed"},
       {{"POST", &impl::destroyed}}},
      {{"metrics"}, {{"GET", &impl::metrics}}},
  };
}

static bool matches(const std::vector<std::string> &Pattern,
                    const std::vector<std::string> &Parts) {
  return std::equal(Pattern.begin(), Pattern.end(), Parts.begin(), Parts.end(),
                    [](const std::string &Expected, const std::string &Part) {
                      return Expected == "*" || Expected == Part;
                    });
}

/// Tells whether a body is declared as JSON, with or without parameters.
static bool isJson(const http::request &Message) {
  const auto Type = http::findHeader(Message.Headers, "Content-Type");
  return Type && Type->substr(0, Type->find(';')) == "application/json";
}

http::response
admin_service::impl::dispatch(const route &Route,
                              const http::server_request &Request,
                              const base::operator_name &Operator) {
  const std::string &Method = Request.Message.Method;
  const auto Found = Route.Methods.find(Method == "HEAD" ? "GET" : Method);
  if (Found == Route.Methods.end()) {
    std::string Allowed;
    for (const auto &[Name, Unused] : Route.Methods)
      Allowed += (Allowed.empty() ? "" : ", ") + Name;
    http::response Response = problem(problem_code::MethodNotAllowed,
                                      "this resource takes " + Allowed);
    Response.Headers["Allow"] = Allowed;
    return Response;
  }
  if (Found->first != "GET" && !isJson(Request.Message))
    return problem(problem_code::MediaTypeInvalid,
                   "send the header Content-Type: application/json, also "
                   "without a body");
  return (this->*Found->second)(Request, Operator);
}

http::response admin_service::impl::serve(const http::server_request &Request,
                                          const base::operator_name &Operator) {
  const std::vector<std::string> Parts = splitPath(Request.Path);
  if (Parts.empty() || Parts.front() == "console")
    return Pages.handle(Request, Operator);
  for (const route &Route : Routes)
    if (matches(Route.Parts, Parts))
      return dispatch(Route, Request, Operator);
  return problem(problem_code::NoSuchResource,
                 "use /console, /admin/v1/config, /admin/v1/status, "
                 "/admin/v1/drains, /admin/v1/poisoned, /admin/v1/seats or "
                 "/metrics");
}

http::response admin_service::impl::poisoned(const http::server_request &,
                                             const base::operator_name &) {
  json List = json::array();
  for (const poison::blocked_request &Blocked : Entry.Blocked())
    List.push_back({{"fingerprint", poison::toString(Blocked.Fingerprint)},
                    {"service", Blocked.Service.str()},
                    {"request", Blocked.Summary},
                    {"crashes", Blocked.Crashes},
                    {"blocked_until", config::formatTime(base::toWallTime(
                                          Blocked.BlockedUntil))}});
  return jsonResponse(200, List);
}

http::response
admin_service::impl::release(const http::server_request &Request,
                             const base::operator_name &Operator) {
  const auto Fingerprint = detail::parseHex(splitPath(Request.Path)[3]);
  if (!Fingerprint || !detail::releaseBlock(Entry, *Fingerprint, Operator))
    return problem(problem_code::NotBlocked,
                   "there is no block with this fingerprint at this entry; it "
                   "may have ended by itself");
  return jsonResponse(200, {{"result", "released"}});
}

static json seatJson(const seat_status &Seat) {
  json Item = {{"seat", Seat.Seat}};
  if (const auto *Failure = std::get_if<store::unavailable>(&Seat.Record)) {
    Item["state"] = "unknown";
    Item["reason"] = Failure->Reason;
  } else if (const auto *Record =
                 std::get_if<store::seat_record>(&Seat.Record)) {
    Item["state"] = detail::toString(Record->State);
    Item["entry"] = Record->Entry.str();
    Item["incarnation"] = base::toString(Record->Incarnation);
    Item["renewals"] = Record->Renewals;
    if (!Record->ReleasedBy.empty())
      Item["released_by"] = Record->ReleasedBy.str();
  } else {
    Item["state"] = "never used";
  }
  return Item;
}

http::response admin_service::impl::seats(const http::server_request &,
                                          const base::operator_name &) {
  json List = json::array();
  for (const seat_status &Seat : Entry.Seats())
    List.push_back(seatJson(Seat));
  return jsonResponse(200, List);
}

namespace {

/// Answers the confirmation of a destroyed instance.
struct seat_response {
  http::response operator()(const store::written &) const {
    return jsonResponse(200, {{"result", "freed"}});
  }
  http::response operator()(const store::refused &) const {
    return problem(problem_code::SeatChanged,
                   "nothing was changed; read the seats again, because this "
                   "one is not held by that incarnation any more");
  }
  http::response operator()(const store::unavailable &Result) const {
    return problem(problem_code::StoreUnavailable,
                   "nothing was changed: " + Result.Reason);
  }
  http::response operator()(const store::unknown_effect &Result) const {
    return jsonResponse(
        202,
        {{"result", "unknown"},
         {"reason", Result.Reason},
         {"explanation", "the store did not confirm the change; read the "
                         "seats again, and repeat if the seat is still held "
                         "by the same incarnation"}});
  }
};

} // namespace

http::response
admin_service::impl::destroyed(const http::server_request &Request,
                               const base::operator_name &Operator) {
  const std::string Number = splitPath(Request.Path)[3];
  unsigned Seat = 0;
  const char *End = Number.data() + Number.size();
  const auto [Rest, Failure] = std::from_chars(Number.data(), End, Seat);
  if (Failure != std::errc() || Rest != End)
    return problem(problem_code::NoSuchResource, "the seat is not a number");
  const json Body = json::parse(Request.Message.Body, nullptr, false);
  const auto Holder =
      Body.is_object() && Body.contains("incarnation") &&
              Body["incarnation"].is_string()
          ? detail::parseHex(Body["incarnation"].get<std::string>())
          : std::nullopt;
  if (!Holder)
    return problem(problem_code::BodyInvalid,
                   "send {\"incarnation\": \"...\"} with the incarnation that "
                   "GET /admin/v1/seats shows for the seat");
  return std::visit(seat_response(),
                    detail::confirmSeat(
                        Entry, Seat, base::incarnation_id{*Holder}, Operator));
}

http::response admin_service::impl::metrics(const http::server_request &,
                                            const base::operator_name &) {
  http::response Response;
  Response.Headers["Content-Type"] = "text/plain; version=0.0.4; charset=utf-8";
  Response.Headers["Cache-Control"] = "no-store";
  Response.Body = Entry.Metrics() +
                  "# HELP skylarkdyke_operator_denied_total Failed attempts "
                  "to authenticate as an operator.\n"
                  "# TYPE skylarkdyke_operator_denied_total counter\n"
                  "skylarkdyke_operator_denied_total " +
                  std::to_string(Authenticator.failures()) + "\n";
  return Response;
}

admin_service::admin_service(dependencies Entry,
                             std::vector<settings::operator_settings> Operators)
    : Impl(std::make_unique<impl>(std::move(Entry), std::move(Operators))) {}

admin_service::~admin_service() = default;

http::response admin_service::handle(const http::server_request &Request) {
  if (!Impl->Authenticator.hasOperators())
    return problem(problem_code::NoOperators,
                   "the settings of this entry list no operator; add an "
                   "[[operators]] table and restart it");
  const authentication Result =
      Impl->Authenticator.check(Request.User, Request.Password,
                                Request.Client.Address, Impl->Entry.BootNow());
  if (const auto *Known = std::get_if<authenticated>(&Result))
    return Impl->serve(Request, Known->Operator);
  if (const auto *Slowed = std::get_if<slowed>(&Result)) {
    const std::string Wait = std::to_string(Slowed->RetryAfter.count());
    http::response Response =
        problem(problem_code::TooManyAttempts,
                "too many wrong names or tokens came from this address; wait " +
                    Wait + " s and try again");
    Response.Headers["Retry-After"] = Wait;
    return Response;
  }
  http::response Response =
      problem(problem_code::NotAuthenticated,
              "give the name and the token of an operator");
  Response.Headers["WWW-Authenticate"] =
      "Basic realm=\"skylarkdyke\", charset=\"UTF-8\"";
  return Response;
}

} // namespace skylarkdyke::operators
