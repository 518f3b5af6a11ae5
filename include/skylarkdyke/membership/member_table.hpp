#ifndef SKYLARKDYKE_MEMBERSHIP_MEMBER_TABLE_HPP
#define SKYLARKDYKE_MEMBERSHIP_MEMBER_TABLE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/membership/messages.hpp"
#include "skylarkdyke/membership/share_holders.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
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
/// Largest number of entries of a region that all send heartbeats to each
/// other. In larger regions entries report to the relays only.
inline constexpr std::size_t MaxFullMeshSize = 12;
/// Interval between the digests of a relay.
inline constexpr std::chrono::milliseconds DigestPeriod{1000};
/// Time after which a region summary no longer counts.
inline constexpr std::chrono::milliseconds SummaryRetention{3500};
/// Number of entries of another region in a digest, enough for callers without
/// an entry of their own region and for the relays to reach each other.
inline constexpr std::size_t RemoteEntriesPerDigest = 8;
/// Number of consecutive heartbeats that may be lost before an entry counts as
/// dead.
inline constexpr int MaxLostHeartbeats = 2;
/// Network delay of a heartbeat that is tolerated before an entry counts as
/// dead.
inline constexpr std::chrono::milliseconds MaxHeartbeatDelay{200};
/// Delay of the next heartbeat of an entry after which it is no relay any more,
/// long before it counts as dead: changes of the store must reach its failure
/// domain in time.
inline constexpr std::chrono::milliseconds MaxRelaySilence{750};
/// Interval between probes of a dead entry.
inline constexpr std::chrono::milliseconds DeadProbePeriod{2000};
/// Time without a heartbeat after which a dead entry is no longer contacted.
inline constexpr std::chrono::seconds DeadContactRetention{60};

/// \brief Addresses to which a heartbeat is due, by the time until the next
/// heartbeat to them.
using due_heartbeats =
    std::map<std::chrono::milliseconds, std::vector<base::endpoint>>;

/// \brief The entries that an entry has discovered, with the times of their
/// heartbeats.
///
/// In a small region all entries send heartbeats to each other and to the other
/// regions: to all entries of small ones, to the relays of large ones. In a
/// large region entries send heartbeats to its relays only, and the relays send
/// digests of all they have heard, so that the messages of an entry do not grow
/// with the fleet.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class member_table {
public:
  /// \brief An entry with its latest status.
  struct member {
    entry_status Status;
    base::region_name Region;
    /// Time after which the entry counts as dead unless something more is
    /// heard of it.
    base::boot_time LiveUntil;
    /// Time after which the entry is not selected as a relay unless it sends
    /// another heartbeat; without end for one that has sent none to this entry.
    base::boot_time RelayUntil = base::boot_time::max();
    /// Time after which the demand no longer counts, because the entry reports
    /// it to others.
    base::boot_time DemandValidUntil{};
    /// Time of the latest introduction that was sent to the entry.
    base::boot_time IntroducedAt{};
  };

  /// \param OwnMesh mesh address of this entry, which is never contacted
  /// \param OwnRegion region of this entry
  /// \param RegionOf region of each failure domain
  member_table(base::endpoint OwnMesh, base::region_name OwnRegion,
               std::map<base::domain_name, base::region_name> RegionOf);

  /// \brief Adds an address to contact, from the settings, the store or
  /// another entry. An address that has been silent counts as new.
  void addAddress(const base::endpoint &Mesh, base::boot_time Now);

  /// \brief Records a received heartbeat.
  /// \return true if the entry is new, has restarted or was dead
  bool recordHeartbeat(const entry_status &Status, base::boot_time Now);

  /// \brief Records a received digest and the heartbeat in it.
  /// \return true if the sender or an entry in the digest is new, has restarted
  /// or was dead
  bool recordDigest(const digest &Digest, base::boot_time Now);

  /// \brief Selects the relays of all regions anew.
  /// \param Own status of this entry
  void updateRelays(const entry_status &Own, base::boot_time Now);

  /// \return relays of a region, as far as they are known
  std::vector<base::endpoint> relaysOf(const base::region_name &Region) const;
  /// \return whether this entry knows of others, but has heard none yet
  bool hasHeardNone(base::boot_time Now) const {
    return Members.empty() && hasUnheardContact(Now);
  }

  /// \return whether this entry is a relay of its region
  bool isRelay() const { return LocalRelays.count(OwnMesh) != 0; }
  /// \return whether the own region has entries that only the relays hear
  bool sendsDigests() const { return isRelay() && !FullMesh; }

  /// \brief Returns the addresses to which a heartbeat is due now, and
  /// schedules their next heartbeats. Drops contacts that have sent no
  /// heartbeat for DeadContactRetention.
  due_heartbeats takeDueHeartbeats(base::boot_time Now);

  /// \brief Returns the entries of the own region that get a digest.
  std::vector<base::endpoint> digestReceivers(base::boot_time Now) const;
  /// \brief Returns the entries of other regions that get a digest.
  std::vector<base::endpoint> remoteDigestReceivers() const;
  /// \brief Returns the entries that are told at once of what this entry has
  /// learned: the relays of the own region, or all of it and other regions if
  /// this entry is a relay or reports to other regions itself.
  std::vector<base::endpoint> noticeReceivers(base::boot_time Now) const;
  /// \brief Returns the entries of a failure domain that are no relays: the
  /// relay of the domain sends them the changes of the store.
  std::vector<base::endpoint> followersIn(const base::domain_name &Domain,
                                          base::boot_time Now) const;

  /// \brief Creates a digest for entries of the own region, or for relays of
  /// other regions.
  /// \param Own status of this entry
  digest makeLocalDigest(const entry_status &Own, base::boot_time Now) const;
  digest makeRemoteDigest(const entry_status &Own, base::boot_time Now) const;

  /// \brief Returns whether the sender of a heartbeat should be told whom to
  /// contact: it is new, or either it or this entry is not a relay that the
  /// other should contact. At most one introduction a second is due to an
  /// entry.
  bool takeDueIntroduction(const entry_status &Status, bool IsNew,
                           base::boot_time Now);
  /// \brief Returns entries that an entry of a failure domain should contact:
  /// relays of this region, and some entries of that region.
  std::vector<base::endpoint> introductionsFor(const base::domain_name &Domain,
                                               base::boot_time Now) const;

  /// \brief Returns addresses for the next heartbeat, so that the entries of a
  /// small region discover each other. Consecutive calls return different
  /// ones; none in a large region.
  std::vector<base::endpoint> takeAddressSample(base::boot_time Now);

  /// \return entries whose heartbeats are not overdue; valid until the next
  /// message is recorded
  std::vector<const member *> liveMembers(base::boot_time Now) const;

  /// \brief Returns the requests per second of a region's callers.
  /// \param OwnDemand demand of this entry, which counts in its own region
  demand_by_service demandOf(const base::region_name &Region,
                             const demand_by_service &OwnDemand,
                             base::boot_time Now) const;
  /// \brief Returns the number of live entries of a region, this one included.
  unsigned entryCountOf(const base::region_name &Region,
                        base::boot_time Now) const;

  /// \brief Adds to the status of this entry what others need to know to
  /// divide limits with it.
  void addReport(entry_status &Own, base::boot_time Now) {
    Holders.addReport(Own, FullMesh, Now);
  }
  /// \brief Recomputes the shares of this entry in limits.
  /// \param MessagesMissed received messages may be old, because the process
  /// was paused
  void updateShares(bool MessagesMissed, base::boot_time Now);
  /// \return how the entries of the own region divide a limit
  const share_holders &shareHolders() const { return Holders; }
  /// \brief Returns how the entries of the own region divide a limit whose
  /// parts cannot be split, so that each part belongs to one entry.
  ///
  /// In a region without full mesh the entries do not know each other's
  /// weights, so that all have the same one. After a change between the two
  /// divisions, an entry uses the smaller one of its parts until all entries
  /// have changed.
  limit_division limitDivision(base::boot_time Now) const;
  /// \brief Returns the number of entries of a region that may use a part of a
  /// limit: live ones, and silent ones whose part stays reserved.
  unsigned holderCountOf(const base::region_name &Region,
                         base::boot_time Now) const;

private:
  /// An address to which heartbeats are sent.
  struct contact {
    base::boot_time NextHeartbeatAt;
    base::boot_time AddedAt;
    base::boot_time LastHeartbeatAt{};
    bool IsLocal = true;
  };
  struct received_summary {
    region_summary Summary;
    base::boot_time ValidUntil;
  };

  static base::boot_time lastActivity(const contact &Contact);
  base::region_name regionOf(const base::domain_name &Domain) const;
  bool merge(const entry_status &Status, base::boot_time LiveUntil,
             bool IsDirect, base::boot_time Now);
  bool sendsHeartbeatsTo(const base::endpoint &Address,
                         const contact &Contact) const;
  bool knowsRelay(base::boot_time Now) const;
  unsigned heardHolderCountOf(const base::region_name &Region,
                              base::boot_time Now) const;
  bool hasUnheardContact(base::boot_time Now) const;
  bool knowsAllWeights(base::boot_time Now) const;
  bool hasSilentMember(base::boot_time Now) const;
  void updateDivision(base::boot_time Now);
  std::vector<base::endpoint> localHolders(base::boot_time Now) const;
  limit_division equalDivision(base::boot_time Now) const;
  bool reportsToOtherRegions() const { return FullMesh || isRelay(); }
  std::chrono::milliseconds periodFor(const contact &Contact) const;
  std::set<base::region_name> otherRegions() const;
  void addSample(digest &Digest, const base::region_name &Region,
                 std::size_t Limit, base::boot_time Now) const;
  region_summary ownSummary(const entry_status &Own, base::boot_time Now) const;
  demand_by_service heardDemandOf(const base::region_name &Region,
                                  const demand_by_service &OwnDemand,
                                  base::boot_time Now) const;
  std::vector<relayed_entry> sampleOf(const base::region_name &Region,
                                      std::size_t Limit,
                                      base::boot_time Now) const;

  base::endpoint OwnMesh;
  base::region_name OwnRegion;
  std::map<base::domain_name, base::region_name> RegionOf;
  /// Numbers of contacts in the own region and in other regions that were added
  /// or sent a heartbeat recently, as of the latest call of
  /// takeDueHeartbeats().
  std::size_t LiveLocalContacts = 0;
  std::size_t LiveRemoteContacts = 0;
  std::map<base::endpoint, contact> Contacts;
  /// By mesh address.
  std::map<base::endpoint, member> Members;
  share_holders Holders;
  /// All entries of the own region send heartbeats to each other.
  bool FullMesh = true;
  /// The entries of the own region divide limits by their weights, see
  /// limitDivision().
  bool DividesByWeight = true;
  /// Time until which other entries may divide in the other way.
  base::boot_time DivisionChangesUntil{};
  std::set<base::endpoint> LocalRelays;
  /// Relays of the other regions, small ones included.
  std::map<base::region_name, std::set<base::endpoint>> RemoteRelays;
  /// Entries of other regions to which this region reports.
  std::set<base::endpoint> RemoteReceivers;
  /// Number of addresses that were sent in samples.
  std::size_t SampledAddresses = 0;
  /// By region and sender.
  std::map<base::region_name, std::map<base::endpoint, received_summary>>
      Summaries;
};

} // namespace skylarkdyke::membership

#endif
