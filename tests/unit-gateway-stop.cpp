#include "gateway/detail/stop_schedule.hpp"

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using gateway::detail::scheduleStop;

TEST_GROUP(gateway_stop) { static constexpr base::boot_time RequestedAt{1h}; };

// Guards against responses, or the end of the process, that come only after
// the platform has killed it.
TEST(gateway_stop, EndsBeforeTheGraceDoes) {
  for (const auto Grace : {500ms, 4000ms, 30000ms}) {
    const auto Schedule = scheduleStop(RequestedAt, Grace);
    CHECK(RequestedAt < Schedule.StopAcceptingAt);
    CHECK(Schedule.StopAcceptingAt < Schedule.RespondBy);
    CHECK(Schedule.RespondBy < Schedule.ExitBy);
    CHECK(Schedule.ExitBy < RequestedAt + Grace);
  }
}

// Guards against requests that an entry accepts late in its stop and cuts at
// the end: those sent until half of the grace may take the other half.
TEST(gateway_stop, AcceptsUntilHalfOfTheGraceAfterTheSignal) {
  CHECK(RequestedAt + 3s == scheduleStop(RequestedAt, 6s).StopAcceptingAt);
}
