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

/// \brief A region with its failure domains and the requests per second that it
/// may receive.
struct region {
  base::region_name Name;
  std::uint64_t CapPerSecond = 0;
  std::vector<base::domain_name> Domains;
};

/// \brief One direction between two regions.
struct link {
  base::region_name From;
  base::region_name To;
  std::uint64_t CapBitsPerSecond = 0;
  /// Time to the other region and back.
  std::chrono::microseconds RoundTrip{0};
};

/// \brief A named group of targets.
struct service {
  base::service_name Name;
  /// Longest time a request may take when its caller sends no deadline.
  std::chrono::milliseconds MaxWait{2000};
  std::size_t MaxAnswerBytes = std::size_t{1024} * 1024;
};

/// \brief A back-end process of one service.
struct target {
  base::target_id Id;
  base::service_name Service;
  base::domain_name Domain;
  base::endpoint Address;
  unsigned Slots = 1;
  unsigned MaxConnections = 1;
};

enum class drain_scope { Target, Domain, Region };
enum class drain_action { Leave, Return };

/// \brief A planned move of traffic away from, or back to, a target, failure
/// domain or region.
struct drain {
  drain_scope Scope = drain_scope::Target;
  std::string Name;
  drain_action Action = drain_action::Leave;
  base::wall_time Start;
};

/// \brief A block of client addresses and the region that is nearest to it.
struct client_block {
  /// IPv4 prefix in CIDR notation.
  std::string Prefix;
  base::region_name Region;
};

/// \brief The steering configuration: the one document that operators edit.
struct document {
  /// Order of configurations; a document replaces only one of a lower version.
  std::uint64_t Version = 0;
  std::string SubmissionId;
  base::operator_name SubmittedBy;
  base::wall_time SubmittedAt;
  /// The latest submission ids, newest last, so that a submitter whose answer
  /// was lost recognises its own.
  std::vector<std::string> RecentSubmissions;
  unsigned EntrySeats = 10;
  /// Percentage points of a service's traffic that may move per second.
  double ShiftCapPercentPerSecond = 10;
  /// How long a caller may use a lookup answer.
  std::chrono::milliseconds LookupTtl{3000};
  std::vector<region> Regions;
  std::vector<link> Links;
  std::vector<service> Services;
  std::vector<target> Targets;
  std::vector<drain> Drains;
  std::vector<client_block> ClientBlocks;
};

/// \brief Largest size of an encoded document: the largest value that the store
/// holds.
inline constexpr std::size_t MaxDocumentBytes = std::size_t{1000} * 1000;

} // namespace skylarkdyke::config

#endif
