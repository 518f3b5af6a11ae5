#include "skylarkdyke/entries/codec.hpp"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

// This header must be included last, because it redefines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace skylarkdyke::entries;
using std::chrono::milliseconds;

namespace rc {

static Gen<std::string> anyName() {
  return gen::map(gen::nonEmpty(gen::container<std::string>(
                      gen::inRange('a', static_cast<char>('z' + 1)))),
                  [](const std::string &Text) { return Text.substr(0, 256); });
}

template <typename Tag> struct Arbitrary<base::strong_name<Tag>> {
  static Gen<base::strong_name<Tag>> arbitrary() {
    return gen::construct<base::strong_name<Tag>>(anyName());
  }
};

template <> struct Arbitrary<base::incarnation_id> {
  static Gen<base::incarnation_id> arbitrary() {
    return gen::construct<base::incarnation_id>(gen::nonZero<std::uint64_t>());
  }
};

template <> struct Arbitrary<base::endpoint> {
  static Gen<base::endpoint> arbitrary() {
    return gen::construct<base::endpoint>(
        gen::element<std::string>("127.0.0.1", "10.255.3.4", "0.0.0.0"),
        gen::nonZero<std::uint16_t>());
  }
};

template <> struct Arbitrary<base::wall_time> {
  static Gen<base::wall_time> arbitrary() {
    return gen::map(gen::inRange<std::int64_t>(0, INT64_C(9'000'000'000'000)),
                    [](std::int64_t Millis) {
                      return base::wall_time(milliseconds(Millis));
                    });
  }
};

template <> struct Arbitrary<caps::cap_id> {
  static Gen<caps::cap_id> arbitrary() {
    return gen::oneOf(gen::cast<caps::cap_id>(gen::construct<caps::region_cap>(
                          gen::arbitrary<base::region_name>())),
                      gen::cast<caps::cap_id>(gen::construct<caps::link_cap>(
                          gen::arbitrary<base::region_name>(),
                          gen::arbitrary<base::region_name>())));
  }
};

} // namespace rc

namespace {

template <typename Value> Value any() { return *rc::gen::arbitrary<Value>(); }

std::uint64_t anyAmount() {
  return *rc::gen::inRange<std::uint64_t>(1, (UINT64_C(1) << 53) + 1);
}

// Fills all fields with arbitrary values, so that a field that the codec omits
// differs after a round trip.
void fill(hello &Value) {
  Value.Self = {any<base::entry_name>(),
                any<base::incarnation_id>(),
                any<base::region_name>(),
                any<base::domain_name>(),
                any<base::endpoint>(),
                any<base::endpoint>(),
                any<std::uint64_t>(),
                any<bool>(),
                any<bool>()};
  if (any<bool>())
    Value.Seat = any<std::uint16_t>();
}
void fill(heartbeat &Value) {
  Value.Sequence = any<std::uint64_t>();
  Value.ConfigVersion = any<std::uint64_t>();
  Value.Leaving = any<bool>();
  Value.Members = any<std::vector<base::endpoint>>();
  for (const auto &Name : any<std::vector<base::service_name>>())
    Value.Loads.push_back({Name, any<std::uint32_t>(), any<std::uint32_t>()});
}
void fill(config_request &Value) { Value.Version = any<std::uint64_t>(); }
void fill(config_document &Value) {
  Value = {any<std::uint64_t>(), *rc::anyName()};
}
void fill(caps::loan_request &Value) {
  Value = {any<std::uint64_t>(), any<caps::cap_id>(), anyAmount(),
           any<std::uint64_t>()};
}
void fill(caps::loan_grant &Value) {
  Value = {any<std::uint64_t>(), any<caps::cap_id>(), anyAmount(),
           milliseconds(*rc::gen::inRange(1, 60001))};
}
template <typename Request> void fillWitness(Request &Value) {
  // Keys come from callers, so any byte may occur in them.
  Value = {any<std::uint64_t>(), any<base::incarnation_id>(),
           any<base::incarnation_id>(), any<std::string>().substr(0, 256),
           any<base::wall_time>()};
}
void fill(intent_record &Value) { fillWitness(Value); }
void fill(seal_request &Value) { fillWitness(Value); }
void fill(intent_ack &Value) {
  Value = {any<std::uint64_t>(),
           static_cast<once::record_result>(*rc::gen::inRange(0, 4))};
}
void fill(seal_reply &Value) {
  Value = {any<std::uint64_t>(),
           static_cast<once::seal_result>(*rc::gen::inRange(0, 3))};
}
void fill(poison::crash_report &Value) {
  Value = {
      any<std::uint64_t>(),   any<std::uint64_t>(), any<base::service_name>(),
      any<base::target_id>(), *rc::anyName(),       any<base::wall_time>()};
}

auto fieldsOf(const hello &Value) {
  const member &Self = Value.Self;
  return std::tie(Self.Name, Self.Incarnation, Self.Region, Self.Domain,
                  Self.CallerAddress, Self.PeerAddress, Self.ConfigVersion,
                  Self.Ready, Self.Leaving, Value.Seat);
}
auto fieldsOf(const service_load &Value) {
  return std::tie(Value.Service, Value.InFlight, Value.Queued,
                  Value.RequestsPerSecond);
}
auto fieldsOf(const heartbeat &Value) {
  return std::tie(Value.Sequence, Value.ConfigVersion, Value.Leaving,
                  Value.Members);
}
auto fieldsOf(const config_request &Value) { return std::tie(Value.Version); }
auto fieldsOf(const config_document &Value) {
  return std::tie(Value.Version, Value.Text);
}
auto fieldsOf(const caps::loan_request &Value) {
  return std::tie(Value.RequestId, Value.Cap, Value.Amount, Value.Renews);
}
auto fieldsOf(const caps::loan_grant &Value) {
  return std::tie(Value.RequestId, Value.Cap, Value.Amount, Value.Duration);
}
template <typename Request> auto fieldsOf(const Request &Value) {
  return std::tie(Value.RequestId, Value.Owner, Value.Witness, Value.Key,
                  Value.Expiry);
}
auto fieldsOf(const intent_ack &Value) {
  return std::tie(Value.RequestId, Value.Result);
}
auto fieldsOf(const seal_reply &Value) {
  return std::tie(Value.RequestId, Value.Result);
}
auto fieldsOf(const poison::crash_report &Value) {
  return std::tie(Value.ReportId, Value.Fingerprint, Value.Service,
                  Value.Target, Value.Summary, Value.At);
}

template <std::size_t Index = 0> message anyOfType(std::size_t TypeIndex) {
  if constexpr (Index + 1 < MessageTypeCount) {
    if (TypeIndex != Index)
      return anyOfType<Index + 1>(TypeIndex);
  }
  std::variant_alternative_t<Index, message> Value;
  fill(Value);
  return Value;
}

message anyMessage() {
  return anyOfType(*rc::gen::inRange<std::size_t>(0, MessageTypeCount));
}

decode_fault faultOf(const nlohmann::json &Map) {
  std::string Bytes;
  nlohmann::json::to_cbor(Map, Bytes);
  const auto Decoded = decode(Bytes);
  CHECK_FALSE(Decoded.has_value());
  return Decoded.error().Fault;
}

} // namespace

TEST_GROUP(entries_codec){};

// Guards against a field that is lost or altered by encoding and decoding.
TEST(entries_codec, EveryMessageSurvivesARoundTrip) {
  CHECK_TRUE(rc::check([] {
    const message Sent = anyMessage();
    const auto Received = decode(encode(Sent));
    RC_ASSERT(Received.has_value());
    RC_ASSERT(Received.value().index() == Sent.index());
    std::visit(
        [&](const auto &Value) {
          const auto &DecodedValue =
              std::get<std::decay_t<decltype(Value)>>(Received.value());
          RC_ASSERT((fieldsOf(Value) == fieldsOf(DecodedValue)));
        },
        Sent);
    if (const auto *Heartbeat = std::get_if<heartbeat>(&Sent)) {
      const auto &Loads = std::get<heartbeat>(Received.value()).Loads;
      RC_ASSERT(std::equal(Heartbeat->Loads.begin(), Heartbeat->Loads.end(),
                           Loads.begin(), Loads.end(),
                           [](const auto &Left, const auto &Right) {
                             return fieldsOf(Left) == fieldsOf(Right);
                           }));
    }
  }));
}

// Guards against input that crashes the process, throws, or is accepted but
// does not encode to an equal message.
TEST(entries_codec, ArbitraryBytesAreRefusedOrDecodeToAMessage) {
  CHECK_TRUE(rc::check([] {
    std::string Bytes = any<bool>() ? any<std::string>() : encode(anyMessage());
    const int Changes = *rc::gen::inRange(0, 4);
    for (int Change = 0; Change < Changes && !Bytes.empty(); ++Change) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      if (any<bool>())
        Bytes[At] = any<char>();
      else
        Bytes.resize(At);
    }
    const auto Decoded = decode(Bytes);
    if (Decoded.has_value()) {
      const std::string Again = encode(Decoded.value());
      RC_ASSERT(encode(decode(Again).value()) == Again);
    }
  }));
}

// Guards against a stack overflow: the parser recurses once per nested array
// and once per chunk of an indefinite string.
TEST(entries_codec, DeeplyNestedInputIsRefused) {
  for (const char Head : {'\x81', '\x9f', '\x7f', '\x5f', '\xa1', '\xc1'}) {
    const auto Decoded = decode(std::string(MaxMessageBytes, Head));
    CHECK_FALSE(Decoded.has_value());
    CHECK_TRUE(Decoded.error().Fault == decode_fault::Malformed);
  }
}

// Guards against rejecting messages of a later release, whose types, formats
// and fields are unknown to this one.
TEST(entries_codec, UnknownTypesAndFieldsAreNotMalformed) {
  CHECK_TRUE(faultOf({{"type", "gossip"}, {"format", 1}}) ==
             decode_fault::Unknown);
  CHECK_TRUE(
      faultOf({{"type", "config_request"}, {"format", 2}, {"version", 1}}) ==
      decode_fault::Unknown);
  const nlohmann::json Extended = {{"type", "config_request"},
                                   {"format", 1},
                                   {"version", 7},
                                   {"since", nullptr}};
  std::string Bytes;
  nlohmann::json::to_cbor(Extended, Bytes);
  CHECK_EQUAL(7U, std::get<config_request>(decode(Bytes).value()).Version);
}

// Guards against silent conversion of values with a wrong type or range.
TEST(entries_codec, WrongTypesAndRangesAreMalformed) {
  const nlohmann::json Good = {{"type", "loan_grant"}, {"format", 1},
                               {"request_id", 1},      {"region", "pomorze"},
                               {"amount", 5},          {"length_ms", 2000}};
  const std::vector<std::pair<const char *, nlohmann::json>> Wrong = {
      {"amount", 5.0},        {"amount", "5"},   {"amount", -5},
      {"amount", 0},          {"amount", true},  {"amount", UINT64_MAX},
      {"length_ms", 60001},   {"region", ""},    {"region", 7},
      {"region", "\xff\xfe"}, {"format", "one"}, {"type", nullptr}};
  for (const auto &[Key, Value] : Wrong) {
    nlohmann::json Changed = Good;
    Changed[Key] = Value;
    CHECK_TRUE(faultOf(Changed) == decode_fault::Malformed);
  }
}

// Guards against a crash report that peers refuse, dropping the connection,
// because the path of the request contains arbitrary bytes.
TEST(entries_codec, SummariesOfCrashReportsAreAlwaysDecodable) {
  poison::crash_report Report;
  Report.Service = base::service_name("stock-view");
  Report.Target = base::target_id("t-1");
  Report.Summary = "GET /\xff\n" + std::string(5000, 'x');
  const auto Decoded = decode(encode(Report));
  CHECK_TRUE(Decoded.has_value());
  const auto &Received = std::get<poison::crash_report>(Decoded.value());
  CHECK_EQUAL(MaxSummaryBytes, Received.Summary.size());
  STRCMP_EQUAL("GET /??", Received.Summary.substr(0, 7).c_str());
}

// Guards against parsing a message that exceeds the size limit.
TEST(entries_codec, OversizedInputIsRefused) {
  const auto Decoded =
      decode(encode(config_document{1, std::string(MaxMessageBytes, 'x')}));
  CHECK_FALSE(Decoded.has_value());
  CHECK_TRUE(Decoded.error().Fault == decode_fault::Oversized);
}
