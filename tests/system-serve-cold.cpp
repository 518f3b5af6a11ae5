#include "support/background_load.hpp"
#include "support/environment.hpp"
#include "support/paced_callers.hpp"
#include "support/platform_stand_in.hpp"
#include "support/recording_target.hpp"
#include "support/served_fleet.hpp"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::caller_result;
using test_support::fromEnvironment;
using test_support::paced_request;
using test_support::recording_target;
using test_support::request_end;

/// Rate that cold targets tolerate, in requests per second, and how long they
/// stay cold.
static constexpr double ColdRate = 3.1;
static constexpr std::chrono::seconds ColdTime{10};
/// Operators allow this many requests in any second at a cold target.
static constexpr double ColdFactor = 1.5;
static constexpr double ColdSlack = 5;
static constexpr auto MaxInOneSecond =
    static_cast<std::size_t>(ColdRate * ColdFactor + ColdSlack);
/// Part of the rate of the cold targets that must be used.
static constexpr double MinUsedFraction = 0.25;
static constexpr std::size_t TargetCount = 3;
/// Callers of each entry send this often, and wait this long for an answer.
static constexpr std::chrono::milliseconds CallerInterval{350};
static constexpr std::chrono::milliseconds CallerLimit{3000};
/// Within the cold time all callers pause, and then return together.
static constexpr std::chrono::seconds PauseFrom{5};
static constexpr std::chrono::seconds PauseEnd{8};
/// Longest time until a request is refused that cannot be served.
static constexpr std::chrono::milliseconds RefusalLimit{1000};
/// Time in which entries that have started get their shares of the rates.
static constexpr std::chrono::seconds ShareTime{10};

static constexpr std::uint64_t DefaultSeed = 61;
static constexpr std::uint64_t DefaultEntries = 100;
static constexpr std::uint64_t DefaultRounds = 1;

static std::string routesWithColdTargets() {
  auto Document = nlohmann::json::parse(test_support::servedRoutes(2));
  Document["services"]["rows"] = {
      {"orders", "/healthz", 300, ColdTime.count(), ColdRate}};
  return Document.dump();
}

/// Whether the caller was served, or refused at once with the time of its next
/// try. A killed entry may close connections.
static bool isEndedWell(const paced_request &Request, bool EntryWasKilled) {
  const caller_result &Result = Request.Result;
  if (Result.End != request_end::Answered)
    return EntryWasKilled;
  if (Result.Status == 200)
    return true;
  return Result.Status == 503 && Result.HasRetryAfter &&
         Request.EndedAt - Request.SentAt <= RefusalLimit;
}

static std::string describe(const paced_request &Request) {
  const auto Waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      Request.EndedAt - Request.SentAt);
  return "entry " + std::to_string(Request.Entry) + ": end " +
         std::to_string(static_cast<int>(Request.Result.End)) + ", status " +
         std::to_string(Request.Result.Status) + ", Retry-After " +
         (Request.Result.HasRetryAfter ? "yes" : "no") + ", after " +
         std::to_string(Waited.count()) + " ms";
}

/// A large region of real entries whose warm targets are replaced by cold ones.
/// SKYLARKDYKE_COLD_ROUNDS, SKYLARKDYKE_COLD_ENTRIES and SKYLARKDYKE_COLD_SEED
/// change the runs; SKYLARKDYKE_COLD_ARRIVALS names a file that gets a line for
/// each arrival: round, target, milliseconds since the registration, request.
TEST_GROUP(system_serve_cold) {
  using targets = std::vector<std::unique_ptr<recording_target>>;

  const std::uint64_t Rounds =
      fromEnvironment("SKYLARKDYKE_COLD_ROUNDS", DefaultRounds);
  const std::uint64_t Seed =
      fromEnvironment("SKYLARKDYKE_COLD_SEED", DefaultSeed);
  const std::uint64_t EntryCount =
      fromEnvironment("SKYLARKDYKE_COLD_ENTRIES", DefaultEntries);
  std::mt19937_64 Random{Seed};
  test_support::platform_stand_in Platform;
  targets Warm;
  targets Cold;
  test_support::served_fleet Fleet{Platform.storeAddress(), EntryCount};
  std::optional<test_support::paced_callers> Callers;
  std::uint64_t Round = 0;
  std::size_t LargestOfAll = 0;

  void start() {
    Platform.put("op/config", routesWithColdTargets());
    Warm = addTargets(std::chrono::system_clock::now());
    CHECK_TRUE(Fleet.start());
    Callers.emplace(Fleet.fronts(), CallerInterval, CallerLimit, Seed);
    std::this_thread::sleep_for(ShareTime);
  }

  targets addTargets(base::wall_time ColdUntil) {
    targets Added;
    for (std::size_t I = 0; I < TargetCount; ++I)
      Added.push_back(std::make_unique<recording_target>(
          "t" + std::to_string(Round) + "-" + std::to_string(I), ColdUntil));
    for (const auto &Target : Added)
      Platform.put("servers/" + Target->id(), Target->registration());
    return Added;
  }

  /// Replaces all targets by cold ones, and checks what callers and the cold
  /// targets get until these are warm.
  void playRound(std::size_t RestartCount) {
    ++Round;
    const auto Restarted = Fleet.restartSome(RestartCount, Random);
    const auto From = base::boot_clock::now();
    const auto ColdFrom = std::chrono::system_clock::now();
    Cold = addTargets(ColdFrom + ColdTime);
    for (const auto &Target : Warm)
      Platform.remove("servers/" + Target->id());
    std::this_thread::sleep_until(From + PauseFrom);
    Callers->pauseUntil(From + PauseEnd);
    std::this_thread::sleep_until(From + ColdTime);
    checkColdTargets(ColdFrom);
    checkCallers(Callers->requestsSince(From), Restarted);
    Warm = std::move(Cold);
  }

  /// Returns when requests have arrived at a cold target.
  std::vector<base::wall_time> arrivalTimes(const recording_target &Target,
                                            base::wall_time ColdFrom) const {
    std::vector<base::wall_time> Times;
    const char *File = std::getenv("SKYLARKDYKE_COLD_ARRIVALS");
    std::ofstream Trace(File == nullptr ? "/dev/null" : File, std::ios::app);
    for (const auto &Arrival : Target.coldArrivals()) {
      Times.push_back(Arrival.At);
      Trace << Round << ' ' << Target.id() << ' '
            << (Arrival.At - ColdFrom) / 1ms << ' ' << Arrival.RequestId
            << '\n';
    }
    return Times;
  }

  void checkColdTargets(base::wall_time ColdFrom) {
    std::size_t Total = 0;
    std::cout << "\nround " << Round << ", most in a second:";
    for (const auto &Target : Cold) {
      const auto Times = arrivalTimes(*Target, ColdFrom);
      const std::size_t Largest = test_support::largestWindow(Times, 1s);
      Total += Times.size();
      LargestOfAll = std::max(LargestOfAll, Largest);
      std::cout << ' ' << Largest;
    }
    std::cout << ", total " << Total << std::endl;
    CHECK_TRUE(static_cast<double>(Total) >=
               MinUsedFraction * TargetCount * ColdRate * ColdTime.count());
  }

  static void checkCallers(const std::vector<paced_request> &Requests,
                           const std::set<std::size_t> &Restarted) {
    CHECK_FALSE(Requests.empty());
    std::string Faults;
    for (const paced_request &Request : Requests)
      if (!isEndedWell(Request, Restarted.count(Request.Entry) != 0))
        Faults += describe(Request) + "\n";
    STRCMP_EQUAL("", Faults.c_str());
  }

  /// Plays all rounds, and checks the rate after the last one.
  void playRounds(std::size_t RestartCount) {
    start();
    playRound(RestartCount);
    while (Round < Rounds) {
      std::this_thread::sleep_for(ShareTime);
      playRound(RestartCount);
    }
    std::cout << "memory " << Fleet.peakMemoryBytes() / (1U << 20U) << " MiB"
              << std::endl;
    CHECK_COMPARE(LargestOfAll, <=, MaxInOneSecond);
  }
};

// Guards against entries whose least rates add up to more than a cold target
// tolerates, against sends of many entries that coincide, and against sends
// that are saved up while callers pause.
TEST(system_serve_cold, ALargeRegionKeepsTheRateOfColdTargets) {
  playRounds(0);
}

// Guards against the same while entries that have just restarted and those that
// miss them disagree about the shares.
TEST(system_serve_cold, TheRateHoldsWhileEntriesRestart) {
  playRounds(EntryCount * 3 / 10);
}
