#include "skylarkdyke/callers/caller_service.hpp"

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/http/client.hpp"

#include <atomic>
#include <nlohmann/json.hpp>

namespace skylarkdyke::callers {

using nlohmann::json;

struct caller_service::impl {
  impl(settings::entry_settings Settings, const config::holder &Config)
      : Settings(std::move(Settings)), Config(Config) {}

  http::response lookup(const http::server_request &Request,
                        const config::document &Document) const;
  http::response forward(const http::server_request &Request,
                         const config::document &Document);

  settings::entry_settings Settings;
  const config::holder &Config;
  std::atomic<std::uint64_t> Attempts{0};
};

static http::response problem(int Status, const char *Outcome,
                              const std::string &Detail) {
  http::response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "application/problem+json";
  Response.Headers["Request-Outcome"] = Outcome;
  Response.Body = json{{"status", Status}, {"detail", Detail}}.dump();
  return Response;
}

http::response
caller_service::impl::lookup(const http::server_request &Request,
                             const config::document &Document) const {
  const auto Service = Request.Parameters.find("service");
  if (Service == Request.Parameters.end())
    return problem(400, "not-run", "parameter 'service' is missing");
  const auto Expiry = std::chrono::system_clock::now() + Document.LookupTtl;
  http::response Response;
  Response.Headers["Content-Type"] = "application/json";
  Response.Body = json{{"service", Service->second},
                       {"entries",
                        {{{"address", base::toString(Settings.CallerAddress)},
                          {"region", Settings.Region.str()}}}},
                       {"expires_at", config::formatTime(Expiry)}}
                      .dump();
  return Response;
}

static constexpr std::string_view ForwardPath = "/s/";

http::response
caller_service::impl::forward(const http::server_request &Request,
                              const config::document &Document) {
  const std::string &Path = Request.Message.Target;
  const std::size_t End = Path.find('/', ForwardPath.size());
  const base::service_name Service(
      Path.substr(ForwardPath.size(), End - ForwardPath.size()));
  std::vector<const config::target *> Candidates;
  for (const config::target &Target : Document.Targets)
    if (Target.Service == Service)
      Candidates.push_back(&Target);
  if (Candidates.empty())
    return problem(404, "not-run",
                   "service '" + Service.str() + "' has no target");
  const std::uint64_t Attempt = ++Attempts;
  const config::target &Chosen = *Candidates[Attempt % Candidates.size()];
  http::request Outgoing = Request.Message;
  Outgoing.Target = End == std::string::npos ? "/" : Path.substr(End);
  Outgoing.Headers["Request-Id"] = std::to_string(Attempt);
  auto Answer = http::fetch(Chosen.Address, Outgoing,
                            {base::boot_clock::now() + std::chrono::seconds(2),
                             std::size_t{1024} * 1024, Request.Socket});
  if (!Answer)
    return problem(502, Answer.error().NothingSent ? "not-run" : "unknown",
                   std::string("target failed: ") +
                       http::toString(Answer.error().Fault));
  http::response Response = Answer.value();
  Response.Headers.erase("Transfer-Encoding");
  Response.Headers.erase("Content-Length");
  Response.Headers.erase("Connection");
  Response.Headers.emplace("Request-Outcome", "completed");
  return Response;
}

caller_service::caller_service(settings::entry_settings Settings,
                               const config::holder &Config)
    : Impl(std::make_unique<impl>(std::move(Settings), Config)) {}

caller_service::~caller_service() = default;

http::response caller_service::handle(const http::server_request &Request) {
  const auto Document = Impl->Config.current();
  if (Request.Path == "/live")
    return http::response();
  if (!Document)
    return problem(503, "not-run", "no configuration is in force yet");
  if (Request.Path == "/ready")
    return http::response();
  if (Request.Path == "/v1/lookup")
    return Impl->lookup(Request, *Document);
  if (Request.Message.Target.rfind(ForwardPath, 0) == 0)
    return Impl->forward(Request, *Document);
  return problem(404, "not-run", "no such resource");
}

} // namespace skylarkdyke::callers
