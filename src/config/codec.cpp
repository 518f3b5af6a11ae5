#include "skylarkdyke/config/codec.hpp"

#include "skylarkdyke/config/scope.hpp"

#include <array>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkdyke::config {

using nlohmann::json;
using namespace std::chrono;

std::string formatTime(base::wall_time Time) {
  const auto Milliseconds = floor<milliseconds>(Time.time_since_epoch());
  const auto Seconds = floor<seconds>(Milliseconds);
  const std::time_t EpochSeconds = Seconds.count();
  std::tm Utc{};
  gmtime_r(&EpochSeconds, &Utc);
  std::array<char, 40> Text{};
  const std::size_t Size =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Utc);
  std::array<char, 8> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%03dZ",
                static_cast<int>((Milliseconds - Seconds).count()));
  return std::string(Text.data(), Size) + Fraction.data();
}

std::optional<base::wall_time> parseTime(std::string_view Text) {
  const std::string Copy(Text);
  std::tm Utc{};
  const char *ParseEnd = strptime(Copy.c_str(), "%Y-%m-%dT%H:%M:%S", &Utc);
  if (ParseEnd == nullptr)
    return std::nullopt;
  double Fraction = 0;
  if (*ParseEnd == '.') {
    double Scale = 0.1;
    for (++ParseEnd; *ParseEnd >= '0' && *ParseEnd <= '9';
         ++ParseEnd, Scale /= 10)
      Fraction += (*ParseEnd - '0') * Scale;
  }
  // A zero byte in the text would end the parsed string early.
  if (std::string_view(ParseEnd) != "Z" || Copy.find('\0') != std::string::npos)
    return std::nullopt;
  // Years outside this range would overflow system_clock, which counts
  // nanoseconds in 64 bits.
  if (Utc.tm_year < 1970 - 1900 || Utc.tm_year >= 2200 - 1900)
    return std::nullopt;
  // timegm converts a day that does not exist in the month to a day of the next
  // month.
  const int Month = Utc.tm_mon;
  const std::time_t EpochSeconds = timegm(&Utc);
  if (Utc.tm_mon != Month)
    return std::nullopt;
  return system_clock::from_time_t(EpochSeconds) +
         milliseconds(std::lround(Fraction * 1000));
}

static json encodeRegion(const region &Region) {
  json Domains = json::array();
  for (const base::domain_name &Domain : Region.Domains)
    Domains.push_back(Domain.str());
  return {{"name", Region.Name.str()},
          {"cap_per_second", Region.CapPerSecond},
          {"domains", Domains}};
}

static json encodeLink(const link &Link) {
  return {{"from", Link.From.str()},
          {"to", Link.To.str()},
          {"cap_bits_per_second", Link.CapBitsPerSecond},
          {"round_trip_us", Link.RoundTrip.count()}};
}

static json encodeService(const service &Service) {
  return {{"name", Service.Name.str()},
          {"deadline_ms", Service.DefaultTimeout.count()},
          {"max_answer_bytes", Service.MaxAnswerBytes}};
}

static json encodeTarget(const target &Target) {
  return {{"id", Target.Id.str()},
          {"service", Target.Service.str()},
          {"domain", Target.Domain.str()},
          {"address", base::toString(Target.Address)},
          {"slots", Target.Slots},
          {"max_connections", Target.MaxConnections}};
}

static json encodeDrain(const drain &Drain) {
  return {{"scope", toString(Drain.Scope)},
          {"name", Drain.Name},
          {"action", toString(Drain.Action)},
          {"start", formatTime(Drain.Start)}};
}

static json encodeBlock(const client_block &Block) {
  return {{"prefix", Block.Prefix}, {"region", Block.Region.str()}};
}

template <typename Item>
static json encodeList(const std::vector<Item> &Items,
                       json (*EncodeItem)(const Item &)) {
  json List = json::array();
  for (const Item &Element : Items)
    List.push_back(EncodeItem(Element));
  return List;
}

std::string encode(const document &Document) {
  const json Root = {
      {"format", 1},
      {"version", Document.Version},
      {"submission_id", Document.SubmissionId},
      {"submitted_by", Document.SubmittedBy.str()},
      {"submitted_at", formatTime(Document.SubmittedAt)},
      {"recent_submissions", Document.RecentSubmissions},
      {"entry_seats", Document.EntrySeats},
      {"shift_cap_percent_per_second", Document.ShiftCapPercentPerSecond},
      {"lookup_ttl_ms", Document.LookupTtl.count()},
      {"regions", encodeList(Document.Regions, &encodeRegion)},
      {"links", encodeList(Document.Links, &encodeLink)},
      {"services", encodeList(Document.Services, &encodeService)},
      {"targets", encodeList(Document.Targets, &encodeTarget)},
      {"drains", encodeList(Document.Drains, &encodeDrain)},
      {"client_blocks", encodeList(Document.ClientBlocks, &encodeBlock)}};
  return Root.dump();
}

namespace {

/// Reads the members of one JSON object and reports members that are missing,
/// have the wrong type or are unknown.
class object_reader {
public:
  object_reader(const json &Object, std::string Location,
                base::findings &Findings)
      : Object(Object), Location(std::move(Location)), Findings(Findings) {
    if (!Object.is_object())
      report("", "must be an object");
  }

  std::string text(const char *Key) {
    const json *Member = find(Key);
    if (Member == nullptr)
      return {};
    if (!Member->is_string()) {
      report(Key, "must be a string");
      return {};
    }
    return Member->get<std::string>();
  }

  std::uint64_t unsignedInteger(const char *Key, std::uint64_t Max) {
    const json *Member = find(Key);
    if (Member == nullptr)
      return 0;
    if (!Member->is_number_unsigned() || Member->get<std::uint64_t>() > Max) {
      report(Key, "must be a whole number from 0 to " + std::to_string(Max));
      return 0;
    }
    return Member->get<std::uint64_t>();
  }

  double number(const char *Key) {
    const json *Member = find(Key);
    if (Member == nullptr)
      return 0;
    if (!Member->is_number()) {
      report(Key, "must be a number");
      return 0;
    }
    return Member->get<double>();
  }

  base::wall_time time(const char *Key) {
    const std::size_t Before = Findings.size();
    const std::string Text = text(Key);
    const auto Time = parseTime(Text);
    if (!Time && Findings.size() == Before)
      report(Key, "must be a UTC time such as 2026-12-04T05:30:00Z");
    return Time.value_or(base::wall_time());
  }

  /// Returns the list under a key, or an empty list after reporting a finding.
  const json &list(const char *Key) {
    static const json Empty = json::array();
    const json *Member = find(Key);
    if (Member == nullptr)
      return Empty;
    if (!Member->is_array()) {
      report(Key, "must be a list");
      return Empty;
    }
    return *Member;
  }

  /// Reports each member that no earlier call has read.
  void reportUnknownMembers() {
    if (!Object.is_object())
      return;
    for (const auto &[Key, Value] : Object.items())
      if (!ReadKeys.count(Key))
        report(Key, "is not a known field");
  }

  void report(const std::string &Key, std::string Reason) {
    Findings.push_back(
        {Key.empty() ? Location : Location + "/" + Key, std::move(Reason)});
  }

private:
  const json *find(const char *Key) {
    ReadKeys.insert(Key);
    if (!Object.is_object())
      return nullptr;
    const auto Found = Object.find(Key);
    if (Found == Object.end()) {
      report(Key, "is missing");
      return nullptr;
    }
    return &*Found;
  }

  const json &Object;
  std::string Location;
  base::findings &Findings;
  std::set<std::string> ReadKeys;
};

} // namespace

// A double represents all integers up to this one exactly.
static constexpr std::uint64_t MaxExactInteger = UINT64_C(1) << 53;
// 24 hours in milliseconds.
static constexpr std::uint64_t MaxMilliseconds = UINT64_C(24) * 3600 * 1000;

static std::vector<std::string> decodeStrings(const json &List,
                                              const std::string &Location,
                                              base::findings &Findings) {
  std::vector<std::string> Strings;
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    if (List[Index].is_string())
      Strings.push_back(List[Index].get<std::string>());
    else
      Findings.push_back(
          {Location + "/" + std::to_string(Index), "must be a string"});
  }
  return Strings;
}

static region decodeRegion(object_reader &Reader, const std::string &Location,
                           base::findings &Findings) {
  region Region;
  Region.Name = base::region_name(Reader.text("name"));
  Region.CapPerSecond =
      Reader.unsignedInteger("cap_per_second", MaxExactInteger);
  for (std::string &Domain :
       decodeStrings(Reader.list("domains"), Location + "/domains", Findings))
    Region.Domains.emplace_back(std::move(Domain));
  return Region;
}

static link decodeLink(object_reader &Reader, const std::string &,
                       base::findings &) {
  link Link;
  Link.From = base::region_name(Reader.text("from"));
  Link.To = base::region_name(Reader.text("to"));
  Link.CapBitsPerSecond =
      Reader.unsignedInteger("cap_bits_per_second", MaxExactInteger);
  Link.RoundTrip =
      microseconds(Reader.unsignedInteger("round_trip_us", MaxMilliseconds));
  return Link;
}

static service decodeService(object_reader &Reader, const std::string &,
                             base::findings &) {
  service Service;
  Service.Name = base::service_name(Reader.text("name"));
  Service.DefaultTimeout =
      milliseconds(Reader.unsignedInteger("deadline_ms", MaxMilliseconds));
  Service.MaxAnswerBytes =
      Reader.unsignedInteger("max_answer_bytes", UINT32_MAX);
  return Service;
}

static target decodeTarget(object_reader &Reader, const std::string &,
                           base::findings &) {
  target Target;
  Target.Id = base::target_id(Reader.text("id"));
  Target.Service = base::service_name(Reader.text("service"));
  Target.Domain = base::domain_name(Reader.text("domain"));
  const std::string Address = Reader.text("address");
  if (const auto Parsed = base::parseEndpoint(Address))
    Target.Address = *Parsed;
  else
    Reader.report("address", "must be an IPv4 address and port such as "
                             "10.0.0.1:8080");
  Target.Slots = static_cast<unsigned>(Reader.unsignedInteger("slots", 100000));
  Target.MaxConnections =
      static_cast<unsigned>(Reader.unsignedInteger("max_connections", 1000000));
  return Target;
}

static drain decodeDrain(object_reader &Reader, const std::string &,
                         base::findings &) {
  drain Drain;
  const std::string Scope = Reader.text("scope");
  if (Scope == "domain")
    Drain.Scope = drain_scope::Domain;
  else if (Scope == "region")
    Drain.Scope = drain_scope::Region;
  else if (Scope != "target")
    Reader.report("scope", "must be target, domain or region");
  Drain.Name = Reader.text("name");
  const std::string Action = Reader.text("action");
  if (Action == "return")
    Drain.Action = drain_action::Return;
  else if (Action != "leave")
    Reader.report("action", "must be leave or return");
  Drain.Start = Reader.time("start");
  return Drain;
}

static client_block decodeBlock(object_reader &Reader, const std::string &,
                                base::findings &) {
  client_block Block;
  Block.Prefix = Reader.text("prefix");
  Block.Region = base::region_name(Reader.text("region"));
  return Block;
}

template <typename Item>
static std::vector<Item>
decodeList(const json &List, const std::string &Location,
           base::findings &Findings,
           Item (*DecodeItem)(object_reader &, const std::string &,
                              base::findings &)) {
  std::vector<Item> Items;
  Items.reserve(List.size());
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const std::string ItemLocation = Location + "/" + std::to_string(Index);
    object_reader Reader(List[Index], ItemLocation, Findings);
    Items.push_back(DecodeItem(Reader, ItemLocation, Findings));
    Reader.reportUnknownMembers();
  }
  return Items;
}

static document decodeRoot(const json &Root, base::findings &Findings) {
  document Document;
  object_reader Reader(Root, "", Findings);
  if (Reader.unsignedInteger("format", MaxExactInteger) != 1)
    Reader.report("format", "must be 1");
  Document.Version = Reader.unsignedInteger("version", MaxExactInteger);
  Document.SubmissionId = Reader.text("submission_id");
  Document.SubmittedBy = base::operator_name(Reader.text("submitted_by"));
  Document.SubmittedAt = Reader.time("submitted_at");
  Document.RecentSubmissions = decodeStrings(Reader.list("recent_submissions"),
                                             "/recent_submissions", Findings);
  Document.EntrySeats =
      static_cast<unsigned>(Reader.unsignedInteger("entry_seats", 100000));
  Document.ShiftCapPercentPerSecond =
      Reader.number("shift_cap_percent_per_second");
  Document.LookupTtl =
      milliseconds(Reader.unsignedInteger("lookup_ttl_ms", MaxMilliseconds));
  Document.Regions = decodeList<region>(Reader.list("regions"), "/regions",
                                        Findings, &decodeRegion);
  Document.Links =
      decodeList<link>(Reader.list("links"), "/links", Findings, &decodeLink);
  Document.Services = decodeList<service>(Reader.list("services"), "/services",
                                          Findings, &decodeService);
  Document.Targets = decodeList<target>(Reader.list("targets"), "/targets",
                                        Findings, &decodeTarget);
  Document.Drains = decodeList<drain>(Reader.list("drains"), "/drains",
                                      Findings, &decodeDrain);
  Document.ClientBlocks = decodeList<client_block>(
      Reader.list("client_blocks"), "/client_blocks", Findings, &decodeBlock);
  Reader.reportUnknownMembers();
  return Document;
}

base::result<document, base::findings> decode(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    return base::findings{{"", "the document is larger than " +
                                   std::to_string(MaxDocumentBytes) +
                                   " bytes"}};
  const json Root = json::parse(Text, nullptr, false);
  if (Root.is_discarded())
    return base::findings{{"", "the document is not valid JSON"}};
  base::findings Findings;
  document Document = decodeRoot(Root, Findings);
  if (!Findings.empty())
    return Findings;
  return Document;
}

} // namespace skylarkdyke::config
