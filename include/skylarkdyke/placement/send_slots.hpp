#ifndef SKYLARKDYKE_PLACEMENT_SEND_SLOTS_HPP
#define SKYLARKDYKE_PLACEMENT_SEND_SLOTS_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylarkdyke::placement {

/// \brief An entry among those that divide a rate.
struct rate_holder {
  /// Hash of the entry's name, on which all entries agree.
  std::uint64_t Seed = 0;
  /// Weight for services that are not listed; an entry without weight has no
  /// part of the rate.
  double DefaultWeight = 0;
  std::map<std::string, double> WeightByService{};

  double weightFor(const base::service_name &Service) const;
  friend bool operator==(const rate_holder &Left, const rate_holder &Right);
};

/// \brief How the entries divide the request rates that targets tolerate, as
/// far as this entry knows.
///
/// Time is cut into slots of one request each, and every slot of a target
/// belongs to one entry: by weighted rendezvous hashing among the entries of
/// the target's region or, if that has none, of a region that is drawn for the
/// slot. Entries that know the same holders agree without a message; two
/// entries claim one slot only if one of them does not know the other.
struct rate_division {
  /// This entry, with the weights that it may use.
  rate_holder Own{0, 1, {}};
  /// The other entries of the own region, silent ones included while they may
  /// use their part.
  std::vector<rate_holder> Others;
  /// Regions that have entries of their own. Entries of other regions leave
  /// the targets there to them.
  std::set<base::region_name> RegionsWithEntries;
  /// This entry may send to targets in regions without entries: the entries of
  /// all regions know it, and it knows them.
  bool UsesOtherRegions = false;
  /// Instant from which all entries count slots, by the wall clock. While the
  /// clocks of entries differ, their slots overlap, but have the same rate.
  base::boot_time SlotOrigin{};

  /// \return this entry's fraction of the rate of targets of its region, from 0
  /// to 1
  double ownPart(const base::service_name &Service) const;
};

/// \brief Bounds a new division by the previous one.
///
/// After a pause of the process the other entries seem to be dead, although
/// they have gone on to use their parts: until their heartbeats are heard
/// again, this entry must not use more than before.
rate_division limitToPrevious(rate_division Next,
                              const rate_division &Previous);

/// \brief A slot: one request may be sent in it.
struct send_slot {
  std::int64_t Index = 0;
  base::boot_time Start;
  /// The slot is lost if it is not used before.
  base::boot_time End;
};

/// \brief Slots of a rate. They begin at even intervals and overlap, so that
/// entries with few requests use theirs too: a target gets at most the requests
/// of one and a half seconds, rounded up, or two requests, within a second.
class slot_sequence {
public:
  /// \param Origin start of the slot with the index 0
  /// \param RequestsPerSecond positive rate; the interval is bounded to between
  /// a microsecond and an hour
  slot_sequence(base::boot_time Origin, double RequestsPerSecond);

  /// \return time between the starts of consecutive slots
  std::chrono::nanoseconds interval() const { return Interval; }
  send_slot at(std::int64_t Index) const;
  /// \return the first slot that starts at a time or later
  send_slot firstFrom(base::boot_time Time) const;
  /// \return the earliest slot that has not ended
  send_slot earliestAt(base::boot_time Now) const;

private:
  std::chrono::nanoseconds length() const;

  base::boot_time Origin;
  std::chrono::nanoseconds Interval;
};

/// \brief A target as far as it matters who may use its slots.
struct slot_target {
  const base::region_name &Region;
  /// Hash of the target's incarnation.
  std::uint64_t Seed;
};

/// \return whether a slot of a target belongs to this entry
/// \param OwnRegion region of this entry
bool ownsSlot(const rate_division &Division, const base::region_name &OwnRegion,
              const base::service_name &Service, const slot_target &Target,
              std::int64_t SlotIndex);

} // namespace skylarkdyke::placement

#endif
