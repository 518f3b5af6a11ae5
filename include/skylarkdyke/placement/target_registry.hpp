#ifndef SKYLARKDYKE_PLACEMENT_TARGET_REGISTRY_HPP
#define SKYLARKDYKE_PLACEMENT_TARGET_REGISTRY_HPP

#include "skylarkdyke/admission/sliding_window_counter.hpp"
#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/placement/leaving_targets.hpp"
#include "skylarkdyke/routing/route.hpp"
#include "skylarkdyke/routing/target.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace skylarkdyke::placement {

/// \brief Load that a target reported with an answer.
struct reported_load {
  /// Requests that the target is processing.
  unsigned Running = 0;
  /// Requests in the target's queue.
  unsigned Waiting = 0;
  unsigned Slots = 0;
  /// How long work takes on the target's machine at the moment, as a multiple
  /// of the usual time; nothing if the target does not say so.
  std::optional<double> Slowdown;
};

/// \brief Outcome of a send, by what it says about the target.
enum class send_result {
  /// The target sent a complete answer that is none of the failures below.
  Answered,
  /// The target answered with an internal error.
  ErrorAnswer,
  /// The target refused the request without executing it.
  Refused,
  /// The target refused the request and asked for a pause.
  PauseRequested,
  /// The connection was not open yet when the target left or asked for a pause,
  /// so that the request was not sent.
  Withdrawn,
  /// The address belongs to another target.
  WrongTarget,
  /// No connection could be opened.
  Unreachable,
  /// The connection closed early, or the answer was malformed.
  Broken,
  /// No answer arrived before the time-out.
  TimedOut,
  /// The caller disconnected, or another send was answered first.
  Cancelled,
};

/// \brief Result of a search for the next slot of this entry in a rate that all
/// entries divide.
struct target_slot {
  /// Without a slot, the time from which none was searched.
  base::boot_time Start;
  base::boot_time End;
  bool Found = false;
  /// Interval of the slots that were searched.
  std::chrono::nanoseconds Interval{0};
  /// Version of the division for which it was found.
  std::uint64_t DivisionVersion = 0;
};

/// \brief One target with the state that this entry has observed.
struct target_state {
  routing::target Target;
  base::region_name Region;
  /// Hash of the id, for rendezvous hashing.
  std::uint64_t Seed = 0;
  /// Number of this entry's requests that are currently at the target.
  unsigned InFlight = 0;
  /// Requests of other entries at the target, as of LoadReportedAt.
  double OtherEntriesLoad = 0;
  /// Moving average of OtherEntriesLoad, which gains weight as the latest
  /// report ages.
  double AverageOtherEntriesLoad = 0;
  base::boot_time LoadReportedAt{};
  /// Slowdown that the target reported last, relative to the average of its
  /// service; 1 if it has reported none.
  double RelativeSlowdown = 1;
  base::boot_time SlowdownReportedAt{};
  /// Moving average of the ratio of measured to expected processing time.
  double LatencyRatio = 1;
  /// Moving average of the share of sends that failed, from 0 to 1; a refusal
  /// counts as half a failure.
  double FailureRate = 0;
  unsigned ConsecutiveFailures = 0;
  /// Time until which the target is ejected because of failed sends: it gets
  /// requests only if no other target is available.
  base::boot_time EjectedUntil{};
  /// A send after a failure is in flight; until it ends, other requests go to
  /// the target only if no other target is available.
  bool ProbeInFlight = false;
  /// A connection could not be opened, so the target may have restarted: it
  /// counts as cold from its next answer on.
  bool MayHaveRestarted = false;
  /// Time until which the target is cold, for example after its start: it
  /// tolerates only routing::service::ColdRequestsPerSecond.
  base::boot_time ColdUntil{};
  /// Time until which the target may be cold, because it has not said yet that
  /// it is not: it gets requests as if it were.
  base::boot_time MayBeColdUntil{};
  /// Time until which a target that has become cold gets nothing: entries that
  /// did not know of it yet have sent to it as to a warm one.
  base::boot_time RestsUntil{};
  /// Next slot of this entry, as far as it was searched.
  target_slot NextSlot;
  /// Time of this entry's latest send to the target.
  base::boot_time LastSendAt{};
  base::boot_time AddedAt{};
  /// Time from which a target that joined takes over objects.
  base::boot_time TakesOverAt{};
  /// The target was added after the initial fill of the registry, while this
  /// entry was serving.
  bool Joined = false;
  /// This entry has sent requests to the target.
  bool WasUsed = false;
  /// The target answered that the address belongs to another target: it gets no
  /// requests until its start time or address changes.
  bool WrongAddress = false;
  /// Time until which a target that has said that it leaves gets requests, and
  /// only those that no other target can take; nothing if it has not said so.
  std::optional<base::boot_time> UsableUntil;
  /// Time until which the target gets no requests because it asked for a pause.
  base::boot_time PausedUntil{};
  /// Time from which a removed record is no longer used. It lies in the future
  /// after a store outage, because records that expired in the outage return
  /// soon after it.
  std::optional<base::boot_time> RemovedAt;
};

/// \brief Registry of the targets of all services with their state.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class target_registry {
public:
  /// \param RegionOf region of each failure domain
  explicit target_registry(
      std::map<base::domain_name, base::region_name> RegionOf);

  /// \brief Adds or updates a target. A different start time or address under
  /// the same id resets the observed state.
  /// \return false if the failure domain of the record is unknown
  bool upsert(const routing::target &Target, base::boot_time Now);

  /// \brief Removes a target as of a time, which may lie in the future.
  /// \return false if the target is unknown or its removal is known already
  bool remove(const base::target_id &Id, base::boot_time At);

  /// \brief Removes all targets that are not listed, as of a time.
  /// \return number of targets whose removal was not known before
  std::size_t removeUnlisted(const std::set<base::target_id> &Listed,
                             base::boot_time At);

  /// \brief Postpones the removals that are not due yet to a time, unless that
  /// is earlier.
  void postponeRemovals(base::boot_time Now, base::boot_time Until);

  /// \brief Erases targets whose removal time has passed and that have no
  /// requests of this entry in flight.
  void sweep(base::boot_time Now);

  /// \brief Starts an evacuation: the targets of the domain get no new
  /// requests.
  void startEvacuation(const base::domain_name &Domain);
  /// \brief Ends an evacuation; the targets of the domain count as cold.
  /// \param ColdTime how long targets stay cold after the evacuation
  void endEvacuation(const base::domain_name &Domain,
                     std::chrono::milliseconds ColdTime, base::boot_time Now);
  /// \return failure domains that are being evacuated
  const std::set<base::domain_name> &evacuatedDomains() const {
    return Evacuated;
  }

  /// \brief Records the start of a send.
  void beginSend(const base::target_id &Id, base::boot_time Now);

  /// \brief Records the outcome of a send.
  /// \param ColdTime how long a target that may have restarted stays cold
  void endSend(const base::target_id &Id, send_result Result,
               std::chrono::milliseconds ColdTime, base::boot_time Now);

  /// \brief Records that a target leaves. It need not be registered yet, and
  /// no record of the same incarnation clears the notice.
  /// \return true if the incarnation was not known to leave
  bool recordLeaving(const leaving_notice &Notice);
  /// \return the notices of targets that leave
  const leaving_targets &leavingTargets() const { return Leaving; }

  /// \brief Records that a target wants no requests until a time. An earlier
  /// request for a longer pause still holds.
  void recordPause(const target_incarnation &Target, base::boot_time Until);

  /// \brief Records that a target has said that it is cold until a time.
  /// \return true if it was not known to be cold for so long
  bool recordCold(const target_incarnation &Target, base::boot_time Until,
                  base::boot_time Now);

  /// \brief Records that a target may be cold until a time, because it is late
  /// to say whether it is.
  /// \param Until now or earlier if it has said that it is not cold
  /// \return true if that is news for other entries too
  bool recordMayBeCold(const target_incarnation &Target, base::boot_time Until,
                       base::boot_time Now);

  /// \brief Records the load that the target reported with an answer.
  void recordReportedLoad(const base::target_id &Id, const reported_load &Load,
                          base::boot_time Now);

  /// \brief Records the ratio of measured to expected processing time.
  void recordLatencyRatio(const base::target_id &Id, double Ratio);

  /// \return the state of a target, or null if the id is unknown
  target_state *find(const base::target_id &Id);
  const target_state *find(const base::target_id &Id) const;
  /// \brief Calls a function with each target, removed ones included.
  void forEach(const std::function<void(const target_state &)> &Visit) const;
  /// \return targets of a service in order of their ids; empty for an unknown
  /// service
  const std::vector<target_state *> &
  targetsOf(const base::service_name &Service) const;

  /// \brief Whether a target has said in its responses that it wants no
  /// requests now: it leaves and its time of use has passed, or it pauses.
  static bool declinesRequests(const target_state &State, base::boot_time Now);

  /// \return time until which a target tolerates only its cold rate, as far as
  /// is known
  static base::boot_time coldEnd(const target_state &State) {
    return std::max(State.ColdUntil, State.MayBeColdUntil);
  }

  /// \brief Whether a target tolerates only its cold rate, as far as is known.
  static bool isCold(const target_state &State, base::boot_time Now) {
    return coldEnd(State) > Now;
  }

  /// \brief Whether new requests may be sent to a target: it is not draining,
  /// evacuated or removed, it does not decline requests, and its address is not
  /// known to be wrong.
  bool acceptsRequests(const target_state &State, base::boot_time Now) const;

  /// \brief Returns the weight by which objects are assigned to a target: its
  /// slots. The weight of a target that joins grows to that evenly, so that its
  /// objects move to it one after the other. Until it is no longer cold the
  /// weight stays minimal.
  static double placementWeight(const target_state &State, base::boot_time Now);

  /// \return by how much longer work takes at a target than on average of its
  /// service: what it reported last, which loses its weight within seconds
  static double expectedSlowdown(const target_state &State,
                                 base::boot_time Now);

  /// \return estimated number of requests currently at the target, those of
  /// other entries included
  double expectedLoad(const target_state &State, base::boot_time Now) const;

  /// \return number of targets, including removed ones that are not erased yet
  std::size_t size() const { return States.size(); }
  /// \return number of targets that are ejected because of failed sends
  std::size_t ejectedCount(base::boot_time Now) const;
  /// \return number of registered targets that have said that they leave
  std::size_t leavingCount() const;
  /// \return number of targets that get no requests because of a pause
  std::size_t pausedCount(base::boot_time Now) const;
  /// \return number of cold targets
  std::size_t coldCount(base::boot_time Now) const;

private:
  void addToIndex(target_state &State);
  void removeFromIndex(const target_state &State);
  static void markCold(target_state &State, base::boot_time Until,
                       base::boot_time Now);
  static void startRest(target_state &State, base::boot_time Now);
  void eject(target_state &State, base::boot_time Now);
  void updateUsableUntil(target_state &State) const;
  target_state *findIncarnation(const target_incarnation &Target);

  std::map<base::domain_name, base::region_name> RegionOf;
  std::unordered_map<base::target_id, std::unique_ptr<target_state>> States;
  std::unordered_map<base::service_name, std::vector<target_state *>> ByService;
  /// Moving average of the slowdowns that the targets of a service report.
  std::unordered_map<base::service_name, double> AverageSlowdown;
  std::set<base::domain_name> Evacuated;
  leaving_targets Leaving;
  /// Time at which the first target was added.
  std::optional<base::boot_time> FirstAddedAt;
};

} // namespace skylarkdyke::placement

#endif
