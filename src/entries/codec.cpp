#include "skylarkdyke/entries/codec.hpp"
#include "skylarkdyke/base/cbor_structure.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <websocketpp/utf8_validator.hpp>

namespace skylarkdyke::entries {

using nlohmann::json;
using std::chrono::milliseconds;

/// Version of the message format.
static constexpr std::uint64_t FormatVersion = 1;

/// Latest accepted instant, in milliseconds since 1970 (year 2255), so that
/// arithmetic on instants does not overflow the nanoseconds of wall_time.
static constexpr std::uint64_t MaxWallMillis = UINT64_C(9'000'000'000'000);
static constexpr std::uint64_t MaxAmount = UINT64_C(1) << 53;
static constexpr std::uint64_t MaxLoanMillis = 60'000;
static constexpr std::uint64_t MaxSeat = 65535;
static constexpr std::uint64_t MaxUint32 =
    std::numeric_limits<std::uint32_t>::max();
static constexpr std::uint64_t MaxUint64 =
    std::numeric_limits<std::uint64_t>::max();

static constexpr std::array<const char *, MessageTypeCount> TypeNames{
    "hello",        "heartbeat",  "config_request", "config_document",
    "loan_request", "loan_grant", "intent_record",  "intent_ack",
    "seal_request", "seal_reply", "crash_report"};

const char *typeName(std::size_t Index) { return TypeNames.at(Index); }

namespace {

/// Exception for a malformed message; decode() converts it to an error.
struct malformed_error {
  std::string Reason;
};

/// Reads the fields of a CBOR map and checks their types and ranges.
class map_reader {
public:
  explicit map_reader(const json &Map) : Map(Map) {
    if (!Map.is_object())
      throw malformed_error{"item is not a map"};
  }

  const json &at(const char *Key) const {
    const auto Found = Map.find(Key);
    if (Found == Map.end())
      throw malformed_error{std::string(Key) + " is missing"};
    return *Found;
  }

  bool has(const char *Key) const { return Map.contains(Key); }

  std::uint64_t unsignedInteger(const char *Key, std::uint64_t Min,
                                std::uint64_t Max) const {
    const json &Value = at(Key);
    if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() < Min ||
        Value.get<std::uint64_t>() > Max)
      throw malformed_error{std::string(Key) +
                            " is not an unsigned integer in range"};
    return Value.get<std::uint64_t>();
  }

  bool boolean(const char *Key) const {
    const json &Value = at(Key);
    if (!Value.is_boolean())
      throw malformed_error{std::string(Key) + " is not a boolean"};
    return Value.get<bool>();
  }

  std::string text(const char *Key, std::size_t MaxBytes) const {
    return checkedText(at(Key), Key, MaxBytes);
  }

  template <typename Name> Name name(const char *Key) const {
    std::string Text = text(Key, MaxNameBytes);
    if (Text.empty())
      throw malformed_error{std::string(Key) + " is empty"};
    return Name(std::move(Text));
  }

  std::string bytes(const char *Key, std::size_t MaxBytes) const {
    const json &Value = at(Key);
    if (!Value.is_binary() || Value.get_binary().size() > MaxBytes)
      throw malformed_error{std::string(Key) +
                            " is not a byte string or is too long"};
    const auto &Bytes = Value.get_binary();
    return {Bytes.begin(), Bytes.end()};
  }

  base::incarnation_id incarnation(const char *Key) const {
    return {unsignedInteger(Key, 1, MaxUint64)};
  }

  base::endpoint address(const char *Key) const {
    return checkedAddress(at(Key), Key);
  }

  base::wall_time time(const char *Key) const {
    return base::wall_time(
        milliseconds(unsignedInteger(Key, 0, MaxWallMillis)));
  }

  const json &list(const char *Key) const {
    const json &Value = at(Key);
    if (!Value.is_array())
      throw malformed_error{std::string(Key) + " is not an array"};
    return Value;
  }

  static std::string checkedText(const json &Value, const char *Key,
                                 std::size_t MaxBytes) {
    if (!Value.is_string())
      throw malformed_error{std::string(Key) + " is not a text string"};
    const auto &Text = Value.get_ref<const std::string &>();
    // The CBOR parser does not check that the text is UTF-8, and json::dump()
    // throws if it is not.
    if (Text.size() > MaxBytes || !websocketpp::utf8_validator::validate(Text))
      throw malformed_error{std::string(Key) + " is too long or not UTF-8"};
    return Text;
  }

  static base::endpoint checkedAddress(const json &Value, const char *Key) {
    auto Address = base::parseEndpoint(checkedText(Value, Key, MaxNameBytes));
    if (!Address)
      throw malformed_error{std::string(Key) + " is not an address and port"};
    return std::move(*Address);
  }

private:
  const json &Map;
};

} // namespace

static std::uint64_t toMillis(base::wall_time Time) {
  const auto Millis =
      std::chrono::duration_cast<milliseconds>(Time.time_since_epoch());
  return Millis.count() < 0 ? 0 : static_cast<std::uint64_t>(Millis.count());
}

static json binary(const std::string &Bytes) {
  return json::binary({Bytes.begin(), Bytes.end()});
}

static std::string printable(std::string Text) {
  Text.resize(std::min(Text.size(), MaxSummaryBytes));
  std::replace_if(
      Text.begin(), Text.end(),
      [](char Character) { return Character < ' ' || Character > '~'; }, '?');
  return Text;
}

static void encodeCap(const caps::cap_id &Cap, json &Map) {
  if (const auto *Region = std::get_if<caps::region_cap>(&Cap)) {
    Map["region"] = Region->Region.str();
    return;
  }
  const auto &Link = std::get<caps::link_cap>(Cap);
  Map["from"] = Link.From.str();
  Map["to"] = Link.To.str();
}

static caps::cap_id decodeCap(const map_reader &Map) {
  if (Map.has("region"))
    return caps::region_cap{Map.name<base::region_name>("region")};
  return caps::link_cap{Map.name<base::region_name>("from"),
                        Map.name<base::region_name>("to")};
}

static json toMap(const hello &Hello) {
  const member &Self = Hello.Self;
  json Map = {{"name", Self.Name.str()},
              {"incarnation", Self.Incarnation.Value},
              {"region", Self.Region.str()},
              {"domain", Self.Domain.str()},
              {"caller_address", base::toString(Self.CallerAddress)},
              {"peer_address", base::toString(Self.PeerAddress)},
              {"config_version", Self.ConfigVersion},
              {"ready", Self.Ready},
              {"leaving", Self.Leaving}};
  if (Hello.Seat)
    Map["seat"] = *Hello.Seat;
  return Map;
}

static void fromMap(const map_reader &Map, hello &Hello) {
  member &Self = Hello.Self;
  Self.Name = Map.name<base::entry_name>("name");
  Self.Incarnation = Map.incarnation("incarnation");
  Self.Region = Map.name<base::region_name>("region");
  Self.Domain = Map.name<base::domain_name>("domain");
  Self.CallerAddress = Map.address("caller_address");
  Self.PeerAddress = Map.address("peer_address");
  Self.ConfigVersion = Map.unsignedInteger("config_version", 0, MaxUint64);
  Self.Ready = Map.boolean("ready");
  Self.Leaving = Map.boolean("leaving");
  if (Map.has("seat"))
    Hello.Seat =
        static_cast<std::uint32_t>(Map.unsignedInteger("seat", 0, MaxSeat));
}

static json toMap(const heartbeat &Heartbeat) {
  json Map = {{"sequence", Heartbeat.Sequence},
              {"config_version", Heartbeat.ConfigVersion},
              {"leaving", Heartbeat.Leaving}};
  json Loads = json::array();
  for (const service_load &Load : Heartbeat.Loads)
    Loads.push_back({{"service", Load.Service.str()},
                     {"in_flight", Load.InFlight},
                     {"queued", Load.Queued},
                     {"requests_per_second", Load.RequestsPerSecond}});
  json Members = json::array();
  for (const base::endpoint &Address : Heartbeat.Members)
    Members.push_back(base::toString(Address));
  Map["loads"] = std::move(Loads);
  Map["members"] = std::move(Members);
  return Map;
}

static void fromMap(const map_reader &Map, heartbeat &Heartbeat) {
  Heartbeat.Sequence = Map.unsignedInteger("sequence", 0, MaxUint64);
  Heartbeat.ConfigVersion = Map.unsignedInteger("config_version", 0, MaxUint64);
  Heartbeat.Leaving = Map.boolean("leaving");
  for (const json &Item : Map.list("loads")) {
    const map_reader Load(Item);
    Heartbeat.Loads.push_back({Load.name<base::service_name>("service"),
                               static_cast<std::uint32_t>(Load.unsignedInteger(
                                   "in_flight", 0, MaxUint32)),
                               static_cast<std::uint32_t>(Load.unsignedInteger(
                                   "queued", 0, MaxUint32)),
                               static_cast<std::uint32_t>(Load.unsignedInteger(
                                   "requests_per_second", 0, MaxUint32))});
  }
  for (const json &Item : Map.list("members"))
    Heartbeat.Members.push_back(map_reader::checkedAddress(Item, "members"));
}

static json toMap(const config_request &Request) {
  return {{"version", Request.Version}};
}

static void fromMap(const map_reader &Map, config_request &Request) {
  Request.Version = Map.unsignedInteger("version", 0, MaxUint64);
}

static json toMap(const config_document &Document) {
  return {{"version", Document.Version}, {"text", Document.Text}};
}

static void fromMap(const map_reader &Map, config_document &Document) {
  Document.Version = Map.unsignedInteger("version", 0, MaxUint64);
  Document.Text = Map.text("text", MaxMessageBytes);
}

static json toMap(const caps::loan_request &Request) {
  json Map = {{"request_id", Request.RequestId},
              {"amount", Request.Amount},
              {"renews", Request.Renews}};
  encodeCap(Request.Cap, Map);
  return Map;
}

static void fromMap(const map_reader &Map, caps::loan_request &Request) {
  Request.RequestId = Map.unsignedInteger("request_id", 0, MaxUint64);
  Request.Cap = decodeCap(Map);
  Request.Amount = Map.unsignedInteger("amount", 1, MaxAmount);
  Request.Renews = Map.unsignedInteger("renews", 0, MaxUint64);
}

static json toMap(const caps::loan_grant &Grant) {
  json Map = {
      {"request_id", Grant.RequestId},
      {"amount", Grant.Amount},
      {"length_ms", static_cast<std::uint64_t>(Grant.Duration.count())}};
  encodeCap(Grant.Cap, Map);
  return Map;
}

static void fromMap(const map_reader &Map, caps::loan_grant &Grant) {
  Grant.RequestId = Map.unsignedInteger("request_id", 0, MaxUint64);
  Grant.Cap = decodeCap(Map);
  Grant.Amount = Map.unsignedInteger("amount", 1, MaxAmount);
  Grant.Duration =
      milliseconds(Map.unsignedInteger("length_ms", 1, MaxLoanMillis));
}

template <typename Request> static json witnessToMap(const Request &Message) {
  return {{"request_id", Message.RequestId},
          {"owner", Message.Owner.Value},
          {"witness", Message.Witness.Value},
          {"key", binary(Message.Key)},
          {"expiry_ms", toMillis(Message.Expiry)}};
}

template <typename Request>
static void witnessFromMap(const map_reader &Map, Request &Message) {
  Message.RequestId = Map.unsignedInteger("request_id", 0, MaxUint64);
  Message.Owner = Map.incarnation("owner");
  Message.Witness = Map.incarnation("witness");
  Message.Key = Map.bytes("key", once::MaxKeyBytes);
  Message.Expiry = Map.time("expiry_ms");
}

static json toMap(const intent_record &Record) { return witnessToMap(Record); }
static void fromMap(const map_reader &Map, intent_record &Record) {
  witnessFromMap(Map, Record);
}
static json toMap(const seal_request &Request) { return witnessToMap(Request); }
static void fromMap(const map_reader &Map, seal_request &Request) {
  witnessFromMap(Map, Request);
}

static constexpr std::array<const char *, 4> RecordResultNames{
    "recorded", "sealed", "full", "refused"};
static constexpr std::array<const char *, 3> SealResultNames{
    "never_recorded", "recorded", "not_known"};

template <typename Enum, std::size_t Count>
static Enum decodeName(const map_reader &Map,
                       const std::array<const char *, Count> &Names) {
  const std::string Name = Map.text("result", MaxNameBytes);
  const auto *Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    throw malformed_error{"result is not a known name"};
  return static_cast<Enum>(Found - Names.begin());
}

static json toMap(const intent_ack &Ack) {
  return {
      {"request_id", Ack.RequestId},
      {"result", RecordResultNames.at(static_cast<std::size_t>(Ack.Result))}};
}

static void fromMap(const map_reader &Map, intent_ack &Ack) {
  Ack.RequestId = Map.unsignedInteger("request_id", 0, MaxUint64);
  Ack.Result = decodeName<once::record_result>(Map, RecordResultNames);
}

static json toMap(const seal_reply &Reply) {
  return {
      {"request_id", Reply.RequestId},
      {"result", SealResultNames.at(static_cast<std::size_t>(Reply.Result))}};
}

static void fromMap(const map_reader &Map, seal_reply &Reply) {
  Reply.RequestId = Map.unsignedInteger("request_id", 0, MaxUint64);
  Reply.Result = decodeName<once::seal_result>(Map, SealResultNames);
}

static json toMap(const poison::crash_report &Report) {
  return {{"report_id", Report.ReportId},
          {"fingerprint", Report.Fingerprint},
          {"service", Report.Service.str()},
          {"target", Report.Target.str()},
          {"summary", printable(Report.Summary)},
          {"at_ms", toMillis(Report.At)}};
}

static void fromMap(const map_reader &Map, poison::crash_report &Report) {
  Report.ReportId = Map.unsignedInteger("report_id", 0, MaxUint64);
  Report.Fingerprint = Map.unsignedInteger("fingerprint", 0, MaxUint64);
  Report.Service = Map.name<base::service_name>("service");
  Report.Target = Map.name<base::target_id>("target");
  Report.Summary = Map.text("summary", MaxSummaryBytes);
  Report.At = Map.time("at_ms");
}

std::string encode(const message &Message) {
  json Map =
      std::visit([](const auto &Content) { return toMap(Content); }, Message);
  Map["type"] = TypeNames.at(Message.index());
  Map["format"] = FormatVersion;
  std::string Bytes;
  json::to_cbor(Map, Bytes);
  return Bytes;
}

template <std::size_t Index = 0>
static message decodeType(std::size_t TypeIndex, const map_reader &Map) {
  if constexpr (Index + 1 < MessageTypeCount) {
    if (TypeIndex != Index)
      return decodeType<Index + 1>(TypeIndex, Map);
  }
  std::variant_alternative_t<Index, message> Message;
  fromMap(Map, Message);
  return Message;
}

static base::result<message, decode_error>
decodeChecked(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return decode_error{decode_fault::Oversized, "message is too large"};
  if (const char *Reason = base::checkCborStructure(Bytes))
    return decode_error{decode_fault::Malformed,
                        std::string("CBOR item ") + Reason};
  const json Root = json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (Root.is_discarded())
    return decode_error{decode_fault::Malformed, "not a CBOR item"};
  const map_reader Map(Root);
  const std::string Type = Map.text("type", MaxNameBytes);
  const std::uint64_t ReceivedFormat =
      Map.unsignedInteger("format", 0, MaxUint64);
  const auto *Found = std::find(TypeNames.begin(), TypeNames.end(), Type);
  if (Found == TypeNames.end() || ReceivedFormat != FormatVersion)
    return decode_error{decode_fault::Unknown,
                        "type " + Type + ", format " +
                            std::to_string(ReceivedFormat)};
  return decodeType(static_cast<std::size_t>(Found - TypeNames.begin()), Map);
}

base::result<message, decode_error> decode(std::string_view Bytes) noexcept {
  try {
    return decodeChecked(Bytes);
  } catch (const malformed_error &Error) {
    return decode_error{decode_fault::Malformed, Error.Reason};
  } catch (const std::exception &Error) {
    return decode_error{decode_fault::Malformed, Error.what()};
  }
}

} // namespace skylarkdyke::entries
