#ifndef SKYLARKDYKE_PLACEMENT_PLACER_HPP
#define SKYLARKDYKE_PLACEMENT_PLACER_HPP

#include "skylarkdyke/admission/admission_controller.hpp"
#include "skylarkdyke/placement/move_counter.hpp"
#include "skylarkdyke/placement/processing_time_model.hpp"
#include "skylarkdyke/placement/region_shares.hpp"
#include "skylarkdyke/placement/send_slots.hpp"
#include "skylarkdyke/placement/target_registry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace skylarkdyke::placement {

/// \brief A request for which a target is to be chosen.
struct placement_query {
  const routing::route *Route = nullptr;
  const routing::service *Service = nullptr;
  /// Hash of the key of the object that the request concerns, or of the request
  /// id if the request names no object.
  std::uint64_t ObjectHash = 0;
  /// Time after which an answer is of no use to the caller.
  base::boot_time Deadline;
  /// Latest completion time that meets the route's latency objective.
  base::boot_time ObjectiveDeadline;
  /// Targets to which this request has already been sent; they are excluded.
  std::vector<base::target_id> TriedTargets{};
  /// Team of the caller; null if the route needs none.
  const routing::team *Team = nullptr;
};

/// \brief The target chosen for a request, with the estimates on which the
/// choice is based.
struct chosen_target {
  base::target_id Id;
  base::endpoint Address;
  /// The target recently answered a request of this entry for the object.
  bool Warm = false;
  /// Expected processing time at the target, without waiting for a slot.
  std::chrono::nanoseconds ExpectedProcessingTime{0};
  /// Expected time until the target has a free slot.
  std::chrono::nanoseconds ExpectedWait{0};
  /// Estimated number of requests at the target at the time of the choice.
  double ExpectedLoad = 0;
  std::int64_t StartedAtMs = 0;

  target_incarnation incarnation() const { return {Id, Address, StartedAtMs}; }
};

/// \brief Why no target was found.
enum class no_target_reason {
  /// No target of the service accepts requests.
  NoTarget,
  /// The targets that would accept requests have asked for a pause.
  Paused,
  /// The best target is full or would answer too late.
  NoRoom,
  /// The targets are cold, and the request rate that they tolerate is currently
  /// left to other entries.
  ColdLimit,
};

/// \brief Why a request got no target, and when the caller may retry.
struct no_target {
  no_target_reason Reason;
  /// Time after which a target is expected to have capacity.
  std::chrono::nanoseconds RetryAfter{0};
};

/// \brief Result of the choice of a target.
using placement_result = std::variant<chosen_target, no_target>;

/// \brief Chooses the target with the earliest expected completion time, plus
/// the cost to other requests if the target is probably not warm.
///
/// A target is warm for an object that it has recently handled: it processes
/// further requests for the object faster. Each object has a home region and,
/// within it, a ranking of the targets on which all entries agree (rendezvous
/// hashing), so that targets stay warm for their objects. The choice weighs
/// waiting at a warm target against the longer processing at a free one that is
/// not warm. It is designed for loads near the capacity of warm targets, which
/// exceed the capacity of targets that are not warm.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class placer {
public:
  /// \param OwnRegion region of this entry
  placer(target_registry &Registry, base::region_name OwnRegion);
  ~placer();

  /// \brief Replaces what this entry knows of the division of the rates of cold
  /// targets.
  void setRateDivision(rate_division Next);
  const rate_division &rateDivision() const { return Division; }
  /// \return part of the rate of a cold target that this entry has, from 0 to 1
  double partOfColdRate(const target_state &State,
                        const routing::service &Service) const;
  /// \return whether a target is in the region of this entry
  bool isInOwnRegion(const target_state &State) const {
    return State.Region == OwnRegion;
  }

  /// \brief Sets the demand: requests per second from the callers of each
  /// region.
  void setDemand(const base::service_name &Service,
                 std::map<base::region_name, double> Demand);

  /// \return requests per second from a region's callers; 0 if unknown
  double demand(const base::service_name &Service,
                const base::region_name &Region) const;

  /// \brief Chooses a target for a request.
  /// \return the target, or the reason why there is none
  placement_result choose(const placement_query &Query, base::boot_time Now);

  /// \return how often objects have changed their target at this entry
  const move_counter &moves() const { return Moves; }

  /// \brief Returns the time until the first target that is allowed for a
  /// request accepts requests; 0 if one accepts them now or if none is known.
  std::chrono::nanoseconds timeUntilTarget(const placement_query &Query,
                                           base::boot_time Now) const;

  /// \brief Records that a target wants no requests of this entry until a time.
  /// This entry waits a little longer, so that not all entries return to the
  /// target at the same instant.
  void recordPause(const routing::service &Service,
                   const target_incarnation &Target, base::boot_time Until);

  /// \brief Updates the estimates from an answered request.
  /// \param Latency time from the send to the answer, network included
  void recordAnswer(const placement_query &Query, const chosen_target &Chosen,
                    std::chrono::nanoseconds Latency, base::boot_time Now);

  /// \brief Updates the round-trip time to a target's region.
  /// \param Time time that it took to open a connection to the target; values
  /// of 0 or less are ignored
  void recordRoundTrip(const base::target_id &Id,
                       std::chrono::nanoseconds Time);

private:
  struct candidate;
  struct best_candidates;
  /// Distribution of objects over the regions.
  struct region_distribution {
    rate_limited_shares Shares;
    base::boot_time NextUpdateAt{};
  };
  region_loads regionLoads(const placement_query &Query,
                           base::boot_time Now) const;
  region_distribution &distributionOf(const placement_query &Query);
  base::region_name homeRegion(const placement_query &Query,
                               base::boot_time Now);
  std::vector<candidate> candidatesFor(const placement_query &Query,
                                       const base::region_name *Region,
                                       bool Leaving, base::boot_time Now) const;
  std::vector<candidate> allCandidates(const placement_query &Query,
                                       const base::region_name *Region,
                                       base::boot_time Now) const;
  best_candidates findBest(std::vector<candidate> &Candidates,
                           const placement_query &Query, base::boot_time Now);
  no_target explainNoCandidate(const placement_query &Query,
                               base::boot_time Now) const;
  double entryPhase(const target_state &State) const;
  void score(candidate &Candidate, std::size_t Rank,
             const placement_query &Query,
             const processing_time_estimate &Estimate,
             base::boot_time Now) const;
  target_slot findSlot(const target_state &State,
                       const routing::service &Service,
                       const slot_sequence &Slots, base::boot_time Now) const;
  base::boot_time nextSendAt(target_state &State,
                             const routing::service &Service, double Rate,
                             base::boot_time Now) const;
  bool mayUseFirst(target_state &State, const routing::service &Service,
                   base::boot_time Now) const;
  const candidate *unusedTarget(const std::vector<candidate> &Candidates,
                                const placement_query &Query,
                                base::boot_time Now) const;
  bool hasCapacity(const candidate &Best, const placement_query &Query,
                   base::boot_time Now);
  std::chrono::nanoseconds roundTrip(const base::region_name &Region) const;

  target_registry &Registry;
  base::region_name OwnRegion;
  rate_division Division;
  /// Rises whenever slots may have changed their owner.
  std::uint64_t DivisionVersion = 1;
  processing_time_model ProcessingTimes;
  admission::admission_controller Admission;
  move_counter Moves;
  std::unordered_map<base::service_name, std::map<base::region_name, double>>
      Demand;
  /// By route, and by the regions in which its requests may be executed; no
  /// regions if all are allowed.
  std::unordered_map<std::string, std::map<std::vector<base::region_name>,
                                           region_distribution>>
      Distributions;
  std::map<base::region_name, std::chrono::nanoseconds> RoundTrips;
};

/// \return hash of an object's key, seeded by the name of its route
std::uint64_t hashObject(const std::string &RouteName, std::string_view Key);

} // namespace skylarkdyke::placement

#endif
