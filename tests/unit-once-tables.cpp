#include "skylarkdyke/once/ledger.hpp"
#include "skylarkdyke/once/witness_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static constexpr base::incarnation_id Owner{0xabc};
static constexpr base::incarnation_id Witness{0xdef};
static constexpr base::wall_time Start{1'800'000'000s};

static once::idempotency_key key(const std::string &CallerPart,
                                 std::chrono::seconds Lifetime = 60s,
                                 base::incarnation_id OwnerId = Owner) {
  const once::key_prefix Prefix{OwnerId, Start + Lifetime, Witness};
  return *once::parseKey(once::toString(Prefix) + "." + CallerPart);
}

TEST_GROUP(once_key){};

// Guards against two texts for one key, which would be separate keys in a
// ledger, and against keys that cannot be written to a log or a header.
TEST(once_key, AcceptsOnlyTheCanonicalText) {
  const std::string Prefix = once::toString(key("x").Prefix);
  STRCMP_EQUAL("0000000000000abc-1800000060-0000000000000def", Prefix.c_str());
  CHECK_TRUE(once::parseKey(Prefix + ".a.b")->CallerPart == "a.b");
  for (const char *Text :
       {"", ".", "0000000000000abc-1800000060-0000000000000def",
        "0000000000000abc-1800000060-0000000000000def.",
        "0000000000000abc-1800000060-0000000000000def.a b",
        "0000000000000ABC-1800000060-0000000000000def.a",
        "0000000000000abc-01800000060-0000000000000def.a",
        "0000000000000abc--1-0000000000000def.a",
        "0000000000000abc-99999999999-0000000000000def.a",
        "0000000000000abc-18446744073709551617-0000000000000def.a",
        "0000000000000000-1800000060-0000000000000def.a"})
    CHECK_FALSE(once::parseKey(Text).has_value());
  CHECK_FALSE(
      once::parseKey(Prefix + "." + std::string(once::MaxKeyBytes, 'a')));
}

TEST_GROUP(once_ledger) {
  once::ledger Ledger{Owner, 2, 10};

  bool runs(const once::idempotency_key &Key, base::wall_time Now) {
    return std::holds_alternative<once::begin_accepted>(
        Ledger.begin(Key, 1, Now));
  }
  once::outcome refusal(const once::idempotency_key &Key, base::wall_time Now) {
    return std::get<once::begin_refused>(Ledger.begin(Key, 1, Now)).Outcome;
  }
  once::begin_finished finished(const once::idempotency_key &Key) {
    return std::get<once::begin_finished>(Ledger.begin(Key, 1, Start));
  }
};

// Guards against running the request of a key twice, and against reusing a key
// for a different request.
TEST(once_ledger, RepeatsTheOutcomeOfAKey) {
  CHECK_TRUE(runs(key("a"), Start));
  CHECK_TRUE(std::holds_alternative<once::begin_in_progress>(
      Ledger.begin(key("a"), 1, Start)));
  CHECK_TRUE(std::holds_alternative<once::begin_mismatch>(
      Ledger.begin(key("a"), 2, Start)));
  Ledger.finish(key("a"), once::outcome::Completed, {201, {}, "12345"}, Start);
  Ledger.finish(key("a"), once::outcome::NotRun, {}, Start);
  Ledger.seal();
  CHECK_EQUAL(201, finished(key("a")).Answer.Status);
  CHECK_TRUE(refusal(key("b"), Start) == once::outcome::NotRun);
  CHECK_TRUE(refusal(key("c", 60s, Witness), Start) == once::outcome::Unknown);
}

// Guards against stored responses that exceed the memory limit, and against an
// empty response in place of one that was not stored.
TEST(once_ledger, ReportsUnknownWhenTheResponseIsNotStored) {
  for (const char *Name : {"a", "b"}) {
    CHECK_TRUE(runs(key(Name), Start));
    Ledger.finish(key(Name), once::outcome::Completed, {200, {}, "123456"},
                  Start);
  }
  CHECK_TRUE(finished(key("a")).Outcome == once::outcome::Completed);
  CHECK_TRUE(finished(key("b")).Outcome == once::outcome::Unknown);
}

// Guards against a key that is refused for lack of memory with the outcome
// NotRun, and then run by a delayed attempt once memory is free, also after the
// clock was set back.
TEST(once_ledger, AKeyRefusedForMemoryStaysRefused) {
  CHECK_TRUE(runs(key("a", 1s), Start));
  CHECK_TRUE(runs(key("b", 1s), Start));
  CHECK_TRUE(refusal(key("c"), Start) == once::outcome::NotRun);
  Ledger.finish(key("a", 1s), once::outcome::NotRun, {}, Start);
  CHECK_EQUAL(2U, Ledger.size());
  Ledger.expire(Start + 12s);
  CHECK_EQUAL(1U, Ledger.size());
  CHECK_FALSE(runs(key("c"), Start + 12s));
  CHECK_TRUE(runs(key("d"), Start + 12s));
  Ledger.finish(key("b", 1s), once::outcome::NotRun, {}, Start + 12s);
  Ledger.expire(Start + 90s);
  CHECK_EQUAL(1U, Ledger.size());
  CHECK_FALSE(runs(key("c"), Start + 12s));
}

// Guards against running the request of an expired key, and against reporting
// NotRun although the record of the key may have been dropped.
TEST(once_ledger, NeverRunsAnExpiredKey) {
  CHECK_TRUE(refusal(key("b"), Start + 60s) == once::outcome::NotRun);
  CHECK_FALSE(runs(key("b"), Start));
  CHECK_TRUE(runs(key("c", 61s), Start));
  Ledger.finish(key("c", 61s), once::outcome::Unknown, {}, Start);
  Ledger.expire(Start + 72s);
  CHECK_EQUAL(0U, Ledger.size());
  CHECK_TRUE(refusal(key("c", 61s), Start) == once::outcome::Unknown);
  CHECK_TRUE(refusal(key("d", 9h), Start) == once::outcome::Unknown);
}

TEST_GROUP(once_witness_table) {
  once::witness_table Table{Witness, 2};

  once::record_result record(const once::idempotency_key &Key,
                             base::wall_time Now) {
    return Table.record(Key.Prefix.Owner, Key.Text, Key.Prefix.Expiry, Now);
  }
  once::seal_result seal(const once::idempotency_key &Key,
                         base::wall_time Now) {
    return Table.seal(Key.Prefix.Owner, Key.Text, Key.Prefix.Expiry, Now);
  }
};

// Guards against a full table that drops a record or a seal to store another.
TEST(once_witness_table, DropsNothingWhenFull) {
  CHECK_TRUE(record(key("a"), Start) == once::record_result::Recorded);
  CHECK_TRUE(record(key("a"), Start) == once::record_result::Recorded);
  CHECK_TRUE(record(key("b"), Start) == once::record_result::Recorded);
  CHECK_TRUE(record(key("c"), Start) == once::record_result::Full);
  CHECK_TRUE(seal(key("c"), Start) == once::seal_result::NeverRecorded);
  CHECK_TRUE(seal(key("a"), Start) == once::seal_result::Recorded);
  CHECK_TRUE(record(key("a"), Start) == once::record_result::Sealed);
  CHECK_TRUE(seal(key("x", 60s, {1}), Start) ==
             once::seal_result::NeverRecorded);
  CHECK_TRUE(seal(key("x", 60s, {2}), Start) == once::seal_result::NotKnown);
}

// Guards against a sealed owner that records intents while keys issued before
// the seal are valid, or after the seal expired and the clock was set back.
TEST(once_witness_table, KeepsASealUntilAllKeysHaveExpired) {
  CHECK_TRUE(seal(key("a"), Start) == once::seal_result::NeverRecorded);
  const base::wall_time Last = Start + once::MaxKeyLifetime;
  CHECK_TRUE(record(key("b", 240s), Last) == once::record_result::Sealed);
  CHECK_TRUE(record(key("c", 360s), Last + 120s) ==
             once::record_result::Sealed);
  const base::wall_time End = Last + 250s;
  CHECK_TRUE(record(key("d", 380s), End) == once::record_result::Recorded);
  CHECK_TRUE(record(key("a"), Start) == once::record_result::Refused);
}

// Guards against NeverRecorded for a record that was dropped, and against
// answers for another witness incarnation, such as the process before a
// restart.
TEST(once_witness_table, ReturnsNotKnownForDroppedRecordsAndOtherWitnesses) {
  CHECK_TRUE(record(key("a"), Start) == once::record_result::Recorded);
  Table.expire(Start + 70s);
  CHECK_EQUAL(0U, Table.size());
  CHECK_TRUE(seal(key("a"), Start) == once::seal_result::NotKnown);
  CHECK_TRUE(record(key("a"), Start) != once::record_result::Recorded);

  once::witness_table Restarted({1}, 2);
  const once::idempotency_key Key = key("b");
  CHECK_TRUE(Restarted.seal(Owner, Key.Text, Key.Prefix.Expiry, Start) ==
             once::seal_result::NotKnown);
  CHECK_TRUE(Restarted.record(Owner, Key.Text, Key.Prefix.Expiry, Start) ==
             once::record_result::Refused);
}
