#ifndef SKYLARKDYKE_INSTANCES_CLIENT_HPP
#define SKYLARKDYKE_INSTANCES_CLIENT_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace skylarkdyke::instances {

/// \brief An instance of skylarkdyke in the platform's list. The list lags
/// behind, so a listed instance may have ended and a running one may be
/// missing.
struct instance {
  /// Service id under which the instance is registered.
  std::string Id;
  base::endpoint Address;
  /// The platform is about to end the instance: it has the tag "leaving", the
  /// metadata "leaving" = "true", or a critical check.
  bool IsLeaving = false;
  std::map<std::string, std::string> Metadata;
};

/// \brief Result of one read of the platform's list of instances.
struct instance_list {
  std::vector<instance> Instances;
  /// Number of list items that could not be parsed and were skipped.
  std::size_t Malformed = 0;
};

/// \brief The platform returned no usable response.
struct unavailable {
  std::string Reason;
};

using list_result = std::variant<instance_list, unavailable>;

/// \brief Reads the platform's list of instances (Consul health endpoint
/// `GET /v1/health/service/skylarkdyke`) over one persistent connection. Not
/// thread-safe.
class client {
public:
  /// \param Platform address of the platform's HTTP API
  explicit client(const base::endpoint &Platform);
  ~client();

  /// \brief Reads the list.
  /// \param Deadline instant at which the call fails
  /// \param StopSocket socket whose closing ends the call; -1 for none
  list_result list(base::boot_time Deadline, int StopSocket = -1);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// \brief Parses the body of a response from the health endpoint.
list_result parseInstances(const std::string &Body);

} // namespace skylarkdyke::instances

#endif
