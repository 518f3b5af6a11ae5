#include "skylarkdyke/placement/send_slots.hpp"

#include <algorithm>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using placement::rate_division;
using placement::rate_holder;
using placement::slot_sequence;

static const base::region_name North("north");
static const base::region_name South("south");
static const base::region_name West("west");
static const base::service_name Stock("stock");

static rate_holder holderOf(std::uint64_t Entry, double Weight) {
  return {(Entry + 1) * 0x9E3779B97F4A7C15U, 0.1, {{"stock", Weight}}};
}

/// Returns the divisions of entries that know each other, by their weights.
static std::vector<rate_division>
divisionsOf(const std::vector<double> &Weights) {
  std::vector<rate_division> Divisions(Weights.size());
  for (std::size_t Own = 0; Own < Weights.size(); ++Own) {
    Divisions[Own].Own = holderOf(Own, Weights[Own]);
    for (std::size_t Other = 0; Other < Weights.size(); ++Other)
      if (Other != Own)
        Divisions[Own].Others.push_back(holderOf(Other, Weights[Other]));
  }
  return Divisions;
}

static bool owns(const rate_division &Division, const base::region_name &Region,
                 std::int64_t Slot) {
  return placement::ownsSlot(Division, North, Stock, {Region, 42}, Slot);
}

TEST_GROUP(placement_send_slots){};

// Guards against a slot that two entries use or none does, and against parts
// that do not follow the demand.
TEST(placement_send_slots, EverySlotHasOneOwnerByDemand) {
  const auto Divisions = divisionsOf({1, 2, 0, 5});
  std::vector<int> Owned(Divisions.size());
  for (std::int64_t Slot = -2000; Slot < 2000; ++Slot) {
    int Owners = 0;
    for (std::size_t Entry = 0; Entry < Divisions.size(); ++Entry)
      if (owns(Divisions[Entry], North, Slot)) {
        ++Owners;
        ++Owned[Entry];
      }
    LONGS_EQUAL(1, Owners);
  }
  DOUBLES_EQUAL(500, Owned[0], 100);
  DOUBLES_EQUAL(1000, Owned[1], 150);
  LONGS_EQUAL(0, Owned[2]);
  DOUBLES_EQUAL(2500, Owned[3], 150);
}

// Guards against slots of a region without entries that two regions use, or
// that an entry uses which the others may not know.
TEST(placement_send_slots, SlotsOfARegionWithoutEntriesFallToOneRegion) {
  rate_division Division;
  Division.Own = holderOf(0, 1);
  Division.RegionsWithEntries = {North, South};
  CHECK(!owns(Division, West, 1));
  Division.UsesOtherRegions = true;
  int Owned = 0;
  for (std::int64_t Slot = 0; Slot < 1000; ++Slot) {
    const bool OwnedFromNorth = owns(Division, West, Slot);
    const bool OwnedFromSouth =
        placement::ownsSlot(Division, South, Stock, {West, 42}, Slot);
    CHECK(OwnedFromNorth != OwnedFromSouth);
    CHECK(!owns(Division, South, Slot));
    Owned += OwnedFromNorth ? 1 : 0;
  }
  DOUBLES_EQUAL(500, Owned, 80);
}

// Guards against slots beyond a second and a half of the rate within a second.
TEST(placement_send_slots, SlotsBeginEvenlyAndEnd) {
  for (const double Rate : {0.1, 1.0, 3.1, 12.0}) {
    const base::boot_time Origin{-100h};
    const slot_sequence Slots(Origin, Rate);
    for (auto Now = base::boot_time{1h}; Now < base::boot_time{1h} + 20s;
         Now += 37ms) {
      const auto First = Slots.earliestAt(Now);
      CHECK(First.End > Now);
      CHECK(Slots.at(First.Index - 1).End <= Now);
      std::int64_t Index = First.Index;
      while (Slots.at(Index).Start < Now + 1s)
        ++Index;
      CHECK(static_cast<double>(Index - First.Index) <=
            std::max(2.0, 1.5 * Rate + 1));
    }
  }
}

// Guards against a rate in a configuration that ends the process.
TEST(placement_send_slots, OddRatesHaveSlotsToo) {
  const base::boot_time Now{1h};
  for (const double Rate : {1e-300, 1e-9, 1e9, 1e300}) {
    const slot_sequence Slots(base::boot_time{-500000h}, Rate);
    const auto Slot = Slots.earliestAt(Now);
    CHECK(Slot.End > Now);
    CHECK(Slot.Start <= Now);
  }
}
