#include "gateway/detail/state_codec.hpp"
#include "platform/json_fields.hpp"
#include "platform/readable_text.hpp"
#include "platform/wire.hpp"
#include "skylarkdyke/membership/messages.hpp"
#include "support/odd_values.hpp"

#include <rapidcheck.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using nlohmann::json;
using test_support::nestedArrays;
using test_support::nestedCborArrays;
using test_support::nestedObjects;

/// Deep enough for recursion to overflow the stack of a process.
static constexpr std::size_t Deep = 1'000'000;

static const json Record = json::parse(R"({"address":"10.0.0.9:80",
"born":1700000000123,"info":{"service":"s","version":"v1","zone":"z",
"capacity":4},"status":{"state":"ready","sequence":4,"cold_remaining_s":1.5}})");

static const json Configuration = json::parse(R"({"version":"r7","routes":{
"columns":["name","host","path_prefix","kind","timeout_s","max_attempts",
"service","allowed_regions","traffic_split"],"rows":[
["a","h","/a/","safe",2,2,"orders",["north"],null],
["b","h","/b/","unsafe",2,1,null,null,[{"service":"orders","weight":1}]]]},
"services":{"columns":["name","health_path","max_connections","cold_start_s",
"cold_per_s"],"rows":[["orders","/healthz",9,3.0,3.1]]},
"limits":{"max_header_bytes":9,"idle_timeout_s":15}})");

TEST_GROUP(platform_odd_items){static bool isUsable(const std::string &Value){
    const auto Change = platform::decodeItem("servers/i", Value);
CHECK(Change.has_value());
return std::holds_alternative<routing::target_published>(*Change);
}
static bool isUsable(const json &Changed) { return isUsable(Changed.dump()); }

static json with(const char *Position, const json &Value) {
  json Changed = Record;
  Changed.at(json::json_pointer(Position)) = Value;
  return Changed;
}
}
;

// Guards against an entry that ends because a record or a configuration is
// nested very deeply.
TEST(platform_odd_items, DeeplyNestedDocumentsAreRefused) {
  for (const std::string &Nested : {nestedArrays(Deep), nestedObjects(Deep)}) {
    CHECK(!isUsable(Nested));
    CHECK(!isUsable(R"({"address":"10.0.0.9:80","info":)" + Nested + "}"));
    CHECK(!platform::decodeConfiguration(Nested));
    CHECK(!platform::decodeConfiguration(
        R"({"version":"r7","routes":{"columns":["name"],"rows":[[)" + Nested +
        "]]}}"));
  }
}

// Guards against an entry that ends because a message of another one is nested
// very deeply.
TEST(platform_odd_items, DeeplyNestedMessagesAreRefused) {
  CHECK(!gateway::detail::decodeState(nestedCborArrays(Deep)));
  CHECK(!gateway::detail::decodeState("\x83" + nestedCborArrays(Deep)));
  CHECK(!membership::decodeMessage(nestedCborArrays(60'000)));
}

// Guards against a document whose values need many times the memory of its
// text, and against a limit that a configuration of the greatest size meets.
TEST(platform_odd_items, DocumentsOfTooManyValuesAreRefused) {
  const auto Zeros = [](std::size_t Count) {
    std::string Text = "[0";
    for (std::size_t I = 1; I < Count; ++I)
      Text += ",0";
    return Text + "]";
  };
  constexpr std::size_t ValueBytes = 1048576;
  const std::string Largest = Zeros((ValueBytes - 1) / 2);
  CHECK(Largest.size() + 2 > ValueBytes);
  CHECK(platform::parseDocument(Largest).is_array());
  CHECK(platform::parseDocument(Zeros(600'000)).is_discarded());
  CHECK(platform::parseDocument(R"({"a":")" + std::string(600'000, ',') + "\"}")
            .is_object());
}

// Guards against a document that is refused because of a name that is no text.
TEST(platform_odd_items, WhatIsNoTextIsReplaced) {
  const std::string R = "\xef\xbf\xbd";
  const std::string Three = "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd";
  for (const auto &[Bytes, Readable] :
       std::vector<std::pair<std::string, std::string>>{
           {"a\xff", "a" + R},
           {"\xc3", R},
           {"\xc0\xaf", R + R},
           {"\xe2\x82", R + R},
           {"\xe2!", R + "!"},
           {"\xed\xa0\x80", Three},
           {"\\ud83d", R},
           {"\\udcff\\ud83d\\udc26", R + "\xf0\x9f\x90\xa6"},
           {"\\ud83d\\ud83d\\udc26", R + "\xf0\x9f\x90\xa6"},
           {"\\\\udcff", "\\udcff"},
           {"\\\\\xff", "\\" + R},
           {"\xc3\xbc\xe2\x82\xac", "\xc3\xbc\xe2\x82\xac"}}) {
    const json Parsed =
        json::parse(platform::toReadableText("\"" + Bytes + "\""));
    STRCMP_EQUAL(Readable.c_str(), Parsed.get<std::string>().c_str());
  }
  // What is no UTF-8 cannot be written.
  CHECK_TRUE(rc::check([](const std::string &Bytes) {
    const json Text = platform::toReadableText(Bytes);
    RC_ASSERT(json::parse(Text.dump()) == Text);
  }));
}

// Guards against numbers that are cut to their low bits, and against records
// that name no target but are used as one.
TEST(platform_odd_items, RecordsWithValuesOutOfRangeNameNoTarget) {
  CHECK(isUsable(Record));
  for (const json &Capacity :
       {json(4294967300U), json(1e300), json(0), json(-4), json("4"),
        json(nullptr), json(1U << 31U)})
    CHECK_TEXT(!isUsable(with("/info/capacity", Capacity)),
               Capacity.dump().c_str());
  for (const json &Address :
       {json("10.0.0.9:65536"), json("10.0.0.9:0"), json("10.0.0.9:-1"),
        json("10.0.0.9:99999999999999999999"), json("10.0.0.9"), json(7)})
    CHECK_TEXT(!isUsable(with("/address", Address)), Address.dump().c_str());
  for (const json &Start : {json("1"), json(-1), json(1e300), json(1.5)})
    CHECK_TEXT(!isUsable(with("/born", Start)), Start.dump().c_str());
  for (const json &Time : {json("1"), json(-1), json::array()})
    CHECK_TEXT(!isUsable(with("/status/cold_remaining_s", Time)),
               Time.dump().c_str());
}

// Guards against a decoder that throws or ends the process on any record.
TEST(platform_odd_items, AnyRecordIsUsedOrRefused) {
  CHECK_TRUE(rc::check([] {
    const json Odd = *test_support::spoiledCopyOf(Record);
    for (const char *Prefix : {"servers/i", "blocked/00000000000000ab",
                               "entries/e", "op/evacuate/z"})
      platform::decodeItem(
          Prefix, Odd.dump(-1, ' ', false, json::error_handler_t::replace));
    const auto Change = platform::decodeItem(
        "servers/i", Odd.dump(-1, ' ', false, json::error_handler_t::replace));
    if (const auto *Target =
            std::get_if<routing::target_published>(&Change.value()))
      RC_ASSERT(Target->Target.Slots >= 1 && Target->Target.Address.Port >= 1);
  }));
}

// Guards against the same on any configuration, and against one that is used
// although a route has nowhere to go.
TEST(platform_odd_items, AnyConfigurationIsUsedOrRefusedWithAFinding) {
  CHECK_TRUE(rc::check([] {
    const json Odd = *test_support::spoiledCopyOf(Configuration);
    const auto Decoded = platform::decodeConfiguration(
        Odd.dump(-1, ' ', false, json::error_handler_t::replace));
    if (!Decoded)
      RC_ASSERT(!Decoded.error().Findings.empty());
    else
      for (const routing::route &Route : Decoded.value().Routes)
        RC_ASSERT(!Route.Services.empty());
  }));
}

/// Checks that decoders of messages between entries survive any bytes.
static void decodeMessages(const std::string &Bytes) {
  static_cast<void>(gateway::detail::decodeState(Bytes));
  static_cast<void>(membership::decodeMessage(Bytes));
}

// Guards against a decoder that throws or ends the process on any message,
// whole, cut short or with a changed byte.
TEST(platform_odd_items, AnyMessageIsUsedOrRefused) {
  gateway::detail::state_snapshot Snapshot;
  Snapshot.Document = "{}";
  Snapshot.Targets.emplace_back();
  Snapshot.EvacuatedDomains.emplace_back("z");
  Snapshot.LeavingTargets.emplace_back();
  Snapshot.Crashes.Crashes.emplace_back();
  Snapshot.Crashes.Blocks.emplace_back();
  membership::entry_status Status;
  Status.MeshAddress = {"10.0.0.1", 80};
  Status.SilentHolders.emplace_back();
  for (const std::string &Bytes :
       {gateway::detail::encode(Snapshot), membership::encode(Status)}) {
    const json Message = json::from_cbor(Bytes);
    CHECK_TRUE(rc::check([&] {
      std::string Odd;
      json::to_cbor(*test_support::spoiledCopyOf(Message), Odd);
      decodeMessages(Odd);
      decodeMessages(
          Odd.substr(0, *rc::gen::inRange<std::size_t>(0, Odd.size())));
      Odd.at(*rc::gen::inRange<std::size_t>(0, Odd.size())) =
          static_cast<char>(*rc::gen::inRange(0, 256));
      decodeMessages(Odd);
    }));
  }
}
