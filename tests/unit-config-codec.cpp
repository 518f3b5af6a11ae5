#include "skylarkdyke/config/codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;

TEST_GROUP(config_codec){};

static config::document sampleDocument() {
  config::document Document;
  Document.Version = 7;
  Document.SubmissionId = "s-7";
  Document.SubmittedBy = base::operator_name("ana");
  Document.SubmittedAt = *config::parseTime("2026-12-04T05:30:00.250Z");
  Document.RecentSubmissions = {"s-6", "s-7"};
  Document.Regions.push_back(
      {base::region_name("mazowsze"), 2000, {base::domain_name("maz-a")}});
  Document.Targets.push_back({base::target_id("t-1"),
                              base::service_name("stock-view"),
                              base::domain_name("maz-a"),
                              {"127.0.0.1", 9001},
                              4,
                              350});
  Document.Drains.push_back({config::drain_scope::Domain, "maz-a",
                             config::drain_action::Return,
                             *config::parseTime("2026-12-04T05:31:00Z")});
  return Document;
}

// Guards against a field that is lost or changed between encode and decode.
TEST(config_codec, DecodedDocumentEncodesToTheSameText) {
  const std::string Text = config::encode(sampleDocument());
  const auto Decoded = config::decode(Text);
  CHECK_TRUE(Decoded.has_value());
  STRCMP_EQUAL(Text.c_str(), config::encode(Decoded.value()).c_str());
}

// Guards against a decoder that stops at the first finding.
TEST(config_codec, ReportsAllFindingsWithTheirLocations) {
  std::string Text = config::encode(sampleDocument());
  Text.replace(Text.find("\"slots\":4"), 9, "\"slots\":-4");
  Text.replace(Text.find("127.0.0.1:9001"), 14, "localhost:9001");
  const auto Decoded = config::decode(Text);
  CHECK_FALSE(Decoded.has_value());
  CHECK_EQUAL(2u, Decoded.error().size());
  STRCMP_EQUAL("/targets/0/address", Decoded.error()[0].Location.c_str());
  STRCMP_EQUAL("/targets/0/slots", Decoded.error()[1].Location.c_str());
}

// Guards against a misspelled field that is ignored without a finding.
TEST(config_codec, RefusesUnknownFields) {
  std::string Text = config::encode(sampleDocument());
  Text.insert(1, "\"entry_seat\":3,");
  const auto Decoded = config::decode(Text);
  CHECK_FALSE(Decoded.has_value());
  STRCMP_EQUAL("/entry_seat", Decoded.error()[0].Location.c_str());
}
