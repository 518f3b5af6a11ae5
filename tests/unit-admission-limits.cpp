#include "skylarkdyke/admission/retry_allowance.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::service_name Service("orders");
static const base::boot_time Start(1h);

TEST_GROUP(admission_limits){};

// Guards against events that are forgotten too early or never.
TEST(admission_limits, CountsTheEventsOfTheLastWindow) {
  admission::sliding_count Count(10s);
  for (int Second = 0; Second < 20; ++Second)
    Count.add(Start + std::chrono::seconds(Second));
  CHECK(Count.count(Start + 19s) >= 10);
  CHECK(Count.count(Start + 19s) <= 11);
  LONGS_EQUAL(0, Count.count(Start + 40s));
}

// Guards against retries of all entries together beyond the common bound, while
// every target fails and every request asks for a retry.
TEST(admission_limits, TheSumOfAllEntriesKeepsTheBound) {
  static constexpr unsigned Entries = 10;
  const admission::retry_bound Bound{0.2, 60, 10s};
  std::vector<admission::retry_allowance> All(
      Entries, admission::retry_allowance(Bound));
  unsigned Retries = 0;
  unsigned Requests = 0;
  for (auto Time = 0ms; Time < 10s; Time += 10ms) {
    auto &Entry = All[static_cast<std::size_t>(Time.count() / 10) % Entries];
    Entry.countRequest(Service, Start + Time);
    ++Requests;
    Retries += Entry.tryRetry(Service, Entries, Start + Time) ? 1 : 0;
  }
  CHECK(Retries <= 0.2 * Requests + 60);
  CHECK(Retries >= 60);
}

// Guards against one service's retries that use up another's allowance.
TEST(admission_limits, ServicesHaveAllowancesOfTheirOwn) {
  admission::retry_allowance Allowance({0, 2, 10s});
  CHECK(Allowance.tryRetry(Service, 1, Start));
  CHECK(!Allowance.tryRetry(Service, 1, Start));
  CHECK(Allowance.tryRetry(base::service_name("stock"), 1, Start));
}
