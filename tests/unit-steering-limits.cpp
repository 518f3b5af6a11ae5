#include "skylarkdyke/steering/region_choice.hpp"
#include "skylarkdyke/steering/retry_budget.hpp"
#include "skylarkdyke/steering/shift_limiter.hpp"

#include <algorithm>
#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const base::service_name Service("orders");
static const base::boot_time Start(1h);

TEST_GROUP(steering_limits){};

// Guards against retries that multiply the load of an overloaded service.
TEST(steering_limits, RetriesNeverExceedATenthOfTheRequests) {
  CHECK(rc::check([](const std::vector<bool> &IsRetry) {
    steering::retry_budget Budget;
    unsigned Requests = 0;
    unsigned Retries = 0;
    for (const bool Retry : IsRetry) {
      // Several requests a step, or the budget would stay empty.
      Requests += Retry ? 0 : 7;
      for (int I = 0; I < 7 && !Retry; ++I)
        Budget.countRequest(Service);
      Retries += Retry && Budget.tryRetry(Service) ? 1 : 0;
      RC_ASSERT(Retries * 10 <= Requests);
    }
    RC_ASSERT(!Budget.tryRetry(base::service_name("other")));
  }));
}

// Guards against a burst of retries saved up over a long quiet time.
TEST(steering_limits, SavedRetriesAreBounded) {
  steering::retry_budget Budget;
  for (int I = 0; I < 100000; ++I)
    Budget.countRequest(Service);
  int Retries = 0;
  while (Budget.tryRetry(Service))
    ++Retries;
  LONGS_EQUAL(steering::retry_budget::MaxSavedRetries, Retries);
}

// Guards against traffic that moves to another region for no gain, stays in an
// overloaded one, or goes where it cannot run.
TEST(steering_limits, LeavesTheRegionOnlyWhenTheWaitExceedsTheRoundTrip) {
  steering::region_option Own{base::region_name("own"), true, 35ms, 0ms};
  steering::region_option Far{base::region_name("far"), true, 0ms, 35ms};
  const steering::region_option Full{base::region_name("full"), false, 0ms,
                                     0ms};
  const auto Choose = [&] {
    const auto Region = steering::chooseRegion(Own, {Full, Far});
    return Region ? Region->str() : "";
  };
  STRCMP_EQUAL("own", Choose().c_str());
  Own.ExpectedWait = 36ms;
  STRCMP_EQUAL("far", Choose().c_str());
  Far.ExpectedWait = 2ms;
  STRCMP_EQUAL("own", Choose().c_str());
  Own.Usable = false;
  Far.ExpectedWait = steering::expectedWait(3, 0, 1ms);
  STRCMP_EQUAL("far", Choose().c_str());
  Far.Usable = false;
  STRCMP_EQUAL("", Choose().c_str());
  CHECK(steering::expectedWait(12, 4, 2ms) == 6ms);
}

/// Offers requests at even distances for one second, of which some fail over.
/// Returns how many were let through.
static int offer(steering::shift_limiter &Limiter, base::boot_time Second,
                 int Rate, int OneIn) {
  int Shifted = 0;
  for (int I = 0; I < Rate; ++I) {
    const auto Now = Second + std::chrono::nanoseconds(1s) * I / Rate;
    Limiter.countRequest(Service, Now);
    if (OneIn > 0 && I % OneIn == 0)
      Shifted += Limiter.tryShift(Service, Now) ? 1 : 0;
  }
  return Shifted;
}

// Guards against a failover that fills another region at once, and against one
// that never completes.
TEST(steering_limits, FailoverRisesByTheCapAndCompletes) {
  steering::shift_limiter Limiter(10);
  base::boot_time Now = Start;
  for (int Second = 0; Second < 60; ++Second, Now += 1s)
    LONGS_EQUAL(0, offer(Limiter, Now, 1000, 0));
  int Before = 0;
  for (int Second = 1; Second <= 15; ++Second, Now += 1s) {
    const int Shifted = offer(Limiter, Now, 1000, 1);
    CHECK(Shifted <= Before + 101);
    Before = Shifted;
  }
  LONGS_EQUAL(1000, Before);
}

// Guards against a low rate at which a tenth of a request per second would
// round to none.
TEST(steering_limits, LowRatesFailOverToo) {
  steering::shift_limiter Limiter(10);
  base::boot_time Now = Start;
  int Shifted = 0;
  for (int Second = 0; Second < 60; ++Second, Now += 1s)
    Shifted += offer(Limiter, Now, 2, 1);
  CHECK(Shifted > 60);
}

// Guards against any pattern of load that lets more through in a second than
// the most in an earlier one plus the cap.
TEST(steering_limits, NoPatternPassesTheCap) {
  CHECK(rc::check([] {
    steering::shift_limiter Limiter(10);
    base::boot_time Now = Start;
    int Most = 0;
    int Largest = 0;
    const int Seconds = *rc::gen::inRange(1, 60);
    for (int Second = 0; Second < Seconds; ++Second, Now += 1s) {
      const int Rate = *rc::gen::inRange(0, 1000);
      Largest = std::max(Largest, Rate);
      const int Shifted = offer(Limiter, Now, Rate, *rc::gen::inRange(0, 4));
      // One request for the whole number, one for the saved allowance.
      RC_ASSERT(Shifted <= Most + 0.1 * Largest + 0.02 * Most + 2);
      Most = std::max(Most, Shifted);
    }
  }));
}
