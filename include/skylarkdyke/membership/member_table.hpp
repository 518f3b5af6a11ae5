#ifndef SKYLARKDYKE_MEMBERSHIP_MEMBER_TABLE_HPP
#define SKYLARKDYKE_MEMBERSHIP_MEMBER_TABLE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::membership {

/// Interval between heartbeats to an entry of the own region while the region
/// has up to LocalGroupSize entries. In larger groups the interval grows, up to
/// the maximum.
inline constexpr std::chrono::milliseconds LocalHeartbeatPeriod{500};
inline constexpr std::chrono::milliseconds MaxLocalHeartbeatPeriod{1000};
inline constexpr std::size_t LocalGroupSize = 8;
/// The same values for entries of other regions. The intervals are longer
/// because traffic between regions costs more and the failure of an entry there
/// affects fewer callers.
inline constexpr std::chrono::milliseconds RemoteHeartbeatPeriod{1000};
inline constexpr std::chrono::milliseconds MaxRemoteHeartbeatPeriod{1500};
inline constexpr std::size_t RemoteGroupSize = 16;
/// Number of consecutive heartbeats that may be lost before an entry counts as
/// dead.
inline constexpr int MaxLostHeartbeats = 2;
/// Network delay of a heartbeat that is tolerated before an entry counts as
/// dead.
inline constexpr std::chrono::milliseconds MaxHeartbeatDelay{200};
/// Interval between probes of a dead entry.
inline constexpr std::chrono::milliseconds DeadProbePeriod{2000};
/// Time without a heartbeat after which a dead entry is no longer contacted.
inline constexpr std::chrono::seconds DeadContactRetention{60};

/// \brief Status that an entry reports about itself in each heartbeat.
struct entry_status {
  std::string Name;
  /// Differs between the starts of the entry's process.
  std::uint64_t Incarnation = 0;
  base::domain_name Domain;
  /// Address to which heartbeats are sent.
  base::endpoint MeshAddress;
  /// Address at which callers connect.
  base::endpoint FrontAddress;
  bool Ready = false;
  /// The entry is shutting down and must not be assigned to callers.
  bool Leaving = false;
  /// Store revision of the latest change that the entry has applied.
  std::uint64_t ChangeRevision = 0;
  /// Requests per second that the entry's processor and link can handle.
  double Capacity = 1;
  /// Requests per second from the entry's callers, by service.
  std::map<std::string, double> Demand;
  /// Mesh addresses of some other entries, so that receivers discover them.
  std::vector<base::endpoint> KnownAddresses;
  /// Time until the entry's next heartbeat to the receiver.
  std::chrono::milliseconds NextHeartbeatIn{LocalHeartbeatPeriod};
};

/// \brief Addresses to which a heartbeat is due, by the time until the next
/// heartbeat to them.
using due_heartbeats =
    std::map<std::chrono::milliseconds, std::vector<base::endpoint>>;

/// \brief Encodes a status as CBOR.
std::string encode(const entry_status &Status);

/// \brief Decodes a status.
/// \return the status, or nothing if the bytes are not a status of the current
/// message version
std::optional<entry_status> decodeStatus(const std::string &Bytes);

/// \brief The entries that an entry has discovered, with the times of their
/// heartbeats.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class member_table {
public:
  /// \brief An entry with its latest status.
  struct member {
    entry_status Status;
    /// Time after which the entry counts as dead unless a heartbeat arrives.
    base::boot_time LiveUntil;
  };

  /// \param OwnMesh mesh address of this entry, which is never contacted
  /// \param OwnRegion region of this entry
  /// \param RegionOf region of each failure domain
  member_table(base::endpoint OwnMesh, base::region_name OwnRegion,
               std::map<base::domain_name, base::region_name> RegionOf);

  /// \brief Adds an address to contact, from the settings, the store or
  /// another entry.
  void addAddress(const base::endpoint &Mesh, base::boot_time Now);

  /// \brief Records a received heartbeat.
  /// \return true if the entry is new, has restarted or was dead
  bool recordHeartbeat(const entry_status &Status, base::boot_time Now);

  /// \brief Returns the addresses to which a heartbeat is due now, and
  /// schedules their next heartbeats. Drops contacts that have sent no
  /// heartbeat for DeadContactRetention.
  due_heartbeats takeDueHeartbeats(base::boot_time Now);

  /// \return entries whose heartbeats are not overdue; valid until the next
  /// heartbeat is recorded
  std::vector<const member *> liveMembers(base::boot_time Now) const;

  /// \return mesh addresses of up to Count live entries
  std::vector<base::endpoint> sampleAddresses(std::size_t Count,
                                              base::boot_time Now) const;

private:
  /// An address to which heartbeats are sent.
  struct contact {
    base::boot_time NextHeartbeatAt;
    base::boot_time AddedAt;
    base::boot_time LastHeartbeatAt{};
    bool IsLocal = true;
  };

  std::chrono::milliseconds periodFor(const contact &Contact) const;

  base::endpoint OwnMesh;
  base::region_name OwnRegion;
  std::map<base::domain_name, base::region_name> RegionOf;
  /// Numbers of contacts in the own region and in other regions that were added
  /// or sent a heartbeat recently, as of the latest call of
  /// takeDueHeartbeats().
  std::size_t LiveLocalContacts = 0;
  std::size_t LiveRemoteContacts = 0;
  std::map<base::endpoint, contact> Contacts;
  std::map<std::string, member> Members;
};

/// \brief A caller's query for the entries to use.
struct entry_query {
  /// Host to which the caller sends requests.
  std::string Host;
  base::region_name Region;
  /// Regions in addition to their own to which callers may be directed; empty
  /// means all.
  std::vector<base::region_name> AllowedRegions;
  /// Requests per second from the callers of the region to the host.
  double Rate = 0;
};

/// \brief Selects the entries that a caller should use: those of its own region
/// or, if it has none, those of the allowed regions.
///
/// Callers of one host in one region get the same few entries, so that each of
/// these entries sees most of the load of the targets that it uses. Entries are
/// selected with a probability in proportion to their capacity, until their
/// total capacity exceeds the rate of requests.
/// \param Ready entries that are ready to serve callers
/// \param RegionOf region of each failure domain
/// \return front addresses of at most Limit entries; empty only if no entry is
/// usable or Limit is 0
std::vector<base::endpoint>
entriesForCaller(const std::vector<entry_status> &Ready,
                 const std::map<base::domain_name, base::region_name> &RegionOf,
                 const entry_query &Query, std::size_t Limit);

} // namespace skylarkdyke::membership

#endif
