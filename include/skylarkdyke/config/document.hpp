#ifndef SKYLARKDYKE_CONFIG_DOCUMENT_HPP
#define SKYLARKDYKE_CONFIG_DOCUMENT_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkdyke::config {

/// \brief A region with its failure domains.
struct region {
  base::region_name Name;
  /// Largest number of requests per second that the region may receive.
  std::uint64_t CapPerSecond = 0;
  std::vector<base::domain_name> Domains;
};

/// \brief Network link from one region to another, in one direction.
struct link {
  base::region_name From;
  base::region_name To;
  /// Largest traffic on the link, in bits per second.
  std::uint64_t CapBitsPerSecond = 0;
  /// Round-trip time between the two regions.
  std::chrono::microseconds RoundTrip{0};
};

/// \brief A service, which is provided by a group of targets.
struct service {
  base::service_name Name;
  /// Time limit of a request whose caller sends no deadline.
  std::chrono::milliseconds DefaultTimeout{2000};
  /// Largest body of a response.
  std::size_t MaxAnswerBytes = std::size_t{1024} * 1024;
};

/// \brief A back-end process of one service.
struct target {
  base::target_id Id;
  base::service_name Service;
  base::domain_name Domain;
  base::endpoint Address;
  /// Maximum number of requests that the target processes concurrently.
  unsigned Slots = 1;
  /// Maximum number of connections from all entries together.
  unsigned MaxConnections = 1;
};

/// \brief Kind of item that a drain applies to.
enum class drain_scope { Target, Domain, Region };

/// \brief Direction of a drain: traffic moves away from the item, or back to
/// it.
enum class drain_action { Leave, Return };

/// \brief Scheduled move of traffic away from, or back to, a target, failure
/// domain or region.
struct drain {
  drain_scope Scope = drain_scope::Target;
  /// Id of the target, or name of the failure domain or region.
  std::string Name;
  drain_action Action = drain_action::Leave;
  /// When the traffic starts to move.
  base::wall_time Start;
};

/// \brief A block of client addresses with the region nearest to it.
struct client_block {
  /// IPv4 prefix in CIDR notation, without host bits.
  std::string Prefix;
  base::region_name Region;
};

/// \brief The steering configuration, a single document that operators edit.
struct document {
  /// Increases with each submission; a document replaces only one with a lower
  /// version.
  std::uint64_t Version = 0;
  std::string SubmissionId;
  base::operator_name SubmittedBy;
  base::wall_time SubmittedAt;
  /// Ids of the latest submissions, newest last, by which a submitter that did
  /// not receive the response finds out whether its submission was accepted.
  std::vector<std::string> RecentSubmissions;
  /// Number of seats; an entry that holds one may use a share of every cap.
  unsigned EntrySeats = 10;
  /// Largest shift of a service's traffic, in percentage points per second.
  double ShiftCapPercentPerSecond = 10;
  /// How long a caller may cache the response to a lookup.
  std::chrono::milliseconds LookupTtl{3000};
  std::vector<region> Regions;
  std::vector<link> Links;
  std::vector<service> Services;
  std::vector<target> Targets;
  std::vector<drain> Drains;
  std::vector<client_block> ClientBlocks;
};

/// \brief Maximum size of an encoded document: the largest value that the store
/// accepts.
inline constexpr std::size_t MaxDocumentBytes = std::size_t{1000} * 1000;

} // namespace skylarkdyke::config

#endif
