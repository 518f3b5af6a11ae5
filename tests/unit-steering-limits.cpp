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
      // With one request per step, the budget would stay empty.
      Requests += Retry ? 0 : 7;
      for (int I = 0; I < 7 && !Retry; ++I)
        Budget.countRequest(Service);
      Retries += Retry && Budget.tryRetry(Service) ? 1 : 0;
      RC_ASSERT(Retries * 10 <= Requests);
    }
    RC_ASSERT(!Budget.tryRetry(base::service_name("other")));
  }));
}

// Guards against a burst of retries whose tokens accumulated over a long time
// without failures.
TEST(steering_limits, RetryBurstIsBounded) {
  steering::retry_budget Budget;
  for (int I = 0; I < 100000; ++I)
    Budget.countRequest(Service);
  int Retries = 0;
  while (Budget.tryRetry(Service))
    ++Retries;
  LONGS_EQUAL(steering::retry_budget::MaxBurstRetries, Retries);
}

// Guards against requests that move to another region without a shorter delay,
// stay in an overloaded region, or go to a region without usable targets.
TEST(steering_limits, LeavesTheRegionOnlyWhenTheWaitExceedsTheRoundTrip) {
  steering::region_option Own{base::region_name("own"), true, 35ms, 0ms};
  steering::region_option Remote{base::region_name("far"), true, 0ms, 35ms};
  const steering::region_option Unusable{base::region_name("full"), false, 0ms,
                                         0ms};
  const auto Choose = [&] {
    const auto Region = steering::chooseRegion(Own, {Unusable, Remote});
    return Region ? Region->str() : "";
  };
  STRCMP_EQUAL("own", Choose().c_str());
  Own.ExpectedWait = 36ms;
  STRCMP_EQUAL("far", Choose().c_str());
  Remote.ExpectedWait = 2ms;
  STRCMP_EQUAL("own", Choose().c_str());
  Own.Usable = false;
  Remote.ExpectedWait = steering::expectedWait(3, 0, 1ms);
  STRCMP_EQUAL("far", Choose().c_str());
  Remote.Usable = false;
  STRCMP_EQUAL("", Choose().c_str());
  CHECK(steering::expectedWait(12, 4, 2ms) == 6ms);
}

/// Sends evenly spaced requests for one second; each OneIn-th, or none if it is
/// 0, tries to fail over.
/// \return the number of requests that were allowed to fail over
static int sendForOneSecond(steering::shift_limiter &Limiter,
                            base::boot_time Second, int Rate, int OneIn) {
  int Shifted = 0;
  for (int I = 0; I < Rate; ++I) {
    const auto Now = Second + std::chrono::nanoseconds(1s) * I / Rate;
    Limiter.countRequest(Service, Now);
    if (OneIn > 0 && I % OneIn == 0)
      Shifted += Limiter.tryShift(Service, Now) ? 1 : 0;
  }
  return Shifted;
}

// Guards against a failover that moves all traffic to another region at once,
// and against one that never completes.
TEST(steering_limits, FailoverRisesByTheCapAndCompletes) {
  steering::shift_limiter Limiter(10);
  base::boot_time Now = Start;
  for (int Second = 0; Second < 60; ++Second, Now += 1s)
    LONGS_EQUAL(0, sendForOneSecond(Limiter, Now, 1000, 0));
  int Previous = 0;
  for (int Second = 1; Second <= 15; ++Second, Now += 1s) {
    const int Shifted = sendForOneSecond(Limiter, Now, 1000, 1);
    CHECK(Shifted <= Previous + 101);
    Previous = Shifted;
  }
  LONGS_EQUAL(1000, Previous);
}

// Guards against a service with a low rate that never fails over, because 10%
// of its rate rounds down to zero requests per second.
TEST(steering_limits, LowRatesFailOverToo) {
  steering::shift_limiter Limiter(10);
  base::boot_time Now = Start;
  int Shifted = 0;
  for (int Second = 0; Second < 60; ++Second, Now += 1s)
    Shifted += sendForOneSecond(Limiter, Now, 2, 1);
  CHECK(Shifted > 60);
}

// Guards against load patterns in which more requests fail over in one second
// than the maximum of the earlier seconds plus the cap.
TEST(steering_limits, NoLoadPatternExceedsTheCap) {
  CHECK(rc::check([] {
    steering::shift_limiter Limiter(10);
    base::boot_time Now = Start;
    int MaxShifted = 0;
    int MaxRate = 0;
    const int Seconds = *rc::gen::inRange(1, 60);
    for (int Second = 0; Second < Seconds; ++Second, Now += 1s) {
      const int Rate = *rc::gen::inRange(0, 1000);
      MaxRate = std::max(MaxRate, Rate);
      const int Shifted =
          sendForOneSecond(Limiter, Now, Rate, *rc::gen::inRange(0, 4));
      // Tolerance: one request for rounding, one for accumulated tokens.
      RC_ASSERT(Shifted <= MaxShifted + 0.1 * MaxRate + 0.02 * MaxShifted + 2);
      MaxShifted = std::max(MaxShifted, Shifted);
    }
  }));
}
