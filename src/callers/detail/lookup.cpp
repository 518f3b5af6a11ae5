#include "callers/detail/lookup.hpp"

#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/entries/witness_service.hpp"
#include "skylarkdyke/once/key.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkdyke::callers::detail {

using nlohmann::json;
using once::outcome;

/// Time for which a key is valid after its lookup answer has expired. A caller
/// may send a request just before the expiry and repeat it after a lost answer.
static constexpr std::chrono::seconds KeyValidityAfterLookup{30};

static std::string ownKeyPrefix(const snapshot &Snapshot,
                                base::wall_time LookupExpiry) {
  const auto Expiry =
      std::chrono::floor<std::chrono::seconds>(std::min<base::wall_time>(
          LookupExpiry + KeyValidityAfterLookup,
          std::chrono::system_clock::now() + once::MaxKeyLifetime));
  const auto Witness =
      entries::chooseWitness(Snapshot.Self, Snapshot.Members, {});
  return once::toString({Snapshot.Self.Incarnation, Expiry,
                         Witness.value_or(base::incarnation_id())});
}

/// Returns the region of the address in the parameter "client", or of the
/// sender if there is no such parameter. Addresses outside all client blocks
/// get the region of this entry. Returns nothing if the parameter is not an
/// IPv4 address.
static std::optional<base::region_name>
clientRegion(const http::server_request &Request, const snapshot &Snapshot) {
  const auto Parameter = Request.Parameters.find("client");
  const bool HasParameter = Parameter != Request.Parameters.end();
  const std::string &Text =
      HasParameter ? Parameter->second : Request.Client.Address;
  const auto Address = steering::parseAddress(Text);
  if (!Address)
    return HasParameter ? std::nullopt : std::optional(Snapshot.Self.Region);
  const base::region_name *Found = Snapshot.Tables->Blocks.find(*Address);
  return Found != nullptr ? *Found : Snapshot.Self.Region;
}

static lookup_answer refuse(problem_code Code, const std::string &Detail) {
  return {problem(Code, outcome::NotRun, Detail), std::nullopt};
}

lookup_answer lookUp(const http::server_request &Request,
                     const snapshot &Snapshot) {
  const auto ServiceParameter = Request.Parameters.find("service");
  if (ServiceParameter == Request.Parameters.end() ||
      ServiceParameter->second.empty())
    return refuse(problem_code::ServiceMissing,
                  "parameter 'service' is missing");
  const base::service_name Service(ServiceParameter->second);
  const auto &Services = Snapshot.document().Services;
  if (std::none_of(Services.begin(), Services.end(),
                   [&](const config::service &Candidate) {
                     return Candidate.Name == Service;
                   }))
    return refuse(problem_code::ServiceUnknown,
                  "there is no service '" + Service.str() + "'");
  const auto Region = clientRegion(Request, Snapshot);
  if (!Region)
    return refuse(problem_code::ClientAddressInvalid,
                  "parameter 'client' must be an IPv4 address");
  const base::wall_time Expiry =
      std::chrono::system_clock::now() + Snapshot.document().LookupTtl;
  lookup_answer Result{{outcome::Completed, {}}, std::nullopt};
  json Entries = json::array();
  for (const entries::member *Member :
       Snapshot.Order.entriesFor(Service, *Region)) {
    json Entry = {{"address", base::toString(Member->CallerAddress)},
                  {"region", Member->Region.str()}};
    if (Member->Incarnation == Snapshot.Self.Incarnation) {
      Entry["key_prefix"] = ownKeyPrefix(Snapshot, Expiry);
      Result.AdvertisedUntil = Expiry;
    }
    Entries.push_back(std::move(Entry));
  }
  http::response &Response = Result.Answer.Response;
  Response.Headers["Content-Type"] = "application/json";
  Response.Body = json{{"service", Service.str()},
                       {"entries", std::move(Entries)},
                       {"expires_at", config::formatTime(Expiry)}}
                      .dump();
  return Result;
}

} // namespace skylarkdyke::callers::detail
