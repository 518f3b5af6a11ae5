#include "callers/detail/request_context.hpp"

#include "skylarkdyke/poison/crash_register.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace skylarkdyke::callers::detail {

using once::outcome;

static constexpr std::array<std::string_view, 4> SafeMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE"};
static constexpr std::array<std::string_view, 4> KeyedMethods = {
    "POST", "PUT", "PATCH", "DELETE"};
/// Latest accepted deadline, in Unix milliseconds (year 5138). Later ones could
/// overflow the clock.
static constexpr std::int64_t MaxDeadlineMillis = 100'000'000'000'000;

template <typename Methods>
static bool contains(const Methods &List, const std::string &Method) {
  return std::find(List.begin(), List.end(), Method) != List.end();
}

template <typename Number>
static std::optional<Number> parseNumber(const std::string &Text, int Base) {
  Number Value{};
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Failure] =
      std::from_chars(Text.data(), End, Value, Base);
  if (Failure != std::errc() || ParsedEnd != End)
    return std::nullopt;
  return Value;
}

void request_context::limitDeadline(base::wall_time Latest) {
  if (Latest >= WallDeadline)
    return;
  WallDeadline = Latest;
  Deadline = std::min(Deadline, base::toBootTime(Latest));
}

/// Splits "/s/<service>/<path>?<query>" into the service and the target path.
static void parsePath(const std::string &Path, request_context &Context) {
  const std::size_t End = Path.find_first_of("/?", ForwardPath.size());
  Context.Service = base::service_name(
      Path.substr(ForwardPath.size(), End - ForwardPath.size()));
  Context.TargetPath = End == std::string::npos ? "/" : Path.substr(End);
  if (Context.TargetPath.front() == '?')
    Context.TargetPath.insert(0, "/");
}

static std::optional<answer> parseDeadline(request_context &Context) {
  const std::chrono::milliseconds DefaultTimeout =
      Context.Settings ? Context.Settings->DefaultTimeout
                       : config::service().DefaultTimeout;
  Context.Deadline = Context.ArrivedAt + DefaultTimeout;
  Context.WallDeadline = std::chrono::system_clock::now() + DefaultTimeout;
  const auto Text =
      http::findHeader(Context.Request->Message.Headers, "Request-Deadline");
  if (!Text)
    return std::nullopt;
  const auto Milliseconds = parseNumber<std::int64_t>(*Text, 10);
  if (!Milliseconds || *Milliseconds <= 0 || *Milliseconds > MaxDeadlineMillis)
    return problem(problem_code::DeadlineInvalid, outcome::NotRun,
                   "Request-Deadline must be a Unix time in milliseconds");
  Context.limitDeadline(
      base::wall_time(std::chrono::milliseconds(*Milliseconds)));
  return std::nullopt;
}

static std::optional<answer> parseMethodAndKey(request_context &Context) {
  const http::request &Message = Context.Request->Message;
  Context.IsSafe = contains(SafeMethods, Message.Method);
  if (Context.IsSafe)
    return std::nullopt;
  if (!contains(KeyedMethods, Message.Method))
    return problem(problem_code::MethodUnknown, outcome::NotRun,
                   "method '" + Message.Method + "' is not forwarded");
  const auto Text = http::findHeader(Message.Headers, "Idempotency-Key");
  if (!Text)
    return problem(problem_code::KeyMissing, outcome::NotRun,
                   Message.Method + " requires the header Idempotency-Key");
  Context.Key = once::parseKey(*Text);
  if (!Context.Key)
    return problem(problem_code::KeyInvalid, outcome::NotRun,
                   "the key must be a key_prefix from a lookup, a dot and a "
                   "text of the caller, at most " +
                       std::to_string(once::MaxKeyBytes) + " bytes");
  return std::nullopt;
}

base::result<request_context, answer>
parseRequest(const http::server_request &Request,
             const config::document &Document) {
  const http::request &Message = Request.Message;
  request_context Context;
  Context.Request = &Request;
  Context.ArrivedAt = base::boot_clock::now();
  parsePath(Message.Target, Context);
  const auto Service =
      std::find_if(Document.Services.begin(), Document.Services.end(),
                   [&](const config::service &Candidate) {
                     return Candidate.Name == Context.Service;
                   });
  if (Service != Document.Services.end())
    Context.Settings = *Service;
  if (auto Refused = parseMethodAndKey(Context))
    return std::move(*Refused);
  if (auto Refused = parseDeadline(Context))
    return std::move(*Refused);
  Context.Fingerprint = poison::fingerprintOf(Context.Service, Message.Method,
                                              Context.TargetPath, Message.Body);
  if (const auto RelayingEntry =
          http::findHeader(Message.Headers, "Relayed-By"))
    // An invalid incarnation still marks the request as relayed, so that it is
    // not relayed again.
    Context.RelayedBy = base::incarnation_id{
        parseNumber<std::uint64_t>(*RelayingEntry, 16).value_or(0)};
  return Context;
}

std::string formatDeadline(base::wall_time Deadline) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            Deadline.time_since_epoch())
                            .count());
}

} // namespace skylarkdyke::callers::detail
