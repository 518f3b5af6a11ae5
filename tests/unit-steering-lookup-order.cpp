#include "skylarkdyke/steering/dispatcher.hpp"
#include "skylarkdyke/steering/lookup_order.hpp"

#include <map>
#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::region_name North("north");
static const base::region_name East("east");
static const base::region_name West("west");

static entries::member makeMember(const std::string &Name,
                                  const base::region_name &Region) {
  entries::member Member;
  Member.Name = base::entry_name(Name);
  Member.Region = Region;
  Member.Ready = true;
  Member.Reachable = true;
  return Member;
}

static config::document makeDocument() {
  config::document Document;
  Document.Links = {{North, East, 1, 55ms}, {North, West, 1, 35ms}};
  return Document;
}

TEST_GROUP(steering_lookup_order) {
  std::vector<entries::member> Members{
      makeMember("n1", North), makeMember("n2", North), makeMember("e1", East),
      makeMember("e2", East), makeMember("w1", West)};
  const base::service_name Service{"stock-view"};

  std::vector<std::string> namesFor(const base::region_name &Region) {
    const steering::lookup_order Order(makeDocument(), Members);
    std::vector<std::string> Names;
    for (const entries::member *Member : Order.entriesFor(Service, Region))
      Names.push_back(Member->Name.str());
    return Names;
  }
};

// Guards against an extra hop for most requests, when the dispatcher is not
// first, and against returning distant regions before near ones.
TEST(steering_lookup_order, DispatcherThenOwnRegionThenByRoundTrip) {
  const auto Names = namesFor(North);
  LONGS_EQUAL(4, Names.size());
  CHECK(Names[0] ==
        steering::dispatcherOf(Service, North, Members)->Name.str());
  CHECK(Names[1] == (Names[0] == "n1" ? "n2" : "n1"));
  CHECK(Names[2] == "w1");
  CHECK(Names[3].front() == 'e');
}

// Guards against lookups that return entries which cannot serve requests.
TEST(steering_lookup_order, SkipsMembersThatAcceptNoRequests) {
  Members[0].Leaving = true;
  Members[1].Reachable = false;
  Members[4].Ready = false;
  const auto Names = namesFor(North);
  LONGS_EQUAL(2, Names.size());
  CHECK(Names[0].front() == 'e');
  POINTERS_EQUAL(nullptr, steering::dispatcherOf(Service, North, Members));
  Members.clear();
  CHECK(namesFor(North).empty());
}

// Guards against a lookup result that becomes useless when its region fails,
// because all its entries are in that region.
TEST(steering_lookup_order, LastEntryIsInAnotherRegion) {
  for (const char *Name : {"n3", "n4", "n5"})
    Members.push_back(makeMember(Name, North));
  const auto Names = namesFor(North);
  LONGS_EQUAL(4, Names.size());
  CHECK(Names[2].front() == 'n');
  CHECK(Names[3] == "w1");
}

// Guards against services that move between unchanged entries when another
// entry leaves, and against an uneven distribution of services.
TEST(steering_lookup_order,
     MembershipChangesMoveOnlyTheServicesOfTheChangedEntry) {
  CHECK(rc::check([] {
    std::vector<entries::member> All;
    const int Count = *rc::gen::inRange(2, 12);
    All.reserve(static_cast<std::size_t>(Count));
    const auto Suffix = std::to_string(*rc::gen::inRange(0, 1000000));
    for (int I = 0; I < Count; ++I)
      All.push_back(makeMember(std::to_string(I) + "-" + Suffix, North));
    std::vector<entries::member> Remaining = All;
    const auto Removed = static_cast<std::size_t>(*rc::gen::inRange(0, Count));
    Remaining[Removed].Leaving = true;
    std::map<std::string, int> Load;
    for (int I = 0; I < 1000; ++I) {
      const base::service_name AnyService("s" + std::to_string(I));
      const auto Before = steering::dispatcherOf(AnyService, North, All)->Name;
      const auto After =
          steering::dispatcherOf(AnyService, North, Remaining)->Name;
      RC_ASSERT(Before == After || Before == All[Removed].Name);
      ++Load[Before.str()];
    }
    for (const auto &[Name, Services] : Load)
      RC_ASSERT(Services < 2 * 1000 / Count);
  }));
}
