#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/submission.hpp"
#include "skylarkdyke/config/validate.hpp"
#include "support/sample_config.hpp"

#include <rapidcheck.h>
// CppUTest must be included last because it defines "new" as a macro.

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;

TEST_GROUP(config_validate) {
  config::document Document = test_support::sampleConfig();

  /// Checks that validate() returns exactly one finding, for this JSON pointer.
  void expectOneFinding(const char *Location) const {
    const base::findings Findings = config::validate(Document);
    LONGS_EQUAL_TEXT(1, Findings.size(), base::toString(Findings).c_str());
    STRCMP_EQUAL(Location, Findings[0].Location.c_str());
  }
};

TEST(config_validate, AcceptsAValidDocument) {
  STRCMP_EQUAL("", base::toString(config::validate(Document)).c_str());
}

// Guards against two items with one name, from which entries could choose
// differently.
TEST(config_validate, RefusesRepeatedNames) {
  Document.Regions[1].Domains[0] = base::domain_name("north-a");
  Document.Targets[2].Domain = base::domain_name("south-b");
  expectOneFinding("/regions/1/domains/0");
  Document.Targets[1].Id = Document.Targets[0].Id;
  CHECK_EQUAL(2u, config::validate(Document).size());
}

// Guards against a cap of zero, which would refuse all traffic.
TEST(config_validate, RefusesAZeroCap) {
  Document.Links[1].CapBitsPerSecond = 0;
  expectOneFinding("/links/1/cap_bits_per_second");
}

// Guards against a pair of regions between which traffic has no cap.
TEST(config_validate, RefusesAMissingLink) {
  Document.Links.pop_back();
  expectOneFinding("/links");
}

// Guards against a client block that matches other addresses than its prefix
// suggests.
TEST(config_validate, RefusesPrefixesWithHostBits) {
  for (const char *Prefix :
       {"10.1.0.1/16", "10.1.0.0/33", "10.1.0.0", "a/8", "10.1.0.0/016"}) {
    Document.ClientBlocks[0].Prefix = Prefix;
    expectOneFinding("/client_blocks/0/prefix");
  }
}

// Guards against drains that leave a service without a target, and against a
// drain of an item that does not exist, which never takes effect.
TEST(config_validate, RefusesDrainsWithoutEffectOrRemainingTarget) {
  Document.Drains = {{config::drain_scope::Region, "north", {}, {}},
                     {config::drain_scope::Domain, "south-a", {}, {}}};
  CHECK_EQUAL(0u, config::validate(Document).size());
  Document.Drains.push_back({config::drain_scope::Target, "t-south-b", {}, {}});
  expectOneFinding("/services/0");
  Document.Drains.back().Name = "t-south-c";
  expectOneFinding("/drains/2/name");
}

// Guards against entries that divide the caps by different numbers of seats.
TEST(config_validate, RefusesAChangeOfSeats) {
  config::document Next = config::nextDocument(
      Document, Document, {"s-8", base::operator_name("bo"), {}});
  CHECK_EQUAL(0u, config::validateChange(Document, Next).size());
  Next.EntrySeats = 11;
  const base::findings Findings = config::validateChange(Document, Next);
  CHECK_EQUAL(1u, Findings.size());
  STRCMP_EQUAL("/entry_seats", Findings[0].Location.c_str());
}

// Guards against a date that would be converted to a different instant.
TEST(config_validate, RefusesInvalidTimes) {
  CHECK_TRUE(config::parseTime("2028-02-29T00:00:00Z").has_value());
  CHECK_FALSE(config::parseTime("2026-02-29T00:00:00Z").has_value());
  CHECK_FALSE(config::parseTime("2300-01-01T00:00:00Z").has_value());
}

// Guards against a crash on arbitrary text, and against a valid document that
// changes when it is encoded and decoded again, so that entries would apply
// different configurations.
TEST(config_validate, HandlesAnyTextAndRoundTripsValidDocuments) {
  const std::string ValidText = config::encode(Document);
  const auto Replacements = rc::gen::element<std::string>(
      "", "\"", "0", "-1", "1e999", "null", "[]", "{}", "\xff", ",", "north",
      "9007199254740993", "1e2", "\"2026-02-30T00:00:00Z\"");
  CHECK_TRUE(rc::check([&] {
    std::string Text = ValidText;
    const int Edits = *rc::gen::inRange(0, 4);
    for (int I = 0; I < Edits; ++I) {
      const auto Start = *rc::gen::inRange<std::size_t>(0, Text.size());
      const auto Length = *rc::gen::inRange<std::size_t>(0, 12);
      Text.replace(Start, Length, *Replacements);
    }
    const auto Decoded = config::decode(Text);
    if (!Decoded)
      return;
    if (!config::validate(Decoded.value()).empty())
      return;
    const std::string Encoded = config::encode(Decoded.value());
    const auto Redecoded = config::decode(Encoded);
    RC_ASSERT(Redecoded.has_value());
    RC_ASSERT(config::encode(Redecoded.value()) == Encoded);
  }));
}
