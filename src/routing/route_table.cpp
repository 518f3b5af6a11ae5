#include "skylarkdyke/routing/route_table.hpp"

#include "skylarkdyke/routing/validation.hpp"

#include <algorithm>
#include <random>

namespace skylarkdyke::routing {

static bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

/// Splits a request target that is a complete URI. Its host goes before that of
/// the header.
static void splitUri(std::string_view &Host, std::string_view &Target) {
  const std::size_t Scheme = Target.find("://");
  if (Scheme == std::string_view::npos)
    return;
  Target.remove_prefix(Scheme + 3);
  const std::size_t End = std::min(Target.find_first_of("/?"), Target.size());
  Host = Target.substr(0, End);
  Target = End == Target.size() ? "/" : Target.substr(End);
}

/// Returns the seed of the hash of keys, which differs between processes.
static std::uint64_t keyHashSeed() {
  static const std::uint64_t Seed = [] {
    std::random_device Source;
    return std::uniform_int_distribution<std::uint64_t>()(Source);
  }();
  return Seed;
}

route_table::route_table(configuration NewConfiguration)
    : Configuration(std::move(NewConfiguration)) {
  for (const route &Route : Configuration.Routes)
    RoutesByHost[normalizedHost(Route.Host)].push_back(&Route);
  for (auto &[Host, Routes] : RoutesByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const route *Left, const route *Right) {
                       return Left->PathPrefix.size() >
                              Right->PathPrefix.size();
                     });
  for (const service &Service : Configuration.Services)
    ServiceByName[Service.Name] = &Service;
  if (Configuration.Teams)
    KeyIndex.emplace(*Configuration.Teams, keyHashSeed());
}

const route *route_table::match(std::string_view Host,
                                std::string_view Target) const {
  if (!startsWith(Target, "/"))
    splitUri(Host, Target);
  const std::string_view Path = Target.substr(0, Target.find('?'));
  for (const route *Route : routesOf(Host))
    if (startsWith(Path, Route->PathPrefix))
      return Route;
  return nullptr;
}

const std::vector<const route *> &
route_table::routesOf(std::string_view Host) const {
  static const std::vector<const route *> NoRoutes;
  const auto Found = RoutesByHost.find(normalizedHost(Host));
  return Found == RoutesByHost.end() ? NoRoutes : Found->second;
}

const service *route_table::findService(const base::service_name &Name) const {
  const auto Found = ServiceByName.find(Name);
  return Found == ServiceByName.end() ? nullptr : Found->second;
}

} // namespace skylarkdyke::routing
