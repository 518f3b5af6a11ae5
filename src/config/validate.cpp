#include "skylarkdyke/config/validate.hpp"

#include "skylarkdyke/config/prefix.hpp"
#include "skylarkdyke/config/scope.hpp"
#include "skylarkdyke/config/submission.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace skylarkdyke::config {

using namespace std::chrono_literals;

static constexpr std::size_t MaxNameLength = 64;
static constexpr unsigned MaxEntrySeats = 10000;
static constexpr auto MinLookupTtl = 100ms;
// An entry that stops gracefully serves until its last lookup response has
// expired, so the time to live bounds the duration of the stop.
static constexpr auto MaxLookupTtl = 10min;
static constexpr auto MaxDeadline = 10min;
// A response is buffered in memory completely before it is forwarded.
static constexpr std::size_t MaxAnswerBytesLimit =
    std::size_t{64} * 1024 * 1024;

/// Returns whether a text is a valid name. Names occur in paths, keys and logs,
/// so they are limited to characters that need no escaping there.
static bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return (Character >= 'a' && Character <= 'z') ||
                  (Character >= 'A' && Character <= 'Z') ||
                  (Character >= '0' && Character <= '9') || Character == '-' ||
                  Character == '_' || Character == '.';
         });
}

namespace {

/// Checks one document and collects the findings.
class validator {
public:
  explicit validator(const document &Document)
      : Document(Document), Regions(regionsOfDomains(Document)) {}

  base::findings run() {
    checkTopLevelFields();
    checkRegions();
    checkLinks();
    checkServices();
    checkTargets();
    checkDrains();
    checkRemainingTargets();
    checkClientBlocks();
    return std::move(Findings);
  }

private:
  void report(std::string Location, std::string Reason) {
    Findings.push_back({std::move(Location), std::move(Reason)});
  }

  void require(bool Condition, const std::string &Location,
               const char *Reason) {
    if (!Condition)
      report(Location, Reason);
  }

  /// Checks the characters of a name and that it is unique.
  /// \param Seen names checked before; the name is added
  /// \return false if the name was used before
  bool checkName(const std::string &Name, const std::string &Location,
                 std::set<std::string> &Seen) {
    if (!isName(Name))
      report(Location, "must have 1 to 64 letters, digits, '-', '_' or '.'");
    if (Seen.insert(Name).second)
      return true;
    report(Location, "'" + Name + "' is already used");
    return false;
  }

  void checkTopLevelFields() {
    require(Document.Version > 0, "/version", "must be at least 1");
    require(isName(Document.SubmissionId), "/submission_id",
            "must have 1 to 64 letters, digits, '-', '_' or '.'");
    require(isName(Document.SubmittedBy.str()), "/submitted_by",
            "must have 1 to 64 letters, digits, '-', '_' or '.'");
    require(Document.RecentSubmissions.size() <= MaxRecentSubmissions,
            "/recent_submissions", "must have at most 16 entries");
    for (std::size_t I = 0; I < Document.RecentSubmissions.size(); ++I)
      require(isName(Document.RecentSubmissions[I]),
              "/recent_submissions/" + std::to_string(I),
              "must have 1 to 64 letters, digits, '-', '_' or '.'");
    require(Document.EntrySeats >= 1 && Document.EntrySeats <= MaxEntrySeats,
            "/entry_seats", "must be from 1 to 10000");
    require(Document.ShiftCapPercentPerSecond > 0 &&
                Document.ShiftCapPercentPerSecond <= 100,
            "/shift_cap_percent_per_second", "must be above 0 and at most 100");
    require(Document.LookupTtl >= MinLookupTtl &&
                Document.LookupTtl <= MaxLookupTtl,
            "/lookup_ttl_ms", "must be from 100 to 600000");
  }

  void checkRegions() {
    require(!Document.Regions.empty(), "/regions", "must not be empty");
    require(Document.Regions.size() <= MaxRegions, "/regions",
            "must have at most 200 entries");
    std::set<std::string> Domains;
    for (std::size_t I = 0; I < Document.Regions.size(); ++I) {
      const region &Region = Document.Regions[I];
      const std::string Location = "/regions/" + std::to_string(I);
      checkName(Region.Name.str(), Location + "/name", RegionNames);
      require(Region.CapPerSecond > 0, Location + "/cap_per_second",
              "must be at least 1");
      require(!Region.Domains.empty(), Location + "/domains",
              "must not be empty");
      for (std::size_t J = 0; J < Region.Domains.size(); ++J)
        checkName(Region.Domains[J].str(),
                  Location + "/domains/" + std::to_string(J), Domains);
    }
  }

  void requireRegion(const base::region_name &Name,
                     const std::string &Location) {
    if (RegionNames.count(Name.str()) == 0)
      report(Location, "there is no region '" + Name.str() + "'");
  }

  void checkLinks() {
    std::set<std::pair<std::string, std::string>> Pairs;
    for (std::size_t I = 0; I < Document.Links.size(); ++I) {
      const link &Link = Document.Links[I];
      const std::string Location = "/links/" + std::to_string(I);
      requireRegion(Link.From, Location + "/from");
      requireRegion(Link.To, Location + "/to");
      require(Link.From != Link.To, Location + "/to",
              "must differ from 'from'");
      require(Link.CapBitsPerSecond > 0, Location + "/cap_bits_per_second",
              "must be at least 1");
      require(Link.RoundTrip > 0us, Location + "/round_trip_us",
              "must be at least 1");
      if (!Pairs.emplace(Link.From.str(), Link.To.str()).second)
        report(Location, "there is already a link from '" + Link.From.str() +
                             "' to '" + Link.To.str() + "'");
    }
    if (RegionNames.size() > MaxRegions)
      return;
    for (const std::string &From : RegionNames)
      for (const std::string &To : RegionNames)
        if (From != To && Pairs.count({From, To}) == 0)
          reportMissingLink(From, To);
  }

  void reportMissingLink(const std::string &From, const std::string &To) {
    report("/links", "there is no link from '" + From + "' to '" + To + "'");
  }

  void checkServices() {
    for (std::size_t I = 0; I < Document.Services.size(); ++I) {
      const service &Service = Document.Services[I];
      const std::string Location = "/services/" + std::to_string(I);
      checkName(Service.Name.str(), Location + "/name", ServiceNames);
      require(Service.DefaultTimeout >= 1ms &&
                  Service.DefaultTimeout <= MaxDeadline,
              Location + "/deadline_ms", "must be from 1 to 600000");
      require(Service.MaxAnswerBytes >= 1 &&
                  Service.MaxAnswerBytes <= MaxAnswerBytesLimit,
              Location + "/max_answer_bytes", "must be from 1 to 67108864");
    }
  }

  void checkTargets() {
    std::map<base::endpoint, std::string> Addresses;
    for (std::size_t I = 0; I < Document.Targets.size(); ++I) {
      const target &Target = Document.Targets[I];
      const std::string Location = "/targets/" + std::to_string(I);
      checkName(Target.Id.str(), Location + "/id", TargetIds);
      if (ServiceNames.count(Target.Service.str()) == 0)
        report(Location + "/service",
               "there is no service '" + Target.Service.str() + "'");
      if (Regions.count(Target.Domain) == 0)
        report(Location + "/domain",
               "no region has a domain '" + Target.Domain.str() + "'");
      require(base::parseEndpoint(base::toString(Target.Address)).has_value(),
              Location + "/address", "must be an IPv4 address and port");
      const auto [Other, IsNew] =
          Addresses.emplace(Target.Address, Target.Id.str());
      if (!IsNew)
        report(Location + "/address",
               "is already the address of target '" + Other->second + "'");
      require(Target.Slots > 0, Location + "/slots", "must be at least 1");
      require(Target.MaxConnections >= Target.Slots,
              Location + "/max_connections",
              "must be at least the number of slots");
    }
  }

  bool exists(const drain &Drain) const {
    switch (Drain.Scope) {
    case drain_scope::Target:
      return TargetIds.count(Drain.Name) != 0;
    case drain_scope::Domain:
      return Regions.count(base::domain_name(Drain.Name)) != 0;
    case drain_scope::Region:
      return RegionNames.count(Drain.Name) != 0;
    }
    return false;
  }

  void checkDrains() {
    std::set<std::pair<drain_scope, std::string>> Seen;
    for (std::size_t I = 0; I < Document.Drains.size(); ++I) {
      const drain &Drain = Document.Drains[I];
      const std::string Location = "/drains/" + std::to_string(I);
      const std::string Kind = toString(Drain.Scope);
      if (!exists(Drain))
        report(Location + "/name",
               "there is no " + Kind + " '" + Drain.Name + "'");
      if (!Seen.emplace(Drain.Scope, Drain.Name).second)
        report(Location,
               "there is already a drain of " + Kind + " '" + Drain.Name + "'");
    }
  }

  void checkRemainingTargets() {
    const drained_scopes Drained(Document);
    std::set<std::string> ServedServices;
    for (const target &Target : Document.Targets)
      if (!Drained.contains(Target))
        ServedServices.insert(Target.Service.str());
    for (std::size_t I = 0; I < Document.Services.size(); ++I)
      if (ServedServices.count(Document.Services[I].Name.str()) == 0)
        report("/services/" + std::to_string(I),
               "no target of service '" + Document.Services[I].Name.str() +
                   "' is left after the drains");
  }

  void checkClientBlocks() {
    std::set<std::string> Prefixes;
    for (std::size_t I = 0; I < Document.ClientBlocks.size(); ++I) {
      const client_block &Block = Document.ClientBlocks[I];
      const std::string Location = "/client_blocks/" + std::to_string(I);
      require(parsePrefix(Block.Prefix).has_value(), Location + "/prefix",
              "must be an IPv4 prefix such as 10.1.0.0/16 without host bits");
      if (!Prefixes.insert(Block.Prefix).second)
        report(Location + "/prefix", "'" + Block.Prefix + "' is already used");
      requireRegion(Block.Region, Location + "/region");
    }
  }

  const document &Document;
  domain_regions Regions;
  base::findings Findings;
  std::set<std::string> RegionNames;
  std::set<std::string> ServiceNames;
  std::set<std::string> TargetIds;
};

} // namespace

base::findings validate(const document &Document) {
  return validator(Document).run();
}

base::findings validateChange(const document &Old, const document &New) {
  base::findings Findings;
  if (New.Version <= Old.Version)
    Findings.push_back({"/version", "must be higher than " +
                                        std::to_string(Old.Version) +
                                        ", the version in force"});
  if (New.EntrySeats != Old.EntrySeats)
    Findings.push_back(
        {"/entry_seats",
         "cannot change from " + std::to_string(Old.EntrySeats) + " to " +
             std::to_string(New.EntrySeats) +
             " while a configuration is in force: entries on either side of "
             "the change would split the caps differently"});
  if (hasSubmission(Old, New.SubmissionId))
    Findings.push_back({"/submission_id", "'" + New.SubmissionId +
                                              "' is already the id of an "
                                              "accepted submission"});
  return Findings;
}

} // namespace skylarkdyke::config
