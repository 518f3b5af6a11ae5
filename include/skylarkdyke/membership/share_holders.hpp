#ifndef SKYLARKDYKE_MEMBERSHIP_SHARE_HOLDERS_HPP
#define SKYLARKDYKE_MEMBERSHIP_SHARE_HOLDERS_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/membership/messages.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace skylarkdyke::membership {

/// Time for which the part of a silent entry stays reserved: it may be cut off
/// and still use its part.
inline constexpr std::chrono::seconds SilentRetention{120};
/// The same time for an entry that announced its stop; longer than a stop
/// takes.
inline constexpr std::chrono::seconds LeaveRetention{8};
/// Time after which an entry that agrees with no other one gives its part up.
/// Half of SilentRetention, so that it has done so before the others use the
/// part.
inline constexpr std::chrono::seconds IsolationLimit{60};

/// \brief An entry of the own region that may use a part of limits.
struct limit_holder {
  base::endpoint MeshAddress;
  share_weights Weights;
};

/// \brief How the entries of the own region divide a limit, as far as this
/// entry knows.
struct limit_division {
  /// Weights that this entry may use; 0 while it may use nothing.
  share_weights Own;
  std::vector<limit_holder> Others;
};

/// \brief What an entry knows about the completeness of its view.
struct share_view {
  /// The entries of the region hear each other directly.
  bool FullMesh = true;
  /// This entry hears all entries of a region without full mesh.
  bool IsRelay = false;
  /// False while entries are known that this entry has not heard yet, or while
  /// received messages may be old.
  bool MayAgree = true;
};

/// \brief The entries of a region that divide a limit, with their weights.
///
/// An entry uses the fraction of the limit that its own weight is of all
/// weights. The fractions of all running entries add up to at most 1, because
/// each entry uses as its own weight the least one that another entry may still
/// reckon with:
/// - While all others hear this entry and are heard by it, and they hear the
///   same entries, that is the minimum of the weights that it has published
///   within the longest time that a weight takes to reach the others.
/// - Otherwise the weight only falls. A silent entry stays in the sum until its
///   process has restarted, its announced stop is over, or SilentRetention has
///   passed.
/// - An entry that starts has the weight 0 until it agrees with all entries
///   that it was told of, silent ones included.
///
/// In a region without full mesh the relays sum up the weights; an entry uses
/// the greatest recent sum, and agrees while a relay names it.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class share_holders {
public:
  /// \param OwnMesh mesh address of this entry
  explicit share_holders(base::endpoint OwnMesh)
      : OwnMesh(std::move(OwnMesh)) {}

  /// \brief Adds the weights to the status that this entry sends, and whom it
  /// hears.
  /// \param FullMesh the entries of the region hear each other directly
  void addReport(entry_status &Own, bool FullMesh, base::boot_time Now);

  /// \brief Records a heartbeat of another entry of the region.
  /// \param LiveUntil time after which the entry counts as silent
  void recordHeartbeat(const entry_status &Status, base::boot_time LiveUntil,
                       base::boot_time Now);
  /// \brief Records that a relay of the region named this entry, and the sum of
  /// weights that the relay reported.
  void recordRelay(bool NamesThisEntry, const share_weights &Sum,
                   base::boot_time Now);

  /// \brief Recomputes the weights that this entry may use. To be called after
  /// each report and regularly.
  void update(const share_view &View, base::boot_time Now);

  /// \return the fraction of a service's limit that this entry may use
  double shareOf(const std::string &Service) const;
  /// \return the fraction for services without known demand
  double defaultShare() const;
  /// \return whether this entry has agreed with all others of its region since
  /// its start
  bool hasJoined() const { return Joined; }
  /// \return whether this entry may also use an equal part of what the entries
  /// of all regions divide: it has been running for long enough to be known
  /// everywhere
  bool hasEqualPart(base::boot_time Now) const {
    return Joined && Now >= KnownEverywhereAt;
  }
  /// \return whether this entry has agreed with no other one for so long that
  /// it has given its part up
  bool isIsolated() const { return Isolated; }
  /// \return whether the weights of entries that this one does not hear still
  /// count, as a relay reported them
  bool hasRelaySums() const { return !RelaySums.empty(); }
  /// \return whether this entry has heard another one of the region itself, or
  /// was told of its weights
  bool knows(const base::endpoint &Mesh) const {
    return Holders.count(Mesh) != 0;
  }
  /// \return the weights that this entry may use
  const share_weights &usableWeights() const { return Usable; }
  /// \return the other entries that this one has heard itself or was told of,
  /// those of silent entries included
  std::vector<limit_holder> others(base::boot_time Now) const;
  /// \return sum of the weights of the other entries that this one has heard
  /// itself, those of silent entries included
  share_weights othersSum(base::boot_time Now) const;

private:
  struct holder {
    std::uint64_t Incarnation = 0;
    share_weights Weights;
    /// Incarnations that the entry hears.
    std::vector<std::uint64_t> Heard;
    base::boot_time LiveUntil{};
    base::boot_time ReservedUntil{};
  };
  struct recorded_weights {
    base::boot_time At;
    share_weights Weights;
  };

  double startWeight(double Capacity, base::boot_time Now) const;
  void addHolders(entry_status &Own, base::boot_time Now) const;
  bool agrees(const holder &Holder, base::boot_time Now) const;
  bool isKnown(std::uint64_t Incarnation) const;
  bool agreesWithAll(bool FullMesh, base::boot_time Now) const;
  bool updateIsolation(bool FullMesh, base::boot_time Now);

  base::endpoint OwnMesh;
  std::uint64_t OwnIncarnation = 0;
  base::boot_time StartedAt{};
  base::boot_time KnownEverywhereAt{};
  bool Joined = false;
  bool Isolated = false;
  /// By mesh address; without this entry.
  std::map<base::endpoint, holder> Holders;
  /// Weights that this entry has published.
  std::deque<recorded_weights> Published;
  /// Sums that relays have reported.
  std::deque<recorded_weights> RelaySums;
  base::boot_time NamedByRelayUntil{};
  /// Time before which the others may use sums without this entry.
  base::boot_time CountedByOthersAt{};
  base::boot_time IsolatedAfter{};
  share_weights Usable;
  share_weights Total;
};

} // namespace skylarkdyke::membership

#endif
