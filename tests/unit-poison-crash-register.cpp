#include "skylarkdyke/poison/crash_register.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <rapidcheck.h>
#include <set>
#include <tuple>

// Last, because the CppUTest macro for "new" must not reach the headers above.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static constexpr base::boot_time Start{1'000'000s};

static poison::target_crash report(std::uint64_t Id, std::uint64_t Fingerprint,
                                   const char *Target, base::boot_time At) {
  return {Id,
          Fingerprint,
          base::service_name("s"),
          base::target_id(Target),
          "POST /s/x",
          At};
}

TEST_GROUP(poison_crash_register){};

// Guards against counting one crash twice, because its report was duplicated or
// two requests were running at the target.
TEST(poison_crash_register, ASingleCrashBlocksNothing) {
  poison::crash_register Register(4);
  CHECK_TRUE(Register.add(report(1, 7, "a", Start), Start));
  CHECK_FALSE(Register.add(report(1, 7, "a", Start), Start + 5s));
  CHECK_FALSE(Register.add(report(2, 7, "a", Start + 900ms), Start + 1s));
  CHECK_FALSE(Register.isBlocked(7, Start + 1s));
  CHECK_TRUE(Register.add(report(3, 7, "b", Start), Start + 1s));
  CHECK_TRUE(Register.isBlocked(7, Start + 1s));
  CHECK_EQUAL(2U, Register.blocked(Start + 1s).at(0).Crashes);
  CHECK_FALSE(Register.isBlocked(7, Start + 1s + poison::BlockDuration));
  CHECK_EQUAL(0U, Register.blocked(Start + 1s + poison::BlockDuration).size());
}

// Guards against counting a duplicate report that arrives after the count was
// reset.
TEST(poison_crash_register, ARepeatedReportDoesNotCountAfterAReset) {
  poison::crash_register Register(4);
  Register.add(report(1, 7, "a", Start), Start);
  CHECK_FALSE(Register.release(7));
  Register.add(report(2, 7, "b", Start), Start);
  CHECK_TRUE(Register.release(7));
  Register.add(report(1, 7, "a", Start), Start);
  Register.add(report(2, 7, "b", Start), Start);
  CHECK_FALSE(Register.isBlocked(7, Start));
}

// Guards against equal fingerprints for requests whose concatenated fields are
// equal.
TEST(poison_crash_register, FingerprintsSeparateTheFields) {
  const base::service_name Service("s");
  CHECK_TRUE(poison::fingerprintOf(Service, "POST", "/a", "b") ==
             poison::fingerprintOf(Service, "POST", "/a", "b"));
  CHECK_TRUE(poison::fingerprintOf(Service, "POST", "/a", "b") !=
             poison::fingerprintOf(Service, "POST", "/ab", ""));
}

// Guards against blocking a request with fewer than two crashes, not blocking
// one with two, and storing too many fingerprints, in any order of crashes,
// successes and releases.
TEST(poison_crash_register, MatchesReferenceList) {
  constexpr std::size_t MaxFingerprints = 3;
  CHECK_TRUE(rc::check([](const std::vector<std::array<std::uint8_t, 3>>
                              &Steps) {
    poison::crash_register Register(MaxFingerprints);
    base::boot_time Now = Start;
    // Reference: fingerprint, number of crashes and end of the block, ordered
    // by latest crash.
    std::deque<std::tuple<std::uint64_t, unsigned, base::boot_time>> Expected;
    std::uint64_t Id = 0;
    for (const auto &[Action, Number, Wait] : Steps) {
      Now += 2s + 1s * Wait;
      const std::uint64_t Fingerprint = Number % 5;
      const auto Found = std::find_if(
          Expected.begin(), Expected.end(), [&](const auto &Record) {
            return std::get<0>(Record) == Fingerprint;
          });
      const bool Known = Found != Expected.end();
      const unsigned Count = Known ? std::get<1>(*Found) : 0;
      const bool BlockExpired = Count >= 2 && Now >= std::get<2>(*Found);
      const unsigned Operation = Action % 5;
      if (Known && (Operation < 3 || (Operation == 3 && Count >= 2)))
        Expected.erase(Found);
      if (Operation == 0) {
        Register.clear(Fingerprint);
      } else if (Operation < 3) {
        RC_ASSERT(Register.add(report(++Id, Fingerprint, "a", Now), Now));
        Expected.emplace_back(Fingerprint, BlockExpired ? 1 : Count + 1,
                              Now + poison::BlockDuration);
        if (Expected.size() > MaxFingerprints)
          Expected.pop_front();
      } else if (Operation == 3) {
        RC_ASSERT(Register.release(Fingerprint) == (Count >= 2));
      }
      std::set<std::uint64_t> Blocked;
      for (const auto &[ExpectedFingerprint, Crashes, End] : Expected)
        if (Crashes >= 2 && Now < End)
          Blocked.insert(ExpectedFingerprint);
      RC_ASSERT(Register.blocked(Now).size() == Blocked.size());
      for (std::uint64_t Candidate = 0; Candidate < 5; ++Candidate)
        RC_ASSERT(Register.isBlocked(Candidate, Now) ==
                  (Blocked.count(Candidate) > 0));
    }
  }));
}

// Guards against a request that ends one target from each entry as soon as its
// block has ended.
TEST(poison_crash_register, EntriesEndABlockAtDifferentTimes) {
  std::set<std::int64_t> Ends;
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    poison::crash_register Register(4, {1, 1, 30s, Seed * 0x9E3779B97F4A7C15U});
    Register.add(report(1, 7, "a", Start), Start);
    base::boot_time Now = Start + poison::BlockDuration;
    while (Register.isBlocked(7, Now))
      Now += 100ms;
    CHECK(Now <= Start + poison::BlockDuration + 30s);
    Ends.insert(Now.time_since_epoch().count());
  }
  CHECK(Ends.size() >= 15);
}

// Guards against a request that ends several further targets after its block.
TEST(poison_crash_register, OneCrashAfterABlockBlocksAgain) {
  poison::crash_register Register(4, {3, 1, 0s, 0});
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Register.add(report(Id, 7, std::to_string(Id).c_str(), Start), Start);
  CHECK(Register.isBlocked(7, Start));
  const auto Later = Start + poison::BlockDuration;
  CHECK(!Register.isBlocked(7, Later));
  Register.add(report(4, 7, "4", Later), Later);
  CHECK(Register.isBlocked(7, Later));
}

// Guards against a block from another entry that lasts longer than any block,
// or is shortened by a later report.
TEST(poison_crash_register, AnAdoptedBlockIsLimited) {
  poison::crash_register Register(4, {3, 1, 0s, 0});
  const poison::blocked_request Block{7, base::service_name("s"), "GET /x", 0,
                                      Start + 10h};
  CHECK(Register.block(Block, Start));
  CHECK(
      !Register.block({7, base::service_name("s"), "", 3, Start + 1s}, Start));
  CHECK(Register.isBlocked(7, Start + 9min));
  CHECK(!Register.isBlocked(7, Start + poison::BlockDuration));
}
