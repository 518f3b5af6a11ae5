#include "skylarkdyke/admission/retry_allowance.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::service_name Service("orders");
static const base::boot_time Start(1h);

TEST_GROUP(admission_limits){};

// Guards against events that expire too early or never.
TEST(admission_limits, CountsTheEventsWithinTheWindow) {
  admission::sliding_window_counter Counter(10s);
  for (int Second = 0; Second < 20; ++Second)
    Counter.add(Start + std::chrono::seconds(Second));
  CHECK(Counter.count(Start + 19s) >= 10);
  CHECK(Counter.count(Start + 19s) <= 11);
  LONGS_EQUAL(0, Counter.count(Start + 40s));
}

// Guards against entries that together exceed the retry bound when every target
// fails and every request needs a retry.
TEST(admission_limits, AllEntriesTogetherRespectTheBound) {
  static constexpr unsigned Entries = 10;
  const admission::retry_bound Bound{0.2, 60, 10s};
  std::vector<admission::retry_allowance> Allowances(
      Entries, admission::retry_allowance(Bound));
  unsigned Retries = 0;
  unsigned Requests = 0;
  for (auto Time = 0ms; Time < 10s; Time += 10ms) {
    auto &Allowance =
        Allowances[static_cast<std::size_t>(Time.count() / 10) % Entries];
    Allowance.countRequest(Service, Start + Time);
    ++Requests;
    Retries += Allowance.tryRetry(Service, Entries, Start + Time) ? 1 : 0;
  }
  CHECK(Retries <= 0.2 * Requests + 60);
  CHECK(Retries >= 60);
}

// Guards against an allowance that is shared by services: the retries of one
// would exhaust that of another.
TEST(admission_limits, ServicesHaveSeparateAllowances) {
  admission::retry_allowance Allowance({0, 2, 10s});
  CHECK(Allowance.tryRetry(Service, 1, Start));
  CHECK(!Allowance.tryRetry(Service, 1, Start));
  CHECK(Allowance.tryRetry(base::service_name("stock"), 1, Start));
}
