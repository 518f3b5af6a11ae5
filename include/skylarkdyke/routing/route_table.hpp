#ifndef SKYLARKDYKE_ROUTING_ROUTE_TABLE_HPP
#define SKYLARKDYKE_ROUTING_ROUTE_TABLE_HPP

#include "skylarkdyke/routing/route.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace skylarkdyke::routing {

/// \brief Routes of one configuration, indexed for look-up. Immutable.
class route_table {
public:
  explicit route_table(configuration Configuration);

  /// \brief Finds the route of a request: of the routes of its host, the one
  /// with the longest prefix of its path.
  /// \param Host value of the Host header; a port is ignored, and so is case
  /// \param Target request target; the query is ignored
  /// \return the route, or null if none matches. Valid as long as the table
  const route *match(std::string_view Host, std::string_view Target) const;

  /// \brief Routes of a host, longest prefix first; empty for an unknown host.
  const std::vector<const route *> &routesOf(std::string_view Host) const;

  /// \brief Finds a service. \return null if the configuration has none of
  /// that name
  const service *findService(const base::service_name &Name) const;

  std::uint64_t version() const { return Configuration.Version; }
  const base::message_limits &limits() const { return Configuration.Limits; }
  const std::vector<route> &routes() const { return Configuration.Routes; }
  const std::vector<service> &services() const {
    return Configuration.Services;
  }

private:
  configuration Configuration;
  /// Longest prefix first.
  std::unordered_map<std::string, std::vector<const route *>> RoutesByHost;
  std::unordered_map<base::service_name, const service *> ServiceByName;
};

} // namespace skylarkdyke::routing

#endif
