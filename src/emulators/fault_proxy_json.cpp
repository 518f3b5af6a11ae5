#include "skylarkdyke/emulators/fault_proxy.hpp"

#include <nlohmann/json.hpp>

namespace skylarkdyke::emulators {

using nlohmann::json;

static base::endpoint readEndpoint(const json &Object, const char *Key) {
  const auto Parsed =
      base::parseEndpoint(Object.at(Key).get_ref<const std::string &>());
  if (!Parsed)
    throw std::invalid_argument(std::string(Key) +
                                " is not an IPv4 address and port");
  return *Parsed;
}

static proxy_plan readPlan(const json &Root) {
  proxy_plan Plan;
  for (const json &Item : Root.at("addresses"))
    Plan.Addresses.push_back(
        {Item.at("name").get<std::string>(), readEndpoint(Item, "listen"),
         readEndpoint(Item, "upstream"), Item.at("domain").get<std::string>()});
  using names = std::map<std::string, std::string>;
  Plan.SourceDomains = Root.at("source_domains").get<names>();
  Plan.EntryDomains = Root.at("entry_domains").get<names>();
  Plan.Regions = Root.at("regions").get<names>();
  for (const json &Item : Root.at("round_trips"))
    Plan.RoundTrips[{Item.at("from").get<std::string>(),
                     Item.at("to").get<std::string>()}] =
        std::chrono::microseconds(Item.at("us").get<std::uint32_t>());
  return Plan;
}

static address_fault readAddressFault(const json &Item) {
  address_fault Fault;
  Fault.Reset = Item.value("reset", false);
  Fault.Blackhole = Item.value("blackhole", false);
  Fault.DropAnswers = Item.value("drop_answers", false);
  Fault.TruncateAfterBytes =
      Item.value("truncate_after_bytes", std::uint64_t{0});
  Fault.ExtraDelay =
      std::chrono::microseconds(Item.value("extra_delay_us", std::uint32_t{0}));
  return Fault;
}

static fault_set readFaults(const json &Root) {
  fault_set Faults;
  for (const json &Item : Root.value("cuts", json::array()))
    Faults.Cuts.emplace_back(Item.at("from").get<std::string>(),
                             Item.at("to").get<std::string>());
  for (const auto &[Name, Item] :
       Root.value("addresses", json::object()).items())
    Faults.Addresses[Name] = readAddressFault(Item);
  return Faults;
}

template <typename Value>
static base::result<Value, base::findings> parse(std::string_view Text,
                                                 Value (*Read)(const json &)) {
  try {
    return Read(json::parse(Text));
  } catch (const std::exception &Error) {
    return base::findings{{"", Error.what()}};
  }
}

base::result<proxy_plan, base::findings> parseProxyPlan(std::string_view Text) {
  return parse(Text, &readPlan);
}

base::result<fault_set, base::findings> parseFaults(std::string_view Text) {
  return parse(Text, &readFaults);
}

std::string encode(const proxy_plan &Plan) {
  json Addresses = json::array();
  for (const proxied_address &Address : Plan.Addresses)
    Addresses.push_back({{"name", Address.Name},
                         {"listen", base::toString(Address.Listen)},
                         {"upstream", base::toString(Address.Upstream)},
                         {"domain", Address.Domain}});
  json RoundTrips = json::array();
  for (const auto &[Pair, RoundTrip] : Plan.RoundTrips)
    RoundTrips.push_back(
        {{"from", Pair.first}, {"to", Pair.second}, {"us", RoundTrip.count()}});
  return json{{"addresses", Addresses},
              {"source_domains", Plan.SourceDomains},
              {"entry_domains", Plan.EntryDomains},
              {"regions", Plan.Regions},
              {"round_trips", RoundTrips}}
      .dump(1);
}

} // namespace skylarkdyke::emulators
