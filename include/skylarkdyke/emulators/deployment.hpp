#ifndef SKYLARKDYKE_EMULATORS_DEPLOYMENT_HPP
#define SKYLARKDYKE_EMULATORS_DEPLOYMENT_HPP

#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/emulators/fault_proxy.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkdyke::emulators {

/// \brief One entry of an emulated deployment.
struct entry_plan {
  std::string Name;
  std::string Region;
  std::string Domain;
  /// IP address that the process binds and connects from.
  std::string Address;
  base::endpoint CallerAddress;
  base::endpoint AdminAddress;
  base::endpoint PeerAddress;
  /// Contents of the TOML settings file.
  std::string Settings;
};

/// \brief One emulated target: where it listens behind the fault proxy.
struct target_plan {
  std::string Id;
  std::string Service;
  std::string Domain;
  base::endpoint Listen;
  unsigned Slots = 4;
};

/// \brief All processes of one emulated deployment on this machine.
struct deployment {
  config::document Document;
  std::vector<entry_plan> Entries;
  std::vector<target_plan> Targets;
  /// Address of the store emulator itself; entries use the proxied one.
  base::endpoint StoreListen;
  base::endpoint StoreAddress;
  base::endpoint StoreControl;
  /// Control port of the process that hosts a service's targets.
  std::map<std::string, base::endpoint> TargetControls;
  base::endpoint ProxyControl;
  proxy_plan Proxy;
  /// IP address of the callers of each region.
  std::map<std::string, std::string> CallerSources;
};

/// \brief Size and addresses of an emulated deployment.
struct deployment_options {
  unsigned Entries = 9;
  /// Second octet of the loopback addresses: 127.<Net>.x.y, so that several
  /// deployments can run at once.
  unsigned Net = 10;
};

/// \brief Builds the deployment "rozpalka" or "mallas" with its regions,
/// failure domains, services, sizes and round trips.
/// \return nothing for another name
std::optional<deployment> makeDeployment(std::string_view Name,
                                         const deployment_options &Options);

} // namespace skylarkdyke::emulators

#endif
