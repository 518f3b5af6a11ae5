#ifndef SKYLARKDYKE_GATEWAY_DETAIL_DIRECTORY_SERVICE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_DIRECTORY_SERVICE_HPP

#include "gateway/detail/demand_history.hpp"
#include "gateway/detail/steering_state.hpp"
#include "skylarkdyke/gateway/gateway.hpp"
#include "skylarkdyke/membership/member_table.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "skylarkdyke/placement/placer.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace skylarkdyke::gateway::detail {

/// \brief Answers callers that ask which entries to use for a host.
class directory_service {
public:
  /// Returns the status of this entry.
  using status_source = std::function<membership::entry_status()>;

  /// The references must outlive the service.
  directory_service(const gateway_settings &Settings,
                    const caller_protocol &Protocol,
                    const steering_state &State,
                    const placement::target_registry &TargetRegistry,
                    const placement::placer &Placer,
                    const demand_history &History,
                    const membership::member_table &Members,
                    status_source OwnStatus);

  /// \return the addresses of entries, or 503 if no entry is ready
  net::http_response respond(const directory_query &DirectoryQuery,
                             base::boot_time Now);

  /// \brief Discards the responses that are kept, for example because this
  /// entry is about to stop.
  void clearCache() { Cache.clear(); }

private:
  /// Key of a cached response: host and region of the callers.
  using cache_key = std::pair<std::string, base::region_name>;

  struct cached_entries {
    std::vector<base::endpoint> Entries;
    base::boot_time ValidUntil;
  };

  std::vector<base::region_name>
  allowedRegionsOf(const std::string &Host) const;
  std::vector<base::endpoint> entriesFor(const directory_query &DirectoryQuery,
                                         base::boot_time Now) const;
  double expectedRequestRate(const directory_query &DirectoryQuery,
                             base::boot_time Now) const;

  const gateway_settings &Settings;
  const caller_protocol &Protocol;
  const steering_state &State;
  const placement::target_registry &TargetRegistry;
  const placement::placer &Placer;
  const demand_history &History;
  const membership::member_table &Members;
  status_source OwnStatus;
  std::map<cache_key, cached_entries> Cache;
};

} // namespace skylarkdyke::gateway::detail

#endif
