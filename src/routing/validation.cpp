#include "skylarkdyke/routing/validation.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace skylarkdyke::routing {

std::string normalizedHost(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos)
    Host = Host.substr(0, Colon);
  std::string Name(Host);
  std::transform(
      Name.begin(), Name.end(), Name.begin(),
      [](unsigned char Character) { return std::tolower(Character); });
  return Name;
}

/// Returns whether a request target can begin with a prefix.
static bool isPathPrefix(const std::string &Prefix) {
  return !Prefix.empty() && Prefix.front() == '/' && Prefix.back() == '/' &&
         std::none_of(Prefix.begin(), Prefix.end(), [](unsigned char Byte) {
           return Byte <= ' ' || Byte == '?' || Byte == '#';
         });
}

static void checkServices(const route &Route, const std::string &Location,
                          const std::set<base::service_name> &Defined,
                          base::findings &Findings) {
  double TotalWeight = 0;
  for (const weighted_service &Weighted : Route.Services) {
    if (Defined.count(Weighted.Service) == 0)
      Findings.push_back({Location, "names the service \"" +
                                        Weighted.Service.str() +
                                        "\", which is not defined"});
    if (!(Weighted.Weight >= 0) || !std::isfinite(Weighted.Weight))
      Findings.push_back({Location, "has a weight that is not a number of 0 or "
                                    "more"});
    TotalWeight += Weighted.Weight;
  }
  if (Route.Services.empty())
    Findings.push_back({Location, "names no service"});
  else if (!(TotalWeight > 0))
    Findings.push_back({Location, "has no weight above 0"});
}

base::findings validate(const configuration &Configuration) {
  base::findings Findings;
  if (Configuration.Version == 0)
    Findings.push_back({"/version", "must be above 0"});
  std::set<base::service_name> Defined;
  for (const service &Service : Configuration.Services)
    if (!Defined.insert(Service.Name).second)
      Findings.push_back({"/services", "define \"" + Service.Name.str() +
                                           "\" more than once"});
  std::set<std::pair<std::string, std::string>> Prefixes;
  for (std::size_t I = 0; I < Configuration.Routes.size(); ++I) {
    const route &Route = Configuration.Routes[I];
    const std::string Location = "/routes/" + std::to_string(I);
    const std::string Host = normalizedHost(Route.Host);
    if (Host.empty())
      Findings.push_back({Location + "/host", "is missing"});
    if (!isPathPrefix(Route.PathPrefix))
      Findings.push_back({Location + "/path_prefix",
                          "must be a path that begins and ends with a slash"});
    if (!Prefixes.emplace(Host, Route.PathPrefix).second)
      Findings.push_back({Location + "/path_prefix",
                          "is that of another route of the same host"});
    checkServices(Route, Location, Defined, Findings);
  }
  return Findings;
}

/// Returns whether a text can be the value of an HTTP header field.
static bool isHeaderValue(const std::string &Text) {
  return !Text.empty() && Text.front() != ' ' && Text.back() != ' ' &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Byte) {
           return Byte < ' ' || Byte == 0x7F;
         });
}

static bool isUsable(const request_quota &Quota) {
  return std::isfinite(Quota.Rate) && Quota.Rate > 0 &&
         std::isfinite(Quota.Burst) && Quota.Burst >= 0;
}

base::findings validateTeams(const std::vector<team> &Teams,
                             const std::string &Table) {
  base::findings Findings;
  std::set<base::team_name> Names;
  std::map<std::string_view, const team *> TeamByKey;
  for (std::size_t I = 0; I < Teams.size(); ++I) {
    const team &Team = Teams[I];
    const std::string Location = Table + "/" + std::to_string(I);
    if (!isHeaderValue(Team.Name.str()))
      Findings.push_back({Location, "has no name that a header can hold"});
    else if (!Names.insert(Team.Name).second)
      Findings.push_back(
          {Location, "defines \"" + Team.Name.str() + "\" once more"});
    if (Team.Quota && !isUsable(*Team.Quota))
      Findings.push_back({Location, "has a quota below 0"});
    for (const std::string &Key : Team.Keys) {
      const team *Holder = TeamByKey.emplace(Key, &Team).first->second;
      if (!isHeaderValue(Key))
        Findings.push_back({Location, "has a key that a header cannot hold"});
      else if (Holder != &Team)
        Findings.push_back(
            {Location, "has a key of the team \"" + Holder->Name.str() + "\""});
    }
  }
  return Findings;
}

} // namespace skylarkdyke::routing
