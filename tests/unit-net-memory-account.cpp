#include "net/detail/request_body.hpp"
#include "skylarkdyke/net/memory_account.hpp"

#include <algorithm>
#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using net::memory_account;
using stage = memory_account::stage;

static constexpr std::size_t Limit = 4000000;
static constexpr std::size_t ShareLimit = 3000000;

namespace {

/// A charge that counts its evictions.
struct holder {
  holder(const std::shared_ptr<memory_account> &Account,
         const std::string &Address, base::boot_time Now)
      : Charge(Account, Address, stage::Receiving, Now,
               [this] { ++Evictions; }) {}

  unsigned Evictions = 0;
  memory_account::charge Charge;
};

} // namespace

TEST_GROUP(net_memory_account) {
  std::shared_ptr<memory_account> Account =
      std::make_shared<memory_account>(Limit);
  base::boot_time Now{100s};
};

// Guards against large bodies that leave no room for ordinary requests.
TEST(net_memory_account, LargeChargesLeaveRoomForSmallOnes) {
  holder Large(Account, "a", Now);
  holder SecondLarge(Account, "b", Now);
  holder Small(Account, "b", Now);
  CHECK_TRUE(Large.Charge.resize(ShareLimit, Now));
  Large.Charge.setStage(stage::Running, Now);
  CHECK_FALSE(SecondLarge.Charge.resize(200000, Now));
  CHECK_TRUE(Small.Charge.resize(memory_account::MaxSmallBytes, Now));
  LONGS_EQUAL(0, Large.Evictions);
  LONGS_EQUAL(1, Account->totals().RefusedCharges);
}

// Guards against an address whose many small requests fill the account.
TEST(net_memory_account, AnAddressGetsAtMostItsShare) {
  std::vector<std::unique_ptr<holder>> Flood;
  std::size_t Accepted = 0;
  for (int I = 0; I < 100; ++I) {
    Flood.push_back(std::make_unique<holder>(Account, "a", Now));
    Accepted += Flood.back()->Charge.resize(60000, Now) ? 60000 : 0;
  }
  CHECK(Accepted <= ShareLimit && Accepted > ShareLimit - 60000);
  holder Other(Account, "b", Now);
  CHECK_TRUE(Other.Charge.resize(60000, Now));
}

// Guards against clients that stop before the end of their body and so keep
// others from being served.
TEST(net_memory_account, StalledRequestsMakeRoom) {
  holder Stalled(Account, "a", Now);
  holder Running(Account, "a", Now);
  holder Active(Account, "b", Now);
  holder Next(Account, "b", Now);
  CHECK_TRUE(Stalled.Charge.resize(1000000, Now));
  CHECK_TRUE(Running.Charge.resize(1000000, Now));
  Running.Charge.setStage(stage::Running, Now);
  CHECK_TRUE(Active.Charge.resize(1000000, Now));
  CHECK_FALSE(Next.Charge.resize(200000, Now + 1s));
  Active.Charge.recordProgress(Now + 1s);
  CHECK_TRUE(Next.Charge.resize(200000, Now + 2s));
  LONGS_EQUAL(1, Stalled.Evictions);
  LONGS_EQUAL(0, Running.Evictions + Active.Evictions);
  CHECK_FALSE(Stalled.Charge.resize(1, Now + 2s));
  LONGS_EQUAL(1, Account->totals().EvictedRequests);
}

// Guards against requests that are evicted although the room does not suffice.
TEST(net_memory_account, NothingIsEvictedInVain) {
  holder Stalled(Account, "a", Now);
  holder Running(Account, "b", Now);
  holder Next(Account, "c", Now);
  CHECK_TRUE(Stalled.Charge.resize(500000, Now));
  CHECK_TRUE(Running.Charge.resize(2500000, Now));
  Running.Charge.setStage(stage::Running, Now);
  CHECK_FALSE(Next.Charge.resize(1000000, Now + 10s));
  LONGS_EQUAL(0, Stalled.Evictions);
}

// Guards against an address that holds all the room with uploads in progress.
TEST(net_memory_account, AnAddressThatHoldsMuchMakesRoomForOthers) {
  holder First(Account, "a", Now);
  holder Second(Account, "a", Now);
  holder Other(Account, "b", Now);
  holder Third(Account, "a", Now);
  CHECK_TRUE(First.Charge.resize(1600000, Now));
  CHECK_TRUE(Second.Charge.resize(1400000, Now));
  CHECK_FALSE(Third.Charge.resize(100000, Now));
  CHECK_TRUE(Other.Charge.resize(1000000, Now));
  LONGS_EQUAL(1, First.Evictions + Second.Evictions);
}

// Guards against slow readers that hold complete responses.
TEST(net_memory_account, ANewResponseReplacesTheOldestOnes) {
  holder Old(Account, "a", Now);
  holder Recent(Account, "b", Now);
  holder Running(Account, "c", Now);
  holder New(Account, "c", Now);
  for (holder *Holder : {&Old, &Recent}) {
    CHECK_TRUE(Holder->Charge.resizeForResponse(1000000, Now));
    Holder->Charge.setStage(stage::Sending, Now);
    Now += 100ms;
  }
  CHECK_TRUE(Running.Charge.resize(900000, Now));
  Running.Charge.setStage(stage::Running, Now);
  CHECK_TRUE(New.Charge.resizeForResponse(500000, Now));
  LONGS_EQUAL(1, Old.Evictions);
  LONGS_EQUAL(0, Recent.Evictions);
  CHECK_FALSE(New.Charge.resizeForResponse(2500000, Now));
  CHECK_TRUE(New.Charge.resizeForResponse(1000, Now));
  LONGS_EQUAL(1, Account->totals().EvictedResponses);
}

// Guards against a total that drifts from the charges, and against more bytes
// than the limit in any order of events without responses.
TEST(net_memory_account, TheTotalIsThatOfTheChargesAndBounded) {
  CHECK_TRUE(rc::check([] {
    const auto Account = std::make_shared<memory_account>(Limit);
    base::boot_time Now{100s};
    std::vector<std::unique_ptr<holder>> Holders;
    for (int I = 0; I < 20; ++I)
      Holders.push_back(
          std::make_unique<holder>(Account, std::string(1, 'a' + I % 3), Now));
    const auto Steps = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, 1000000U));
    for (const unsigned Step : Steps) {
      Now += std::chrono::milliseconds(Step % 700);
      auto &Charge = Holders[Step % Holders.size()]->Charge;
      if (Step % 11 == 0)
        Charge.setStage(stage::Running, Now);
      else if (Step % 7 == 0)
        Charge.recordProgress(Now);
      else
        Charge.resize(Step % 5 == 0 ? 0 : Step, Now);
      std::size_t Sum = 0;
      for (const auto &Holder : Holders)
        Sum += Holder->Charge.bytes();
      RC_ASSERT(Sum == Account->heldBytes());
      RC_ASSERT(Sum <= Limit);
    }
    Holders.clear();
    RC_ASSERT(Account->heldBytes() == 0U);
  }));
}

// Guards against lost or repeated bytes where a body passes from one segment to
// the next, and against a body that needs much more memory than its bytes.
TEST(net_memory_account, ABodyInSegmentsIsWhole) {
  CHECK_TRUE(rc::check([] {
    net::detail::received_body Body;
    std::string Expected;
    const auto Sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(1, 400000));
    for (const std::size_t Size : Sizes) {
      const std::string Part(Size,
                             static_cast<char>('a' + Expected.size() % 26));
      Body.append(Part.data(), Part.size());
      Expected += Part;
      RC_ASSERT(Body.size() == Expected.size());
      RC_ASSERT(Body.allocatedBytes() <= Expected.size() + 700000);
    }
    RC_ASSERT(Body.take() == Expected);
    RC_ASSERT(Body.size() == 0U);
  }));
}
