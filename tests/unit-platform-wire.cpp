#include "platform/settings.hpp"
#include "platform/wire.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static const char *const Configuration = R"({"version":"r7","routes":{"columns":
["name","host","path_prefix","kind","timeout_s","target_latency_s","priority",
"service","max_attempts","sticky","allowed_regions","traffic_split"],"rows":[
["a","h.example","/a/","unsafe",2,0.8,1,"orders",2,true,["north"],null],
["b","h.example","/b/","safe",1.5,0.6,2,null,3,null,[],
[{"service":"orders","weight":90},{"service":"stock","weight":10}]]]},
"services":{"columns":["name","health_path","max_connections","cold_start_s",
"cold_per_s"],"rows":[["orders","/healthz",360,3.0,3.1],
["stock","/healthz",360,3.0,3.1]]},
"limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_s":3,
"idle_timeout_s":15}})";

TEST_GROUP(platform_wire){
    template <class Change>
    Change decode(const std::string &Key, const std::string &Value){
        const auto Decoded = platform::decodeItem(Key, Value);
CHECK(Decoded &&std::holds_alternative<Change>(*Decoded));
return std::get<Change>(*Decoded);
}
}
;

// Guards against unsafe requests that are decoded as idempotent, and against
// null cells that are read as values.
TEST(platform_wire, DecodesRoutesAndServices) {
  const auto Decoded = platform::decodeConfiguration(Configuration);
  CHECK(Decoded.has_value());
  const auto &DecodedConfiguration = Decoded.value();
  LONGS_EQUAL(7, DecodedConfiguration.Version);
  const routing::route &First = DecodedConfiguration.Routes.at(0);
  CHECK(First.Repeatability == routing::repeatability::AtMostOnce);
  CHECK(First.Timeout == 2000ms && First.LatencyObjective == 800ms);
  CHECK(First.Sticky && First.AllowedRegions.size() == 1);
  const routing::route &Second = DecodedConfiguration.Routes.at(1);
  CHECK(Second.Repeatability == routing::repeatability::Idempotent);
  LONGS_EQUAL(2, Second.Services.size());
  DOUBLES_EQUAL(10, Second.Services.at(1).Weight, 0);
  CHECK(DecodedConfiguration.Services.at(0).ColdTime == 3000ms);
  DOUBLES_EQUAL(3.1, DecodedConfiguration.Services.at(0).ColdRequestsPerSecond,
                1e-9);
  LONGS_EQUAL(1000, DecodedConfiguration.Limits.MaxHeaderBytes.value());
}

/// Decodes a configuration with one route of the given kind.
static routing::repeatability repeatabilityOf(const char *Kind) {
  const auto Decoded = platform::decodeConfiguration(
      std::string(
          R"({"version":"r2","routes":{"columns":["name","host","path_prefix",
      "kind","service"],"rows":[["a","h","/a/",)") +
      Kind +
      R"(,"orders"]]},"services":{"columns":["name"],"rows":[["orders"]]}})");
  CHECK(Decoded.has_value());
  return Decoded.value().Routes.at(0).Repeatability;
}

// Guards against downloads that are never sent again after a failure, and
// against requests of an unknown kind that run twice.
TEST(platform_wire, OnlyKnownIdempotentKindsMayBeRepeated) {
  for (const char *Kind : {"\"safe\"", "\"download\""})
    CHECK(repeatabilityOf(Kind) == routing::repeatability::Idempotent);
  for (const char *Kind :
       {"\"unsafe\"", "\"Safe\"", "\"stream\"", "\"\"", "null", "7"})
    CHECK(repeatabilityOf(Kind) == routing::repeatability::AtMostOnce);
}

// Guards against the rejection of a configuration that omits columns which no
// row uses.
TEST(platform_wire, AcceptsMissingColumns) {
  const auto Decoded = platform::decodeConfiguration(
      R"({"version":"r2","routes":{"columns":["name","host","path_prefix",
      "service"],"rows":[["a","h","/a/","orders"]]},
      "services":{"columns":["name"],"rows":[["orders"]]}})");
  CHECK(Decoded.has_value());
  LONGS_EQUAL(1, Decoded.value().Routes.at(0).MaxAttempts);
}

// Guards against an invalid document that is installed, and against findings
// without a location.
TEST(platform_wire, RejectsInvalidConfigurations) {
  CHECK(!platform::decodeConfiguration("{\"version\":\"r2\""));
  const auto Decoded = platform::decodeConfiguration(
      R"({"version":"2","routes":{"columns":["name"],"rows":[["a"]]}})");
  CHECK(!Decoded);
  CHECK(Decoded.error().Findings.size() >= 3);
  STRCMP_EQUAL("/version", Decoded.error().Findings.at(0).Location.c_str());
}

// Guards against records of other writers that are decoded as usable targets.
TEST(platform_wire, DecodesTargetsAndSkipsUnusableRecords) {
  const auto Published = decode<routing::target_published>(
      "servers/i-1",
      R"({"address":"10.0.0.9:80","born":1700000000123,"info":{"service":"s",
      "version":"v1","zone":"z","capacity":4},"status":{"state":"draining",
      "sequence":4,"cold_remaining_s":1.5}})");
  CHECK(Published.Target.Draining &&
        Published.Target.RemainingColdTime == 1500ms);
  CHECK(Published.Target.StartedAtMs == 1700000000123);
  LONGS_EQUAL(4, Published.Target.Slots);
  for (const char *Value :
       {"\x01", "{}", "[]",
        R"({"address":7,"info":{"service":"s","zone":"z","capacity":4},
        "status":{"state":"ready"}})",
        R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"z",
        "capacity":4},"status":{"state":"thinking"}})"})
    CHECK(decode<routing::target_removed>("servers/i-1", Value).Id.str() ==
          "i-1");
}

// Guards against evacuations that are ignored or never end.
TEST(platform_wire, DecodesEvacuations) {
  CHECK(decode<routing::evacuation_started>("op/evacuate/waw-a", "{}")
            .Domain.str() == "waw-a");
  const auto Ended = platform::decodeRemoval("op/evacuate/waw-a");
  CHECK(Ended && std::holds_alternative<routing::evacuation_ended>(*Ended));
  CHECK(!platform::decodeItem("op/else", "{}"));
}

// Guards against directory queries that are parsed incorrectly when their
// parameters come in another order or are percent-encoded.
TEST(platform_wire, ParsesDirectoryQueries) {
  const auto Protocol = platform::callerProtocol();
  const auto DirectoryQuery = Protocol.ParseDirectoryQuery(
      "/api/resolve?zone=z%2D1&name=h.example&region=r");
  CHECK(DirectoryQuery.has_value());
  STRCMP_EQUAL("h.example", DirectoryQuery->Host.c_str());
  STRCMP_EQUAL("z-1", DirectoryQuery->Domain.str().c_str());
  CHECK(!Protocol.ParseDirectoryQuery("/api/other?name=h"));
  STRCMP_EQUAL(
      R"({"addresses":["10.0.0.1:80"],"ttl_s":1.5})",
      Protocol.FormatDirectoryResponse({{"10.0.0.1", 80}}, 1500ms).c_str());
}

// Guards against invalid settings that are accepted without a finding.
TEST(platform_wire, ValidatesSettings) {
  const auto Settings = platform::parseNodeSettings(R"(
[self]
node_name = "n"
zone = "z"
region = "r"
future_field = 1
[self.limits]
cpu_share = 0.2
max_fds = 4100
memory_mb = 160
[network]
port_range = [7620, 7635]
seeds = ["10.0.0.2:8649"]
[network.bind]
front = "10.0.0.1:8641"
control = "10.0.0.1:8649"
[network.zones]
z = "r"
[provider.provider]
address = "10.0.0.3:8642"
[terms.bounds]
retry_budget_ratio = 0.2
grace_s = 6
drain_s = 3.5
quota_window_s = 4
quota_slack = 30
)",
                                                    "node.toml");
  CHECK(Settings.has_value());
  CHECK(Settings.value().Gateway.StopGrace == 6s);
  CHECK(Settings.value().Gateway.DrainTime == 3500ms);
  CHECK(Settings.value().Gateway.QuotaBound.Window == 4s);
  DOUBLES_EQUAL(0.1, Settings.value().Gateway.QuotaBound.Overage, 1e-9);
  DOUBLES_EQUAL(30, Settings.value().Gateway.QuotaBound.Slack, 1e-9);
  DOUBLES_EQUAL(0.2, Settings.value().Gateway.ProcessorCores, 1e-9);
  LONGS_EQUAL(160000000, Settings.value().Gateway.MemoryBytes);
  LONGS_EQUAL(7620, Settings.value().Gateway.Metrics->Port);
  const auto Invalid =
      platform::parseNodeSettings("[self]\nzone = \"z\"\n", "f");
  CHECK(!Invalid);
  CHECK(Invalid.error().size() >= 4);
  CHECK(!platform::parseNodeSettings("[self", "f"));
}

// Guards against names of the wire format of the platform outside its folder.
TEST(platform_wire, WireNamesOccurOnlyInThePlatformFolder) {
  const std::vector<std::string> WireNames = {
      "kv-range",      "kv-watch",     "kv-txn",      "op/config",
      "op/evacuate",   "heartbeat_s",  "api/resolve", "api/readyz",
      "path_prefix=",  "Skylarkdyke-", "cold_per_s",  "allowed_regions",
      "Server-Leaving"};
  const std::filesystem::path Root = SKYLARKDYKE_SOURCE_DIR;
  for (const char *Folder : {"src", "include"})
    for (const auto &File :
         std::filesystem::recursive_directory_iterator(Root / Folder)) {
      if (!File.is_regular_file())
        continue;
      std::ostringstream Text;
      Text << std::ifstream(File.path()).rdbuf();
      for (const std::string &WireName : WireNames)
        CHECK_TEXT(Text.str().find(WireName) == std::string::npos,
                   (File.path().string() + " holds " + WireName).c_str());
    }
}
