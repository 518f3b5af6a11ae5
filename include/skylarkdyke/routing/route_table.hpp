#ifndef SKYLARKDYKE_ROUTING_ROUTE_TABLE_HPP
#define SKYLARKDYKE_ROUTING_ROUTE_TABLE_HPP

#include "skylarkdyke/routing/key_index.hpp"
#include "skylarkdyke/routing/route.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace skylarkdyke::routing {

/// \brief Routes, services and teams of one configuration, indexed for look-up.
/// Immutable.
class route_table {
public:
  explicit route_table(configuration Configuration);
  ~route_table() = default;
  route_table(const route_table &) = delete;
  route_table &operator=(const route_table &) = delete;

  /// \brief Finds the route of a request: the route of its host with the
  /// longest matching path prefix.
  /// \param Host value of the Host header; its case and a port are ignored
  /// \param Target request target, a path or a complete URI, whose host goes
  /// before the header; the query is ignored
  /// \return the route, or null if none matches; valid for the lifetime of the
  /// table
  const route *match(std::string_view Host, std::string_view Target) const;

  /// \return routes of a host, longest prefix first; empty for an unknown host
  const std::vector<const route *> &routesOf(std::string_view Host) const;

  /// \return the service, or null if the configuration has none of that name;
  /// valid for the lifetime of the table
  const service *findService(const base::service_name &Name) const;

  /// \return whether the configuration has a list of teams, so that requests of
  /// routes that are not public need a key
  bool hasTeams() const { return KeyIndex.has_value(); }

  /// \return the team that holds a key, or null; valid for the lifetime of the
  /// table
  const team *findTeam(std::string_view Key) const {
    return KeyIndex ? KeyIndex->find(Key) : nullptr;
  }

  std::uint64_t version() const { return Configuration.Version; }
  const caller_limits &limits() const { return Configuration.Limits; }
  const std::vector<route> &routes() const { return Configuration.Routes; }
  const std::vector<service> &services() const {
    return Configuration.Services;
  }
  const std::optional<std::vector<team>> &teams() const {
    return Configuration.Teams;
  }

private:
  configuration Configuration;
  /// By normalized host name; longest prefix first.
  std::unordered_map<std::string, std::vector<const route *>> RoutesByHost;
  std::unordered_map<base::service_name, const service *> ServiceByName;
  std::optional<key_index> KeyIndex;
};

} // namespace skylarkdyke::routing

#endif
