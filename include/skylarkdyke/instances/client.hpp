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

/// \brief An instance of skylarkdyke as the platform lists it. The list lags,
/// so an instance may be gone or not yet listed.
struct instance {
  std::string Id;
  base::endpoint Address;
  /// The platform is about to end the instance: it has the tag "leaving", the
  /// metadata "leaving" = "true", or a critical check.
  bool IsLeaving = false;
  std::map<std::string, std::string> Metadata;
};

/// \brief The list of instances at one moment.
struct instance_list {
  std::vector<instance> Instances;
  /// Items that could not be read and were left out.
  std::size_t Malformed = 0;
};

/// \brief The platform gave no usable answer.
struct unavailable {
  std::string Reason;
};

using list_result = std::variant<instance_list, unavailable>;

/// \brief Reads the platform's list of instances (Consul health endpoint
/// `GET /v1/health/service/skylarkdyke`) over one kept connection. Not
/// thread-safe.
class client {
public:
  /// \param Platform address of the platform's HTTP API
  explicit client(const base::endpoint &Platform);
  ~client();

  /// \brief Reads the list.
  /// \param StopSocket its closing ends the call; -1: none
  list_result list(base::boot_time Deadline, int StopSocket = -1);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// \brief Reads the body of the health endpoint's answer.
list_result parseInstances(const std::string &Body);

} // namespace skylarkdyke::instances

#endif
