#include "skylarkdyke/emulators/deployment.hpp"

#include <array>

namespace skylarkdyke::emulators {

using std::chrono::microseconds;

namespace {

/// What differs between the two deployments.
struct profile {
  std::array<const char *, 3> Regions;
  std::array<const char *, 4> Services;
  microseconds BetweenDomains;
  microseconds BetweenRegions;
  microseconds ToClients;
  unsigned MaxConnections;
};

/// IP addresses of a deployment: 127.<net>.<place>.<number>, where the place is
/// the number of the failure domain plus an offset for the kind of process.
class address_plan {
public:
  explicit address_plan(unsigned Net) : Net(Net) {}

  std::string entry(std::size_t Domain, std::size_t Number) const {
    return address(10 + Domain, Number);
  }
  std::string target(std::size_t Domain, std::size_t Number) const {
    return address(30 + Domain, Number);
  }
  std::string caller(unsigned Region) const { return address(50 + Region, 1); }
  std::string platform(unsigned Number) const { return address(60, Number); }

private:
  std::string address(std::size_t Place, std::size_t Number) const {
    return "127." + std::to_string(Net) + "." + std::to_string(Place) + "." +
           std::to_string(Number);
  }

  unsigned Net;
};

} // namespace

static constexpr unsigned DomainsPerRegion = 2;
static constexpr unsigned EndpointsPerService = 12;
static constexpr std::uint64_t LinkBitsPerSecond = 4'000'000'000;
/// Requests per second into a region; above what the slots of a region can run
/// with the emulated work times, so that caps bind only where a test lowers
/// them.
static constexpr std::uint64_t RegionCapPerSecond = 6000;
static constexpr std::uint16_t CallerPort = 18100;
static constexpr std::uint16_t AdminPort = 18200;
static constexpr std::uint16_t PeerPort = 18300;
static constexpr std::uint16_t StorePort = 18400;
static constexpr std::uint16_t ControlPort = 18500;
static constexpr std::uint16_t TargetPort = 19000;
/// Behind the proxy, a process listens on its published port plus this.
static constexpr std::uint16_t BehindProxy = 1000;

static std::optional<profile> findProfile(std::string_view Name) {
  if (Name == "rozpalka")
    return profile{
        {"mazowsze", "malopolska", "pomorze"},
        {"stock-view", "drop-confirm", "order-archive", "quote-desk"},
        microseconds(1000),
        microseconds(35000),
        microseconds(1000),
        350};
  if (Name == "mallas")
    return profile{{"valle-central", "guanacaste", "caribe"},
                   {"inventario", "pedidos", "tarifas", "despachos"},
                   microseconds(500),
                   microseconds(55000),
                   microseconds(8000),
                   330};
  return std::nullopt;
}

static std::string domainName(const profile &Profile, std::size_t Domain) {
  return std::string(Profile.Regions.at(Domain / DomainsPerRegion)) + "-" +
         static_cast<char>('a' + Domain % DomainsPerRegion);
}

static std::string clientsName(const profile &Profile, unsigned Region) {
  return std::string("clients-") + Profile.Regions.at(Region);
}

static base::endpoint behindProxy(const base::endpoint &Published) {
  return {Published.Address,
          static_cast<std::uint16_t>(Published.Port + BehindProxy)};
}

static void addRegions(const profile &Profile, deployment &Plan) {
  const unsigned RegionCount = Profile.Regions.size();
  for (unsigned Region = 0; Region < RegionCount; ++Region) {
    config::region Item;
    Item.Name = base::region_name(Profile.Regions.at(Region));
    Item.CapPerSecond = RegionCapPerSecond;
    for (unsigned Index = 0; Index < DomainsPerRegion; ++Index)
      Item.Domains.emplace_back(
          domainName(Profile, Region * DomainsPerRegion + Index));
    for (unsigned Other = 0; Other < RegionCount; ++Other)
      if (Other != Region)
        Plan.Document.Links.push_back(
            {Item.Name, base::region_name(Profile.Regions.at(Other)),
             LinkBitsPerSecond, Profile.BetweenRegions});
    Plan.Document.Regions.push_back(std::move(Item));
  }
}

static void addTargets(const profile &Profile, const address_plan &Addresses,
                       deployment &Plan) {
  const std::size_t DomainCount = Profile.Regions.size() * DomainsPerRegion;
  unsigned Number = 0;
  unsigned ServiceNumber = 0;
  for (const char *Service : Profile.Services) {
    Plan.TargetControls[Service] = {Addresses.platform(10 + ++ServiceNumber),
                                    ControlPort};
    config::service Item;
    Item.Name = base::service_name(Service);
    Item.MaxAnswerBytes = std::size_t{64} * 1024;
    Plan.Document.Services.push_back(Item);
    for (unsigned Index = 0; Index < EndpointsPerService; ++Index) {
      const unsigned Domain = Index % DomainCount;
      const base::endpoint Published{Addresses.target(Domain, ++Number),
                                     TargetPort};
      const std::string Id =
          std::string(Service) + "-" + std::to_string(Index + 1);
      // Endpoints have 3 or 4 slots.
      const unsigned Slots = 3 + Index / DomainCount;
      Plan.Document.Targets.push_back(
          {base::target_id(Id), Item.Name,
           base::domain_name(domainName(Profile, Domain)), Published, Slots,
           Profile.MaxConnections});
      Plan.Targets.push_back({Id, Service, domainName(Profile, Domain),
                              behindProxy(Published), Slots});
      Plan.Proxy.Addresses.push_back(
          {Id, Published, behindProxy(Published), domainName(Profile, Domain)});
    }
  }
}

/// Operator "demo" with the token "demo", for emulated deployments only.
static constexpr const char *OperatorTable =
    "[[operators]]\n"
    "name = \"demo\"\n"
    "token_sha256 = "
    "\"2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea\"\n";

static std::string settingsText(const entry_plan &Entry,
                                const base::endpoint &Store,
                                const std::vector<base::endpoint> &Seeds) {
  std::string SeedList;
  for (const base::endpoint &Seed : Seeds)
    SeedList +=
        (SeedList.empty() ? "\"" : ", \"") + base::toString(Seed) + "\"";
  const auto Line = [](const char *Key, const std::string &Value) {
    return std::string(Key) + " = \"" + Value + "\"\n";
  };
  return Line("name", Entry.Name) + Line("region", Entry.Region) +
         Line("domain", Entry.Domain) +
         Line("caller_address", base::toString(Entry.CallerAddress)) +
         Line("caller_listen",
              base::toString(behindProxy(Entry.CallerAddress))) +
         Line("admin_address", base::toString(Entry.AdminAddress)) +
         Line("peer_address", base::toString(Entry.PeerAddress)) +
         Line("peer_listen", base::toString(behindProxy(Entry.PeerAddress))) +
         Line("store", base::toString(Store)) + "seeds = [" + SeedList + "]\n" +
         OperatorTable;
}

static void addEntries(const profile &Profile, const address_plan &Addresses,
                       unsigned Count, deployment &Plan) {
  const std::size_t DomainCount = Profile.Regions.size() * DomainsPerRegion;
  std::vector<base::endpoint> Seeds;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    // Regions take turns, so that nine entries are three in each region.
    const std::size_t Region = Index % Profile.Regions.size();
    const std::size_t Domain =
        Region * DomainsPerRegion +
        Index / Profile.Regions.size() % DomainsPerRegion;
    entry_plan Entry;
    Entry.Name = "entry-" + std::to_string(Index + 1);
    Entry.Region = Profile.Regions.at(Region);
    Entry.Domain = domainName(Profile, Domain);
    Entry.Address = Addresses.entry(Domain % DomainCount, Index + 1);
    Entry.CallerAddress = {Entry.Address, CallerPort};
    Entry.AdminAddress = {Entry.Address, AdminPort};
    Entry.PeerAddress = {Entry.Address, PeerPort};
    Seeds.push_back(Entry.PeerAddress);
    Plan.Proxy.SourceDomains[Entry.Address] = Entry.Domain;
    Plan.Proxy.EntryDomains[Entry.Name] = Entry.Domain;
    Plan.Proxy.Addresses.push_back(
        {Entry.Name + "-callers", Entry.CallerAddress,
         behindProxy(Entry.CallerAddress), Entry.Domain});
    Plan.Proxy.Addresses.push_back({Entry.Name + "-peers", Entry.PeerAddress,
                                    behindProxy(Entry.PeerAddress),
                                    Entry.Domain});
    Plan.Entries.push_back(std::move(Entry));
  }
  for (entry_plan &Entry : Plan.Entries)
    Entry.Settings = settingsText(Entry, Plan.StoreAddress, Seeds);
}

static void addPlatform(const profile &Profile, const address_plan &Addresses,
                        deployment &Plan) {
  Plan.StoreAddress = {Addresses.platform(1), StorePort};
  Plan.StoreListen = behindProxy(Plan.StoreAddress);
  Plan.StoreControl = {Addresses.platform(1), ControlPort};
  Plan.ProxyControl = {Addresses.platform(3), ControlPort};
  // The store stands in the first region.
  Plan.Proxy.Addresses.push_back(
      {"store", Plan.StoreAddress, Plan.StoreListen, domainName(Profile, 0)});
}

static void addRoundTrips(const profile &Profile, const address_plan &Addresses,
                          deployment &Plan) {
  const std::size_t DomainCount = Profile.Regions.size() * DomainsPerRegion;
  for (unsigned From = 0; From < DomainCount; ++From) {
    const std::string FromName = domainName(Profile, From);
    Plan.Proxy.Regions[FromName] = Profile.Regions.at(From / DomainsPerRegion);
    for (unsigned To = 0; To < DomainCount; ++To)
      if (To != From)
        Plan.Proxy.RoundTrips[{FromName, domainName(Profile, To)}] =
            From / DomainsPerRegion == To / DomainsPerRegion
                ? Profile.BetweenDomains
                : Profile.BetweenRegions;
  }
  for (unsigned Region = 0; Region < Profile.Regions.size(); ++Region) {
    const std::string Clients = clientsName(Profile, Region);
    Plan.CallerSources[Profile.Regions.at(Region)] = Addresses.caller(Region);
    Plan.Proxy.SourceDomains[Addresses.caller(Region)] = Clients;
    Plan.Document.ClientBlocks.push_back(
        {Addresses.caller(Region) + "/32",
         base::region_name(Profile.Regions.at(Region))});
    for (unsigned To = 0; To < DomainCount; ++To)
      Plan.Proxy.RoundTrips[{Clients, domainName(Profile, To)}] =
          Region == To / DomainsPerRegion
              ? Profile.ToClients
              : Profile.ToClients + Profile.BetweenRegions;
  }
}

std::optional<deployment> makeDeployment(std::string_view Name,
                                         const deployment_options &Options) {
  const auto Profile = findProfile(Name);
  if (!Profile)
    return std::nullopt;
  const address_plan Addresses(Options.Net);
  deployment Plan;
  Plan.Document.Version = 1;
  Plan.Document.SubmissionId = "initial";
  Plan.Document.SubmittedBy = base::operator_name("deployment");
  Plan.Document.SubmittedAt = std::chrono::system_clock::now();
  Plan.Document.RecentSubmissions = {"initial"};
  Plan.Document.EntrySeats = 10;
  addRegions(*Profile, Plan);
  addTargets(*Profile, Addresses, Plan);
  addPlatform(*Profile, Addresses, Plan);
  addEntries(*Profile, Addresses, Options.Entries, Plan);
  addRoundTrips(*Profile, Addresses, Plan);
  return Plan;
}

} // namespace skylarkdyke::emulators
