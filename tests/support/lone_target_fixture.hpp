#ifndef SKYLARKDYKE_TESTS_SUPPORT_LONE_TARGET_FIXTURE_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_LONE_TARGET_FIXTURE_HPP

#include "support/platform_stand_in.hpp"
#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"
#include "support/wait_until.hpp"

#include <string>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

namespace test_support {

/// \brief Base of tests with one entry, which has one target at a time.
class lone_target_fixture : public Utest {
public:
  /// Limit of the configuration for the body of a request.
  static constexpr std::size_t MaxBodyBytes = 16U << 20U;

protected:
  /// \brief Starts the entry.
  void start() {
    std::string Routes = servedRoutes(2);
    const std::string MaxBody = "1048576";
    Routes.replace(Routes.find(MaxBody), MaxBody.size(),
                   std::to_string(MaxBodyBytes));
    Platform.put("op/config", Routes);
    Platform.addUnreachableTarget("t0", "orders", "z");
    CHECK_TRUE(Entry.start());
  }

  /// \brief Replaces all targets by this one, and waits until it serves. It
  /// must answer /safe/ready.
  void useOnly(const scripted_target &Target) {
    const std::string Key = "servers/t";
    Platform.put(Key + std::to_string(++TargetCount),
                 servedTarget(Target.address()));
    Platform.remove(Key + std::to_string(TargetCount - 1));
    CHECK_TRUE(waitUntil(
        [&] {
          return statusOf(ask("GET", "/safe/ready", "ready")) == "200" &&
                 Target.received("/safe/ready") > 0;
        },
        std::chrono::seconds(5)));
  }

  std::string ask(const std::string &Method, const std::string &Path,
                  const std::string &Id, int DeadlineMs = 2000) const {
    return askServed(Entry.front(), Method, Path, Id,
                     std::chrono::milliseconds(DeadlineMs));
  }

  platform_stand_in Platform;
  served_entry Entry{Platform.storeAddress()};
  int TargetCount = 0;
};

} // namespace test_support

#endif
