#ifndef SKYLARKDYKE_EMULATORS_FAULT_PROXY_HPP
#define SKYLARKDYKE_EMULATORS_FAULT_PROXY_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/base/result.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkdyke::emulators {

/// \brief One proxied address: connections to Listen are passed on to Upstream.
struct proxied_address {
  std::string Name;
  base::endpoint Listen;
  base::endpoint Upstream;
  std::string Domain;
};

/// \brief Fixed part of a fault proxy's setup.
struct proxy_plan {
  std::vector<proxied_address> Addresses;
  /// Failure domain of each source IP address.
  std::map<std::string, std::string> SourceDomains;
  /// Failure domain of each entry, for connections whose first line names
  /// "/v1/peer/<entry>".
  std::map<std::string, std::string> EntryDomains;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
  /// Time from failure domain to failure domain and back; absent pairs have
  /// none.
  std::map<std::pair<std::string, std::string>, std::chrono::microseconds>
      RoundTrips;
};

/// \brief Faults of one proxied address.
struct address_fault {
  /// Closes open connections and refuses new ones.
  bool Reset = false;
  /// Keeps connections open and passes nothing on.
  bool Blackhole = false;
  /// Passes requests on and drops answers.
  bool DropAnswers = false;
  /// Closes a connection after this many answer bytes; 0: never.
  std::uint64_t TruncateAfterBytes = 0;
  std::chrono::microseconds ExtraDelay{0};
};

/// \brief Faults in force; a new set replaces the old one whole.
struct fault_set {
  /// Pairs of failure domains or regions, in one direction, between which
  /// nothing passes.
  std::vector<std::pair<std::string, std::string>> Cuts;
  std::map<std::string, address_fault> Addresses;
};

/// rief Parses a plan from JSON:
/// {"addresses":[{"name","listen","upstream","domain"}],
/// "source_domains":{ip:domain}, "entry_domains":{entry:domain},
/// "regions":{domain:region}, "round_trips":[{"from","to","us"}]}.
base::result<proxy_plan, base::findings> parseProxyPlan(std::string_view Text);

/// \brief Parses faults from JSON:
/// {"cuts":[{"from","to"}],"addresses":{name:{"reset","blackhole",
/// "drop_answers","truncate_after_bytes","extra_delay_us"}}}.
base::result<fault_set, base::findings> parseFaults(std::string_view Text);

/// \brief Largest number of bytes seen in any window of one second from region
/// to region.
using link_peaks = std::map<std::pair<std::string, std::string>, std::uint64_t>;

/// \brief Encodes a plan as the JSON that parseProxyPlan() reads.
std::string encode(const proxy_plan &Plan);

/// \brief TCP proxy that adds the delay between failure domains and injects
/// faults. One thread.
class fault_proxy {
public:
  explicit fault_proxy(proxy_plan Plan);
  ~fault_proxy();

  /// \brief Binds all addresses and starts.
  /// \return false if an address cannot be bound
  bool start();
  void stop();

  /// \brief Replaces the faults in force. Thread-safe.
  void setFaults(fault_set Faults);

  /// \brief Peaks since the start or the last call with Reset. Thread-safe.
  link_peaks peaks(bool Reset);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators

#endif
