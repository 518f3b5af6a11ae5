#ifndef SKYLARKDYKE_GATEWAY_GATEWAY_HPP
#define SKYLARKDYKE_GATEWAY_GATEWAY_HPP

#include "skylarkdyke/admission/retry_allowance.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/base/result.hpp"
#include "skylarkdyke/gateway/change_source.hpp"
#include "skylarkdyke/net/response_memory.hpp"
#include "skylarkdyke/quotas/token_limit.hpp"
#include "skylarkdyke/routing/route.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::gateway {

/// \brief Start-up settings of an entry process.
struct gateway_settings {
  std::string Name;
  base::domain_name Domain;
  base::region_name Region;
  /// Region of each failure domain.
  std::map<base::domain_name, base::region_name> RegionOf;
  /// Address on which the entry accepts requests of callers.
  base::endpoint Front;
  /// Address on which the entry serves the readiness check of the platform.
  std::optional<base::endpoint> Readiness;
  /// Address on which the entry serves directory queries of callers.
  std::optional<base::endpoint> Directory;
  /// Address on which other entries reach this one, over UDP and TCP.
  base::endpoint Mesh;
  /// Address on which the entry serves its metrics.
  std::optional<base::endpoint> Metrics;
  /// Mesh addresses of some other entries; they may be out of date.
  std::vector<base::endpoint> Seeds;
  admission::retry_bound RetryBound;
  quotas::quota_bound QuotaBound;
  /// Maximum time for which callers may cache a directory response.
  std::chrono::milliseconds MaxDirectoryTtl{5000};
  /// Time from the stop signal until the platform kills the process.
  std::chrono::milliseconds StopGrace{6000};
  /// Time within which a change of the configuration must be in force.
  std::chrono::milliseconds ConfigurationBound{2500};
  /// Time after which a target that has said that it leaves gets no requests.
  std::chrono::milliseconds DrainTime{2500};
  /// Time after a store outage within which the discovery records that
  /// expired during the outage are published again.
  std::chrono::milliseconds RecordRecoveryTime{2000};
  std::size_t MaxDescriptors = 1024;
  /// Memory above which the platform kills the process.
  std::size_t MemoryBytes = 256U << 20U;
  /// Number of processor cores that the process may use; may be fractional.
  double ProcessorCores = 1;
  /// Bandwidth of the network link of the process, in Mbit/s.
  double LinkMbitPerSecond = 1000;
};

/// \brief Names of the HTTP headers that callers, entries and targets
/// exchange.
struct header_names {
  std::string RequestId;
  /// Time in milliseconds for which the caller waits for the response.
  std::string Deadline;
  /// Requests with the same key prefer the same target.
  std::string AffinityKey;
  /// Signature that marks a response as produced by a target.
  std::string Signature;
  /// Identifier of the only target that may execute the request.
  std::string ExpectedTarget;
  /// Set by a target that did not execute the request.
  std::string NotExecuted;
  /// Load of the target as "running,waiting,slots".
  std::string Load;
  /// Names under which a target says, with the value 1, that it leaves.
  std::vector<std::string> Leaving = {};
  /// Identifier of the target that responds to a health check.
  std::string TargetId = {};
  /// Time in milliseconds for which that target stays cold.
  std::string ColdTimeLeft = {};
  /// Name of the caller's team, which only entries set.
  std::string Team = {};
};

/// \brief Query of a caller for the entries that it should use.
struct directory_query {
  std::string Host;
  base::region_name Region;
  base::domain_name Domain;
};

/// \brief Translates between the protocol of the callers and the types of the
/// gateway.
struct caller_protocol {
  header_names Headers;
  std::string ReadinessPath;
  std::string MetricsPath;
  /// Parses the request target of a directory query; returns nothing if it is
  /// not one.
  std::function<std::optional<directory_query>(const std::string &Target)>
      ParseDirectoryQuery;
  /// Formats the response to a directory query.
  /// \param Ttl time for which the caller may cache the response
  std::function<std::string(const std::vector<base::endpoint> &Entries,
                            std::chrono::milliseconds Ttl)>
      FormatDirectoryResponse;
};

/// \brief A configuration document that is invalid.
struct refused_configuration {
  /// Zero if it cannot be read.
  std::uint64_t Version = 0;
  base::findings Findings;
};
/// The decoded configuration, or why it is invalid.
using configuration_result =
    base::result<routing::configuration, refused_configuration>;
/// Decodes a configuration document.
using configuration_decoder =
    std::function<configuration_result(const std::string &Document)>;

/// \brief An entry: receives requests of callers and forwards each to a
/// target.
///
/// All work runs on one event loop, and no call blocks.
class gateway {
public:
  /// \param Memory bounds the incomplete responses of the process; must
  /// outlive the event loop
  gateway(boost::asio::io_context &Loop, net::response_memory &Memory,
          gateway_settings Settings, caller_protocol Protocol,
          change_source &Source, configuration_decoder Decoder);
  ~gateway();

  /// \brief Binds all addresses and starts to watch the store.
  /// \return false if an address cannot be bound
  bool start();

  /// \brief Starts a graceful shutdown and stops the event loop once it is
  /// complete.
  /// \param RequestedAt time at which the stop signal arrived
  void stop(base::boot_time RequestedAt);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::gateway

#endif
