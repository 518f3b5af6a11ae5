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
  const auto Millis = floor<milliseconds>(Time.time_since_epoch());
  const auto Seconds = floor<seconds>(Millis);
  const std::time_t Whole = Seconds.count();
  std::tm Utc{};
  gmtime_r(&Whole, &Utc);
  std::array<char, 40> Text{};
  const std::size_t Size =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Utc);
  std::array<char, 8> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%03dZ",
                static_cast<int>((Millis - Seconds).count()));
  return std::string(Text.data(), Size) + Fraction.data();
}

std::optional<base::wall_time> parseTime(std::string_view Text) {
  const std::string Copy(Text);
  std::tm Utc{};
  const char *Rest = strptime(Copy.c_str(), "%Y-%m-%dT%H:%M:%S", &Utc);
  if (Rest == nullptr)
    return std::nullopt;
  double Fraction = 0;
  if (*Rest == '.') {
    double Scale = 0.1;
    for (++Rest; *Rest >= '0' && *Rest <= '9'; ++Rest, Scale /= 10)
      Fraction += (*Rest - '0') * Scale;
  }
  // A zero byte inside the text would end the comparison early.
  if (std::string_view(Rest) != "Z" || Copy.find('\0') != std::string::npos)
    return std::nullopt;
  // Years outside this range would overflow system_clock, which counts
  // nanoseconds in 64 bits.
  if (Utc.tm_year < 1970 - 1900 || Utc.tm_year >= 2200 - 1900)
    return std::nullopt;
  // timegm turns a day that the month does not have into one of the next month.
  const int Month = Utc.tm_mon;
  const std::time_t Whole = timegm(&Utc);
  if (Utc.tm_mon != Month)
    return std::nullopt;
  return system_clock::from_time_t(Whole) +
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
          {"deadline_ms", Service.MaxWait.count()},
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
static json encodeAll(const std::vector<Item> &Items,
                      json (*EncodeOne)(const Item &)) {
  json List = json::array();
  for (const Item &Each : Items)
    List.push_back(EncodeOne(Each));
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
      {"regions", encodeAll(Document.Regions, &encodeRegion)},
      {"links", encodeAll(Document.Links, &encodeLink)},
      {"services", encodeAll(Document.Services, &encodeService)},
      {"targets", encodeAll(Document.Targets, &encodeTarget)},
      {"drains", encodeAll(Document.Drains, &encodeDrain)},
      {"client_blocks", encodeAll(Document.ClientBlocks, &encodeBlock)}};
  return Root.dump();
}

namespace {

/// Reads members of one JSON object and collects what is missing, mistyped or
/// unknown.
class object_reader {
public:
  object_reader(const json &Object, std::string Place, base::findings &Findings)
      : Object(Object), Place(std::move(Place)), Findings(Findings) {
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

  std::uint64_t whole(const char *Key, std::uint64_t Most) {
    const json *Member = find(Key);
    if (Member == nullptr)
      return 0;
    if (!Member->is_number_unsigned() || Member->get<std::uint64_t>() > Most) {
      report(Key, "must be a whole number from 0 to " + std::to_string(Most));
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

  /// The list under a key, or an empty list after a finding.
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

  /// Reports every member that no call above has asked for.
  void finish() {
    if (!Object.is_object())
      return;
    for (const auto &[Key, Value] : Object.items())
      if (!Known.count(Key))
        report(Key, "is not a known field");
  }

  void report(const std::string &Key, std::string Reason) {
    Findings.push_back(
        {Key.empty() ? Place : Place + "/" + Key, std::move(Reason)});
  }

private:
  const json *find(const char *Key) {
    Known.insert(Key);
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
  std::string Place;
  base::findings &Findings;
  std::set<std::string> Known;
};

} // namespace

static constexpr std::uint64_t MaxWhole = UINT64_C(1) << 53;
static constexpr std::uint64_t MaxMillis = UINT64_C(24) * 3600 * 1000;

static std::vector<std::string> decodeTexts(const json &List,
                                            const std::string &Place,
                                            base::findings &Findings) {
  std::vector<std::string> Texts;
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    if (List[Index].is_string())
      Texts.push_back(List[Index].get<std::string>());
    else
      Findings.push_back(
          {Place + "/" + std::to_string(Index), "must be a string"});
  }
  return Texts;
}

static region decodeRegion(object_reader &Reader, const std::string &Place,
                           base::findings &Findings) {
  region Region;
  Region.Name = base::region_name(Reader.text("name"));
  Region.CapPerSecond = Reader.whole("cap_per_second", MaxWhole);
  for (std::string &Domain :
       decodeTexts(Reader.list("domains"), Place + "/domains", Findings))
    Region.Domains.emplace_back(std::move(Domain));
  return Region;
}

static link decodeLink(object_reader &Reader, const std::string &,
                       base::findings &) {
  link Link;
  Link.From = base::region_name(Reader.text("from"));
  Link.To = base::region_name(Reader.text("to"));
  Link.CapBitsPerSecond = Reader.whole("cap_bits_per_second", MaxWhole);
  Link.RoundTrip = microseconds(Reader.whole("round_trip_us", MaxMillis));
  return Link;
}

static service decodeService(object_reader &Reader, const std::string &,
                             base::findings &) {
  service Service;
  Service.Name = base::service_name(Reader.text("name"));
  Service.MaxWait = milliseconds(Reader.whole("deadline_ms", MaxMillis));
  Service.MaxAnswerBytes = Reader.whole("max_answer_bytes", UINT32_MAX);
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
  Target.Slots = static_cast<unsigned>(Reader.whole("slots", 100000));
  Target.MaxConnections =
      static_cast<unsigned>(Reader.whole("max_connections", 1000000));
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
static std::vector<Item> decodeAll(
    const json &List, const std::string &Place, base::findings &Findings,
    Item (*DecodeOne)(object_reader &, const std::string &, base::findings &)) {
  std::vector<Item> Items;
  Items.reserve(List.size());
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const std::string ItemPlace = Place + "/" + std::to_string(Index);
    object_reader Reader(List[Index], ItemPlace, Findings);
    Items.push_back(DecodeOne(Reader, ItemPlace, Findings));
    Reader.finish();
  }
  return Items;
}

static document decodeRoot(const json &Root, base::findings &Findings) {
  document Document;
  object_reader Reader(Root, "", Findings);
  if (Reader.whole("format", MaxWhole) != 1)
    Reader.report("format", "must be 1");
  Document.Version = Reader.whole("version", MaxWhole);
  Document.SubmissionId = Reader.text("submission_id");
  Document.SubmittedBy = base::operator_name(Reader.text("submitted_by"));
  Document.SubmittedAt = Reader.time("submitted_at");
  Document.RecentSubmissions = decodeTexts(Reader.list("recent_submissions"),
                                           "/recent_submissions", Findings);
  Document.EntrySeats =
      static_cast<unsigned>(Reader.whole("entry_seats", 100000));
  Document.ShiftCapPercentPerSecond =
      Reader.number("shift_cap_percent_per_second");
  Document.LookupTtl = milliseconds(Reader.whole("lookup_ttl_ms", MaxMillis));
  Document.Regions = decodeAll<region>(Reader.list("regions"), "/regions",
                                       Findings, &decodeRegion);
  Document.Links =
      decodeAll<link>(Reader.list("links"), "/links", Findings, &decodeLink);
  Document.Services = decodeAll<service>(Reader.list("services"), "/services",
                                         Findings, &decodeService);
  Document.Targets = decodeAll<target>(Reader.list("targets"), "/targets",
                                       Findings, &decodeTarget);
  Document.Drains = decodeAll<drain>(Reader.list("drains"), "/drains", Findings,
                                     &decodeDrain);
  Document.ClientBlocks = decodeAll<client_block>(
      Reader.list("client_blocks"), "/client_blocks", Findings, &decodeBlock);
  Reader.finish();
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
